package crashes

import "time"

// RecordAnswer records a complete answer to a request with these causes. It returns the causes of
// which the other entries should hear that they were answered: at once, or soon, if nobody else tells
// them before (see Unreported).
func (s *Causes) RecordAnswer(now time.Time, causes []Cause) (atOnce, soon []Cause) {
	s.settle(now)
	for _, cause := range causes {
		known, found := s.suspects[cause]
		switch {
		case !found:
		case known.quarantined || !s.answered.has(cause.key()):
			atOnce = append(atOnce, cause)
		default:
			s.unreported[cause] = struct{}{}
			soon = append(soon, cause)
		}
		s.clear(now, cause)
	}
	return atOnce, soon
}

// Unreported returns those of the causes of which no other entry has told since RecordAnswer returned them.
func (s *Causes) Unreported(causes []Cause) (unreported []Cause) {
	for _, cause := range causes {
		if _, found := s.unreported[cause]; found {
			delete(s.unreported, cause)
			unreported = append(unreported, cause)
		}
	}
	return unreported
}

// Clear records that requests with these causes were answered through other entries.
func (s *Causes) Clear(now time.Time, causes []Cause) {
	s.settle(now)
	for _, cause := range causes {
		delete(s.unreported, cause)
		s.clear(now, cause)
	}
}

func (s *Causes) clear(now time.Time, cause Cause) {
	s.remember(cause)
	known, found := s.suspects[cause]
	if !found {
		return
	}
	coSuspects := known.coSuspects
	s.drop(known)
	for coSuspect := range coSuspects {
		if r, found := s.suspects[coSuspect]; found && len(r.coSuspects) == 0 {
			r.stage = 0
			s.scheduleProbe(now, r)
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

// ConfirmAnswered records that other entries remember answers to requests with these causes. A quarantine that
// needed fewer crashes than these causes take is allowed.
func (s *Causes) ConfirmAnswered(now time.Time, causes []Cause) {
	s.settle(now)
	for _, cause := range causes {
		s.remember(cause)
		known, found := s.suspects[cause]
		if !found {
			continue
		}
		known.confirmed = true
		if known.quarantined && !known.despiteAnswers && known.stage == 0 {
			s.drop(known)
		}
	}
}

// ToConfirm returns those of the causes that this entry remembers as answered while others, as far as
// it has heard, do not, and that may soon be quarantined there.
func (s *Causes) ToConfirm(now time.Time, causes []Cause) []Cause {
	var unconfirmed []Cause
	for _, cause := range causes {
		known, found := s.suspects[cause]
		if found && !known.quarantined && !known.confirmed && s.answered.has(cause.key()) && s.count(now, known) >= policies[cause.Kind].threshold-1 {
			unconfirmed = append(unconfirmed, cause)
		}
	}
	return unconfirmed
}
