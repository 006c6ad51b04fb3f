// Package suspects finds requests that kill the targets that run them, by what
// was in flight when targets died, and recognises them when they are sent again
// under other ids.
//
// All that a dying target ran become suspects. A suspect runs only where no
// other suspect runs, so a second death in which it takes part convicts it.
// A whole answer clears a suspect.
//
// Invariants: a death counts once for a fingerprint, whoever reports it and
// however often; a conviction is not dropped before its time, for want of memory
// or otherwise; memory is bounded.
package suspects

import (
	"container/list"
	"slices"
	"sort"
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// Config sets the times and the bounds.
type Config struct {
	// Suspicion is how long a death is held against a request, Conviction how
	// long a conviction stands.
	Suspicion  time.Duration
	Conviction time.Duration
	// Max bounds the fingerprints that are remembered.
	Max int
	// Burst and Window: when so many different targets have died within the
	// window, the cause is not taken to be a request: a rack or zone that went
	// took them along, and a popular request that ran on several of them would
	// be convicted. Such deaths count as one.
	Burst  int
	Window time.Duration
}

const (
	// DefaultSuspicion outlasts the time in which callers send again.
	DefaultSuspicion = 10 * time.Minute
	// DefaultConviction is long enough for an operator to act on it.
	DefaultConviction = time.Hour
	// DefaultMax takes some 100 deaths of targets with 100 requests each.
	DefaultMax = 10_000
	// DefaultBurst is one more than the deaths that convict.
	DefaultBurst = 3
	// DefaultWindow is how far apart deaths by one cause are seen.
	DefaultWindow = time.Second
	// deathsToConvict and deathsKept bound the evidence kept for a fingerprint.
	deathsToConvict = 2
	deathsKept      = 4
)

// Verdict is what Judge says of a request.
type Verdict uint8

const (
	// Clean: nothing is held against it.
	Clean Verdict = iota
	// Suspect: it may run only where no other suspect runs.
	Suspect
	// Convicted: refused "not run".
	Convicted
)

// Effect is something to tell: a message for all peers, a record for the log.
type Effect struct {
	Share  *message.Suspicion
	Append *record.Verdict
}

// Suspects is the state; not safe for concurrent use.
type Suspects struct {
	cfg     Config
	entries map[request.Fingerprint]*list.Element
	// suspected holds those not convicted, the least recently seen first;
	// convicted those convicted, the first to lapse first.
	suspected *list.List
	convicted *list.List
	deaths    []death
	dropped   int
}

type entry struct {
	fingerprint request.Fingerprint
	deaths      []string
	// cleared are deaths that a whole answer has explained away.
	cleared []string
	// until is when the suspicion or the conviction lapses.
	until     time.Time
	convicted bool
}

type death struct {
	target string
	at     time.Time
}

// New starts with nothing known. Zero fields of cfg take their defaults.
func New(cfg Config) *Suspects {
	s := &Suspects{
		entries:   make(map[request.Fingerprint]*list.Element),
		suspected: list.New(),
		convicted: list.New(),
	}
	s.Configure(cfg)
	return s
}

// Configure puts new settings in force; what is known keeps its time.
func (s *Suspects) Configure(cfg Config) {
	if cfg.Suspicion <= 0 {
		cfg.Suspicion = DefaultSuspicion
	}
	if cfg.Conviction <= 0 {
		cfg.Conviction = DefaultConviction
	}
	if cfg.Max <= 0 {
		cfg.Max = DefaultMax
	}
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	s.cfg = cfg
}

// Death says that a target died while it ran these requests. The deathID must
// be the same at all entries that see this death of the target, and another for
// its next death.
func (s *Suspects) Death(now time.Time, target, deathID string, running []request.Fingerprint) []Effect {
	s.expire(now)
	burst := s.note(now, target)
	name := target + "/" + deathID
	unique := slices.Clone(running)
	slices.Sort(unique)
	var effects []Effect
	for _, fingerprint := range slices.Compact(unique) {
		if fingerprint == 0 {
			continue
		}
		effects = append(effects, s.hold(now, fingerprint, []string{name}, burst)...)
	}
	return effects
}

// Judge says how a request may run.
func (s *Suspects) Judge(now time.Time, fingerprint request.Fingerprint) Verdict {
	s.expire(now)
	e := s.find(now, fingerprint)
	switch {
	case e == nil || len(e.deaths) == 0 && !e.convicted:
		return Clean
	case e.convicted:
		return Convicted
	}
	s.suspected.MoveToBack(s.entries[fingerprint])
	return Suspect
}

// Until is how much longer a conviction stands; 0: not convicted.
func (s *Suspects) Until(now time.Time, fingerprint request.Fingerprint) time.Duration {
	e := s.find(now, fingerprint)
	if e == nil || !e.convicted {
		return 0
	}
	return max(0, e.until.Sub(now))
}

// Completed says that a request gave its whole answer: what it is suspected of
// had another cause. A conviction stands.
func (s *Suspects) Completed(now time.Time, fingerprint request.Fingerprint) []Effect {
	s.expire(now)
	e := s.find(now, fingerprint)
	if e == nil || e.convicted || len(e.deaths) == 0 {
		return nil
	}
	share := message.Suspicion{Fingerprint: fingerprint, Deaths: e.deaths, Cleared: true}
	s.clear(e, e.deaths)
	return []Effect{{Share: &share}}
}

// Merge takes what a peer knows. Where both together convict, the conviction is
// shared and logged from here too; saying it twice is harmless.
func (s *Suspects) Merge(now time.Time, m message.Suspicion) []Effect {
	s.expire(now)
	switch {
	case m.Fingerprint == 0:
		return nil
	case m.Convicted:
		s.convict(s.enter(now, m.Fingerprint), m.Deaths, now.Add(s.cfg.Conviction))
		return nil
	case m.Cleared:
		if e := s.enter(now, m.Fingerprint); e != nil && !e.convicted {
			s.clear(e, m.Deaths)
			s.renew(now, e)
		}
		return nil
	}
	effects := s.hold(now, m.Fingerprint, m.Deaths, s.burst(now))
	return slices.DeleteFunc(effects, func(e Effect) bool { return e.Append == nil })
}

// FromLog takes a verdict off the log, whose record has this age.
func (s *Suspects) FromLog(now time.Time, age time.Duration, v record.Verdict) {
	s.expire(now)
	until := now.Add(s.cfg.Conviction - age)
	if v.Fingerprint != 0 && until.After(now) {
		s.convict(s.enter(now, v.Fingerprint), v.Deaths, until)
	}
}

// Len is the number of remembered fingerprints; Dropped counts those that found
// no room because all that is remembered are convictions.
func (s *Suspects) Len() int { return len(s.entries) }

// Dropped counts fingerprints that found no room.
func (s *Suspects) Dropped() int { return s.dropped }

// Convictions lists the convicted fingerprints, in ascending order.
func (s *Suspects) Convictions(now time.Time) []request.Fingerprint {
	s.expire(now)
	var out []request.Fingerprint
	for el := s.convicted.Front(); el != nil; el = el.Next() {
		out = append(out, el.Value.(*entry).fingerprint)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// hold holds deaths against a fingerprint and convicts it if they suffice.
func (s *Suspects) hold(now time.Time, fingerprint request.Fingerprint, deaths []string, burst bool) []Effect {
	e := s.enter(now, fingerprint)
	if e == nil || e.convicted {
		return nil
	}
	// Deaths of a burst count as one: a rack or zone that goes takes many targets
	// along, and a popular request that ran on several would be convicted.
	if burst && len(e.deaths) > 0 {
		s.renew(now, e)
		return nil
	}
	if burst {
		deaths = deaths[:min(1, len(deaths))]
	}
	if !e.add(deaths) {
		return nil
	}
	s.renew(now, e)
	if len(e.deaths) < deathsToConvict {
		return []Effect{{Share: &message.Suspicion{
			Fingerprint: fingerprint,
			Deaths:      slices.Clone(e.deaths),
		}}}
	}
	s.convict(e, nil, now.Add(s.cfg.Conviction))
	return []Effect{{
		Share:  &message.Suspicion{Fingerprint: fingerprint, Deaths: slices.Clone(e.deaths), Convicted: true},
		Append: &record.Verdict{Fingerprint: fingerprint, Deaths: slices.Clone(e.deaths)},
	}}
}

// add notes deaths that are new; the oldest give way.
func (e *entry) add(deaths []string) bool {
	added := false
	for _, d := range deaths {
		if slices.Contains(e.deaths, d) || slices.Contains(e.cleared, d) {
			continue
		}
		e.deaths = append(e.deaths, d)
		added = true
	}
	e.deaths = newest(e.deaths)
	return added
}

func newest(deaths []string) []string {
	return deaths[max(0, len(deaths)-deathsKept):]
}
