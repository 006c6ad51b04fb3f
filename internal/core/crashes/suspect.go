package crashes

import (
	"container/list"
	"time"
)

// suspect is a cause with the crashes that count against it.
type suspect struct {
	cause   Cause
	element *list.Element
	// crashes are those since the last answer, oldest first.
	crashes []brokenRun
	// confirmed: the entries know whether the cause has been answered before.
	confirmed bool

	quarantined bool
	// despiteAnswers: it was quarantined although earlier answers are remembered.
	despiteAnswers bool
	seen           time.Time
	// coSuspects were quarantined with the cause on the same crashes.
	coSuspects map[Cause]struct{}
	// stage counts the probes. Callers are told that one is due at probeAt; this entry makes it
	// from ownProbeAt on.
	stage               int
	probeAt, ownProbeAt time.Time
}

// explains reports whether crashes with the cause in flight do not count against others.
func (s *suspect) explains() bool { return s.quarantined && policies[s.cause.Kind].explains }

// lapsed reports whether no request with the quarantined cause has come for long.
func (s *suspect) lapsed(now time.Time) bool { return now.Sub(s.seen) > quarantineLife }

// findOrAdd returns a suspect, and drops another one if there are too many.
func (s *Causes) findOrAdd(cause Cause) *suspect {
	if known, found := s.suspects[cause]; found {
		return known
	}
	if s.suspected.Len() >= maxSuspects {
		s.drop(s.suspected.Front().Value.(*suspect))
	}
	known := &suspect{cause: cause, coSuspects: make(map[Cause]struct{})}
	known.element = s.suspected.PushBack(known)
	s.suspects[cause] = known
	return known
}

func (s *Causes) listOf(known *suspect) *list.List {
	if known.quarantined {
		return s.quarantined
	}
	return s.suspected
}

func (s *Causes) touch(now time.Time, known *suspect) {
	known.seen = now
	s.listOf(known).MoveToBack(known.element)
}

// drop forgets a suspect and what its crashes hold against it.
func (s *Causes) drop(known *suspect) {
	s.release(known)
	for _, c := range known.crashes {
		c.remove(known)
	}
	s.suspected.Remove(known.element)
	delete(s.suspects, known.cause)
}

// release ends a quarantine; the crashes go on to count.
func (s *Causes) release(known *suspect) {
	if !known.quarantined {
		return
	}
	if known.explains() {
		for _, c := range known.crashes {
			c.explaining--
		}
	}
	s.quarantined.Remove(known.element)
	known.quarantined = false
	known.element = s.suspected.PushBack(known)
	if s.quarantinedParts[known.cause.ID]--; s.quarantinedParts[known.cause.ID] <= 0 {
		delete(s.quarantinedParts, known.cause.ID)
	}
	for cause := range known.coSuspects {
		if coSuspect, found := s.suspects[cause]; found {
			delete(coSuspect.coSuspects, known.cause)
		}
	}
	known.coSuspects = make(map[Cause]struct{})
	s.changes = append(s.changes, Change{Cause: known.cause, Answered: s.answered.count(known.cause.key()), Stage: known.stage})
}
