package crashes

import (
	"time"
)

// RecordAnswer records a complete answer to a request with these causes. It returns the causes of
// which the other entries should hear that they were answered: at once, or soon, if nobody else tells
// them before (see Untold).
func (s *Causes) RecordAnswer(now time.Time, causes []Cause) (atOnce, soon []Cause) {
	s.settle(now)
	for _, cause := range causes {
		known, found := s.suspects[cause]
		switch {
		case !found:
		case known.convicted || !s.answered.has(cause.key()):
			atOnce = append(atOnce, cause)
		default:
			s.untold[cause] = struct{}{}
			soon = append(soon, cause)
		}
		s.clear(now, cause)
	}
	return atOnce, soon
}

// Untold returns those of the causes of which no other entry has told since RecordAnswer returned them.
func (s *Causes) Untold(causes []Cause) (untold []Cause) {
	for _, cause := range causes {
		if _, found := s.untold[cause]; found {
			delete(s.untold, cause)
			untold = append(untold, cause)
		}
	}
	return untold
}

// Clear records that requests with these causes were answered through other entries.
func (s *Causes) Clear(now time.Time, causes []Cause) {
	s.settle(now)
	for _, cause := range causes {
		delete(s.untold, cause)
		s.clear(now, cause)
	}
}

func (s *Causes) clear(now time.Time, cause Cause) {
	s.remember(cause)
	known, found := s.suspects[cause]
	if !found {
		return
	}
	rivals := known.rivals
	s.drop(known)
	for rival := range rivals {
		if r, found := s.suspects[rival]; found && len(r.rivals) == 0 {
			r.stage = 0
			s.scheduleTrial(now, r)
		}
	}
}

// remember records that a cause has been answered.
func (s *Causes) remember(cause Cause) {
	if policies[cause.Kind].remembered {
		s.answered.add(cause.key())
	}
}

// Remembers reports whether an answer to a request with a cause is remembered.
func (s *Causes) Remembers(cause Cause) bool { return s.answered.has(cause.key()) }

// Vouch records that other entries remember answers to requests with these causes. A conviction that
// needed fewer crashes than these causes take is lifted.
func (s *Causes) Vouch(now time.Time, causes []Cause) {
	s.settle(now)
	for _, cause := range causes {
		s.remember(cause)
		known, found := s.suspects[cause]
		if !found {
			continue
		}
		known.vouched = true
		if known.convicted && !known.despiteAnswers && known.stage == 0 {
			s.drop(known)
		}
	}
}

// ToVouch returns those of the causes that this entry remembers as answered while others, as far as
// it has heard, do not, and that may soon be convicted there.
func (s *Causes) ToVouch(now time.Time, causes []Cause) []Cause {
	var vouchable []Cause
	for _, cause := range causes {
		known, found := s.suspects[cause]
		if found && !known.convicted && !known.vouched && s.answered.has(cause.key()) && s.count(now, known) >= policies[cause.Kind].threshold-1 {
			vouchable = append(vouchable, cause)
		}
	}
	return vouchable
}
