// Package quota keeps each organisation within its rate over all entries, with no
// shared counter: every entry tells the others how much it has admitted in total,
// and adds up what it knows of a sliding window.
//
// What it does not know counts as used, so that the sum over all entries stays
// below the limit also when they lose each other or restart together:
//
//   - a silent entry counts with its even share, since it goes on admitting that much;
//   - the part of the window before this entry heard of another, or began to count
//     itself, counts as History says, with that entry's even share;
//   - another entry goes on, since its last word, as fast as just before it.
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
	// Overshoot and Slack are what an organisation may use beyond rate x window +
	// burst before the limit counts as broken: a part of it, and units of cost besides.
	Overshoot, Slack float64
}

const (
	// slackUsed is the part of the slack that is used on purpose: what is refused
	// below the limit is lost to the organisation. The rest covers what entries have
	// admitted since their last word, some 20 ms at the rate of the largest
	// organisation.
	slackUsed = 0.6
	// cautiousSlack is the part that is used while a part of the window is not known.
	cautiousSlack = 0.25
	// usualUse is the part of its limit that an organisation is taken to have used
	// where nothing is recorded; more than that is recorded, see Record.
	usualUse = 0.7
	// smallCost is the part of a quota below which a request is let in whatever its
	// rank: it takes nothing from the others.
	smallCost = 0.001
)

// reserved is the part of a quota that is kept for requests above a rank.
var reserved = [...]float64{0, 0.1, 0.2}

// Limiter counts what organisations use.
type Limiter struct {
	config  Config
	started time.Time
	limits  map[string]limit
	own     map[string]*series
	peers   map[string]*peer
	history map[string]History
}

type limit struct{ rate, burst float64 }

// History is what an organisation had used in the window before this entry began,
// over all entries.
type History struct {
	// Older and Recent are the halves of the window.
	Older, Recent float64
}

// peer is another entry's usage, by the name that survives restarts.
type peer struct {
	// started is when its present incarnation began, since from when on its usage is
	// known, heard when its last totals came.
	started, since, heard time.Time
	silent                bool
	usage                 map[string]*series
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
		history: make(map[string]History),
	}
}

// SetConfig replaces the bounds. What has been used stays counted.
func (l *Limiter) SetConfig(config Config) { l.config = config }

// SetOrganisations replaces the limits. What has been used stays counted.
func (l *Limiter) SetOrganisations(organisations []catalog.Organisation) {
	l.limits = make(map[string]limit, len(organisations))
	for _, o := range organisations {
		if o.Rate > 0 {
			l.limits[o.Name] = limit{rate: o.Rate, burst: o.Burst}
		}
	}
}

// Admit counts a request of an organisation, unless it exceeds the quota. rank is
// the importance of its route, 0 the highest: an organisation that asks for more
// than its quota gets its important requests served, not whatever comes first.
func (l *Limiter) Admit(now time.Time, organisation string, cost float64, rank int) Verdict {
	limited, found := l.limits[organisation]
	if !found {
		l.use(now, organisation, cost)
		return Verdict{Admitted: true}
	}
	base := l.base(limited)
	bound := base + (base*l.config.Overshoot+l.config.Slack)*l.slackShare(now)
	if cost > bound*smallCost {
		bound -= base * reserved[min(rank, len(reserved)-1)]
	}
	verdict := Verdict{Used: l.used(now, organisation, base, bound), Limit: bound}
	if verdict.Used+cost > bound {
		missing := verdict.Used + cost - bound
		verdict.RetryAfter = min(l.config.Window/2, time.Duration(missing/limited.rate*float64(time.Second)))
		return verdict
	}
	l.use(now, organisation, cost)
	verdict.Admitted = true
	return verdict
}

// base is what an organisation may use in a window without any slack.
func (l *Limiter) base(limited limit) float64 {
	return limited.rate*l.config.Window.Seconds() + limited.burst
}

