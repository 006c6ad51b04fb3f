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
	// vouched: the entries know whether the cause has been answered before.
	vouched bool

	convicted bool
	// despiteAnswers: it was convicted although earlier answers are remembered.
	despiteAnswers bool
	seen           time.Time
	// rivals were convicted with the cause on the same crashes.
	rivals map[Cause]struct{}
	// stage counts the trials. Callers are told that one is due at trialAt; this entry makes it
	// from ownTrialAt on.
	stage               int
	trialAt, ownTrialAt time.Time
}

// explains reports whether crashes with the cause in flight do not count against others.
func (s *suspect) explains() bool { return s.convicted && policies[s.cause.Kind].explains }

// findOrAdd returns a suspect, and drops another one if there are too many.
func (s *Causes) findOrAdd(cause Cause) *suspect {
	if known, found := s.suspects[cause]; found {
		return known
	}
	if s.unconvicted.Len() >= maxSuspects {
		s.drop(s.unconvicted.Front().Value.(*suspect))
	}
	known := &suspect{cause: cause, rivals: make(map[Cause]struct{})}
	known.element = s.unconvicted.PushBack(known)
	s.suspects[cause] = known
	return known
}

func (s *Causes) listOf(known *suspect) *list.List {
	if known.convicted {
		return s.convicted
	}
	return s.unconvicted
}

func (s *Causes) touch(now time.Time, known *suspect) {
	known.seen = now
	s.listOf(known).MoveToBack(known.element)
}

// drop forgets a suspect and what its crashes hold against it.
func (s *Causes) drop(known *suspect) {
	s.acquit(known)
	for _, c := range known.crashes {
		c.remove(known)
	}
	s.unconvicted.Remove(known.element)
	delete(s.suspects, known.cause)
}

// acquit ends a conviction; the crashes go on to count.
func (s *Causes) acquit(known *suspect) {
	if !known.convicted {
		return
	}
	if known.explains() {
		for _, c := range known.crashes {
			c.explaining--
		}
	}
	s.convicted.Remove(known.element)
	known.convicted = false
	known.element = s.unconvicted.PushBack(known)
	if s.convictedParts[known.cause.ID]--; s.convictedParts[known.cause.ID] <= 0 {
		delete(s.convictedParts, known.cause.ID)
	}
	for cause := range known.rivals {
		if rival, found := s.suspects[cause]; found {
			delete(rival.rivals, known.cause)
		}
	}
	known.rivals = make(map[Cause]struct{})
	s.changes = append(s.changes, Change{Cause: known.cause, Answered: s.answered.has(known.cause.key()), Stage: known.stage})
}
