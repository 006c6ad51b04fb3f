// Package crashes recognises requests that crash each target that runs them, and what such requests
// have in common. Their callers would take down one more target for seconds with each of them.
//
// Other requests have broken connections too. Evidence of one target counts once, however many runs
// broke with it, and is void once the target answers a request that was sent to it afterwards.
package crashes

import (
	"container/list"
	"maps"
	"slices"
	"time"
)

// Causes finds out what the requests that crash targets have in common. A run that broke when its
// target crashed is evidence against each of its causes, and a complete answer drops the evidence
// against all of its causes: what crashes each target that runs it is never answered. A cause is
// quarantined by several crashes in a row without an answer between them. Requests with a quarantined
// cause are refused, except for rare probes, until one of them is answered.
//
// Many sound requests share causes with those that crash targets, and break with them. Three
// things tell their causes apart: answers, which all entries hear of; the memory of earlier
// answers, for times in which no target lives long enough to answer anything; and crashes with a
// quarantined cause in flight, which do not count against others.
//
// It is not safe for concurrent use.
type Causes struct {
	suspects map[Cause]*suspect
	// suspected and quarantined list the suspects, those seen longest ago first.
	suspected, quarantined *list.List
	// quarantinedParts counts the services for which a part is quarantined, by its id.
	quarantinedParts map[string]int
	crashes          map[string]*crash
	// crashOrder lists the targets of crashes, oldest first; unsettled the crashes that are not
	// judged yet.
	crashOrder []string
	unsettled  []*crash
	answered   *recent
	// unreported are causes that were answered here, of which other entries are to hear.
	unreported map[Cause]struct{}
	// jitter returns a random part of a duration, so that entries do not begin probes together.
	jitter  func(time.Duration) time.Duration
	changes []Change
	// allowed are the ids of the causes that operators have freed.
	allowed map[string]bool
}

// Evidence is one cause of a broken run. Answered: the entry that reports it remembers an answer.
type Evidence struct {
	Cause    Cause
	Answered bool
}

// Change is a change of what is known of a cause, for the log.
type Change struct {
	Cause       Cause
	Quarantined bool
	Crashes     int
	Targets     []string
	// Answered is how many answers to requests with the cause are remembered.
	Answered uint32
	Stage    int
	// ProbeIn is the time to the next probe.
	ProbeIn time.Duration
}

// NewCauses returns an empty Causes.
func NewCauses(jitter func(time.Duration) time.Duration) *Causes {
	return &Causes{
		suspects: make(map[Cause]*suspect), suspected: list.New(), quarantined: list.New(),
		quarantinedParts: make(map[string]int), crashes: make(map[string]*crash),
		answered: newRecent(), unreported: make(map[Cause]struct{}), jitter: jitter,
	}
}

// RecordBroken records that a run broke at a target, here or at another entry; ran is how long it had
// taken. It returns the causes against which the target's crash did not count yet.
func (s *Causes) RecordBroken(now time.Time, target string, ran time.Duration, evidence []Evidence) (added []Cause) {
	s.settle(now)
	if len(evidence) == 0 {
		return nil
	}
	c := s.crashAt(now, target)
	var atOnce []*suspect
	for _, e := range evidence {
		if e.Answered {
			s.remember(e.Cause)
		}
		known := s.findOrAdd(e.Cause)
		known.confirmed = known.confirmed || e.Answered
		s.touch(now, known)
		if !s.addCrash(known, brokenRun{c, now.Add(-ran)}) {
			continue
		}
		added = append(added, e.Cause)
		if policies[e.Cause.Kind].settle == 0 {
			atOnce = append(atOnce, known)
		}
	}
	s.judge(now, atOnce)
	if len(added) > 0 && !c.unsettled {
		c.unsettled, c.settlesAt = true, now.Add(maxSettle)
		s.unsettled = append(s.unsettled, c)
	}
	return added
}

// count returns the number of crashes that count against a cause: those since its last answer, but
// not those during which another quarantined cause was in flight.
func (s *Causes) count(now time.Time, known *suspect) int {
	simultaneous := policies[known.cause.Kind].simultaneous
	n, last := 0, time.Time{}
	for _, run := range known.crashes {
		if now.Sub(run.at) > evidenceLife || run.explainedWithout(known) {
			continue
		}
		if n == 0 || !run.began.Before(last) || run.at.Sub(last).Abs() >= simultaneous {
			n, last = n+1, run.at
		}
	}
	return n
}

// settle judges the crashes of which all entries should have reported their runs.
func (s *Causes) settle(now time.Time) {
	for len(s.unsettled) > 0 && !now.Before(s.unsettled[0].settlesAt) {
		c := s.unsettled[0]
		c.unsettled = false
		s.unsettled = s.unsettled[1:]
		s.judge(now, slices.Collect(maps.Values(c.causes)))
	}
}

// judge quarantines those of the suspects that have reached their thresholds.
func (s *Causes) judge(now time.Time, suspects []*suspect) {
	s.quarantine(now, slices.DeleteFunc(suspects, func(known *suspect) bool {
		return known.quarantined || s.count(now, known) < s.threshold(known.cause)
	}))
}

func (s *Causes) threshold(cause Cause) int {
	p := policies[cause.Kind]
	if s.answered.has(cause.key()) {
		return p.answeredThreshold
	}
	return p.threshold
}

// Changes returns the changes since the last call.
func (s *Causes) Changes() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}

// Count returns the number of crashes that count against a cause.
func (s *Causes) Count(now time.Time, cause Cause) int {
	known, found := s.suspects[cause]
	if !found {
		return 0
	}
	return s.count(now, known)
}

// Quarantined returns the number of quarantined causes, Suspected that of all others with evidence.
func (s *Causes) Quarantined() int { return s.quarantined.Len() }

// Suspected returns the number of causes with evidence that are not quarantined.
func (s *Causes) Suspected() int { return s.suspected.Len() }