// slackShare is the part of the slack that may be used now.
func (l *Limiter) slackShare(now time.Time) float64 {
	if now.Sub(l.started) < l.config.Window {
		return cautiousSlack
	}
	for _, p := range l.peers {
		if p.silent || now.Sub(p.since) < l.config.Window {
			return cautiousSlack
		}
	}
	return slackUsed
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
func (l *Limiter) used(now time.Time, organisation string, base, bound float64) float64 {
	since := now.Add(-l.config.Window)
	share := 1 / float64(len(l.peers)+1)
	before := l.before(organisation, base)
	own := l.own[organisation]
	total := own.since(since) + share*l.unknown(now, l.started, before)
	for _, p := range l.peers {
		known := p.usage[organisation].since(since) + p.former[organisation].since(since)
		if p.silent {
			total += max(known, bound*share)
			continue
		}
		total += known + share*l.unknown(now, p.since, before) + l.untold(now, p, organisation)
	}
	return total
}

const (
	// rateOver is the time over which a peer's present rate is taken.
	rateOver = time.Second
	// freshFor is how old totals may be to show what happens now, freshGroup the least
	// number of entries whose mean speaks for the others: with fewer, a single large
	// request would count for all.
	freshFor   = 150 * time.Millisecond
	freshGroup = 6
)

// untold estimates what a peer has admitted since its last totals: what the entries
// whose totals are fresh have admitted since then in the mean, as callers pick entries
// at random. A peer's own rate alone would lag behind an organisation that suddenly
// sends many times its usual, and let it exceed its quota by what is sent in a second.
func (l *Limiter) untold(now time.Time, p *peer, organisation string) float64 {
	if now.Sub(p.heard) < freshFor {
		return 0
	}
	recent := p.usage[organisation].since(p.heard.Add(-rateOver))
	estimate := max(0, recent) * float64(now.Sub(p.heard)) / float64(rateOver)
	sum, n := l.own[organisation].since(p.heard), 1
	for _, other := range l.peers {
		if now.Sub(other.heard) < freshFor {
			sum += other.usage[organisation].since(p.heard)
			n++
		}
	}
	if n < freshGroup {
		return estimate
	}
	return max(estimate, sum/float64(n))
}

// Pressing reports whether an organisation is so close to its quota that the entries
// should tell each other their totals more often.
func (l *Limiter) Pressing(now time.Time) bool {
	for organisation, limited := range l.limits {
		base := l.base(limited)
		if l.used(now, organisation, base, base) > base*usualUse {
			return true
		}
	}
	return false
}

// before is what the organisation had used in the window before this entry began.
func (l *Limiter) before(organisation string, base float64) History {
	if known, found := l.history[organisation]; found {
		return known
	}
	return History{Older: base * usualUse / 2, Recent: base * usualUse / 2}
}

// unknown is what of the history is still in the window, where usage is known since
// a moment.
func (l *Limiter) unknown(now, since time.Time, before History) float64 {
	half := l.config.Window / 2
	age := now.Sub(since)
	switch {
	case age >= l.config.Window:
		return 0
	case age >= half:
		return before.Recent * float64(l.config.Window-age) / float64(half)
	default:
		return before.Recent + before.Older*float64(half-age)/float64(half)
	}
}

// Restore takes what was recorded before this entry began.
func (l *Limiter) Restore(organisation string, history History) { l.history[organisation] = history }

// Records returns what has to be recorded, so that entries which restart together
// do not let an organisation use its quota twice: the usage of those that have used
// more than is taken for granted. Only what is known counts. Estimates for entries
// that are silent or have just begun, once recorded, would be restored as usage by
// those that start next, and refuse everybody.
func (l *Limiter) Records(now time.Time) map[string]History {
	records := make(map[string]History)
	for organisation, limited := range l.limits {
		used := l.known(now.Add(-l.config.Window), organisation)
		if restored, found := l.history[organisation]; found {
			used += l.unknown(now, l.started, restored)
		}
		if used < l.base(limited)*usualUse {
			continue
		}
		recent := l.known(now.Add(-l.config.Window/2), organisation)
		records[organisation] = History{Older: max(0, used-recent), Recent: recent}
	}
	return records
}

// known is what all entries have said that they admitted since a moment.
func (l *Limiter) known(since time.Time, organisation string) float64 {
	total := l.own[organisation].since(since)
	for _, p := range l.peers {
		total += p.usage[organisation].since(since) + p.former[organisation].since(since)
	}
	return total
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
func (l *Limiter) SetPeers(now time.Time, peers []Peer) {
	kept := make(map[string]*peer, len(peers))
	for _, each := range peers {
		p := l.peers[each.Name]
		if p == nil {
			p = &peer{started: each.Started, since: now, heard: now, usage: make(map[string]*series)}
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
			l.begin(now, p, s, total)
		}
		s.set(now, total, l.config.Window)
	}
}

// begin makes the first point of a peer's series. A peer that was heard before, or
// has just begun, started this series from zero; of another's total it is not known
// when it was used, which History covers.
func (l *Limiter) begin(now time.Time, p *peer, s *series, total float64) {
	if now.Sub(p.since) > restartSlack || now.Sub(p.started) < l.config.Window {
		total = 0
	}
	s.begin(now, total)
}

// restartSlack is the error in a peer's start, which it gives as its age in each
// message: the message's delay.
const restartSlack = time.Second
