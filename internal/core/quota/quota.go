// Package quota keeps each organisation within its rate over all entries, with no
// shared counter: every entry tells the others how much it has admitted in total,
// and adds up what it knows of a sliding window.
//
// What it does not know counts as used, so that the sum over all entries stays
// below the limit also when they lose each other:
//
//   - a silent entry counts with its even share, since it goes on admitting that much;
//   - an entry that is younger than the window counts with its even share of the
//     time before it started, since its former incarnation's counter is lost;
//   - what the others have admitted since their last word is taken to be what this
//     entry has admitted in the same time, since callers pick entries at random.
//
// Time is an argument. A Limiter is not safe for concurrent use.
package quota

import (
	"time"

	"sycamoretrail/internal/core/catalog"
)

// Config sets the bounds.
type Config struct {
	// Window is the length of the sliding window over which a rate is kept.
	Window time.Duration
	// Margin is what an organisation may use beyond rate x window + burst, in units
	// of cost, so that a request within the quota is not refused for rounding.
	Margin float64
}

// Limiter counts what organisations use.
type Limiter struct {
	config  Config
	started time.Time
	limits  map[string]limit
	own     map[string]*series
	peers   map[string]*peer
}

type limit struct{ rate, burst float64 }

// peer is another entry's usage, by the name that survives restarts.
type peer struct {
	started time.Time
	heard   time.Time
	silent  bool
	usage   map[string]*series
	// former is what an earlier incarnation had used when it was replaced.
	former map[string]*series
}

// Verdict says whether a request is within the quota, and why.
type Verdict struct {
	Admitted bool
	// Used is the window's estimated usage before this request, Limit its bound.
	Used, Limit float64
	// RetryAfter is when enough of the window has passed.
	RetryAfter time.Duration
}

// New makes a limiter; started is when this entry began to count.
func New(config Config, started time.Time) *Limiter {
	return &Limiter{
		config: config, started: started,
		limits: make(map[string]limit), own: make(map[string]*series), peers: make(map[string]*peer),
	}
}

// SetOrganisations replaces the limits. What has been used stays counted.
func (l *Limiter) SetOrganisations(organisations []catalog.Organisation) {
	l.limits = make(map[string]limit, len(organisations))
	for _, o := range organisations {
		if o.Rate > 0 {
			l.limits[o.Name] = limit{rate: o.Rate, burst: o.Burst}
		}
	}
}

// Admit counts a request of an organisation, unless it exceeds the quota.
func (l *Limiter) Admit(now time.Time, organisation string, cost float64) Verdict {
	limited, found := l.limits[organisation]
	if !found {
		l.use(now, organisation, cost)
		return Verdict{Admitted: true}
	}
	bound := limited.rate*l.config.Window.Seconds() + limited.burst + l.config.Margin
	verdict := Verdict{Used: l.used(now, organisation, bound), Limit: bound}
	if verdict.Used+cost > bound {
		missing := verdict.Used + cost - bound
		verdict.RetryAfter = min(l.config.Window/2, time.Duration(missing/limited.rate*float64(time.Second)))
		return verdict
	}
	l.use(now, organisation, cost)
	verdict.Admitted = true
	return verdict
}

// Refund takes back what was admitted and never ran.
func (l *Limiter) Refund(now time.Time, organisation string, cost float64) {
	l.use(now, organisation, -cost)
}

func (l *Limiter) use(now time.Time, organisation string, cost float64) {
	s, found := l.own[organisation]
	if !found {
		s = &series{}
		l.own[organisation] = s
	}
	s.set(now, s.last()+cost, l.config.Window)
}

// used estimates what all entries have admitted within the window.
func (l *Limiter) used(now time.Time, organisation string, bound float64) float64 {
	since := now.Add(-l.config.Window)
	even := bound / float64(len(l.peers)+1)
	own := l.own[organisation]
	total := own.since(since) + l.unknownBefore(now, l.started, even)
	for _, p := range l.peers {
		known := p.usage[organisation].since(since) + p.former[organisation].since(since)
		if p.silent {
			total += max(known, even)
			continue
		}
		if p.former == nil {
			known += l.unknownBefore(now, p.started, even)
		}
		total += known + max(0, own.since(p.heard))
	}
	return total
}

// unknownBefore is the even share of the part of the window before an entry started.
func (l *Limiter) unknownBefore(now, started time.Time, even float64) float64 {
	age := now.Sub(started)
	if age >= l.config.Window {
		return 0
	}
	return even * float64(l.config.Window-age) / float64(l.config.Window)
}

// Totals is what this entry has admitted since it started, by organisation.
func (l *Limiter) Totals() map[string]float64 {
	totals := make(map[string]float64, len(l.own))
	for organisation, s := range l.own {
		totals[organisation] = s.last()
	}
	return totals
}

// Peer is another entry as membership knows it.
type Peer struct {
	Name string
	// Started is when its present incarnation began, on this entry's clock.
	Started time.Time
	// Silent: nothing has been heard of it for longer than the silence limit.
	Silent bool
}

// SetPeers replaces the other entries that may be admitting requests.
func (l *Limiter) SetPeers(peers []Peer) {
	kept := make(map[string]*peer, len(peers))
	for _, each := range peers {
		p := l.peers[each.Name]
		if p == nil {
			p = &peer{started: each.Started, heard: each.Started, usage: make(map[string]*series)}
		}
		p.silent = each.Silent
		kept[each.Name] = p
	}
	l.peers = kept
}

// PeerTotals takes a peer's totals. A later start than the one known means
// another incarnation, whose totals begin at zero.
func (l *Limiter) PeerTotals(now time.Time, name string, started time.Time, totals map[string]float64) {
	p, found := l.peers[name]
	if !found {
		return
	}
	if started.Sub(p.started) > restartSlack {
		p.former, p.usage = p.usage, make(map[string]*series)
		p.started = started
	}
	p.heard = now
	for organisation, total := range totals {
		s, found := p.usage[organisation]
		if !found {
			s = &series{}
			p.usage[organisation] = s
			s.set(p.started, 0, l.config.Window)
		}
		s.set(now, total, l.config.Window)
	}
}

// restartSlack is the error in a peer's start, which it gives as its age in each
// message: the message's delay.
const restartSlack = time.Second

// series is a running total over time.
type series struct{ points []point }

type point struct {
	at    time.Time
	total float64
}

// step is the resolution of a series; finer points are merged.
const step = 50 * time.Millisecond

func (s *series) last() float64 {
	if s == nil || len(s.points) == 0 {
		return 0
	}
	return s.points[len(s.points)-1].total
}

func (s *series) set(now time.Time, total float64, window time.Duration) {
	if n := len(s.points); n > 1 && now.Sub(s.points[n-2].at) < step {
		s.points[n-1] = point{at: now, total: total}
		return
	}
	if len(s.points) == 0 {
		s.points = append(s.points, point{at: now})
	}
	s.points = append(s.points, point{at: now, total: total})
	old := 0
	for old+1 < len(s.points) && now.Sub(s.points[old+1].at) > window {
		old++
	}
	s.points = s.points[old:]
}

// since is what was added after a moment, rounded up to whole points.
func (s *series) since(moment time.Time) float64 {
	if s == nil || len(s.points) == 0 {
		return 0
	}
	for i := len(s.points) - 1; i >= 0; i-- {
		if !s.points[i].at.After(moment) {
			return s.last() - s.points[i].total
		}
	}
	return s.last() - s.points[0].total
}
