package crashes

import (
	"slices"
	"time"
)

// Decision says whether a request may be sent to a target.
type Decision struct {
	// Refused: the request has a convicted cause. RetryAfter is the time to its next trial.
	Refused    bool
	RetryAfter time.Duration
	// Cause is the cause of a refusal or of a trial.
	Cause Cause
	// Trial: the request may run once, as a trial of its only convicted cause. Stage counts the trials.
	Trial bool
	Stage int
}

// Check decides whether a request may be sent. It begins no trial.
func (s *Causes) Check(now time.Time, causes []Cause) Decision {
	s.settle(now)
	var held *suspect
	for _, cause := range causes {
		known := s.convictedFor(now, cause)
		if known == nil || known == held {
			continue
		}
		s.touch(now, known)
		if held != nil {
			return refusal(now, known)
		}
		held = known
	}
	switch {
	case held == nil:
		return Decision{}
	case now.Before(held.ownTrialAt):
		return refusal(now, held)
	default:
		return Decision{Cause: held.cause, Trial: true, Stage: held.stage + 1}
	}
}

func refusal(now time.Time, known *suspect) Decision {
	return Decision{Refused: true, Cause: known.cause, RetryAfter: max(time.Second, known.trialAt.Sub(now))}
}

// Claim decides whether a request may be sent now. If it is a trial, later ones wait for the next.
func (s *Causes) Claim(now time.Time, causes []Cause) Decision {
	decision := s.Check(now, causes)
	if decision.Trial {
		known := s.suspects[decision.Cause]
		known.stage = decision.Stage
		s.scheduleTrial(now, known)
	}
	return decision
}

// SetLifted names the causes that are not refused, whatever counts against them.
func (s *Causes) SetLifted(ids []string) {
	s.lifted = make(map[string]bool, len(ids))
	for _, id := range ids {
		s.lifted[id] = true
	}
}

// convictedFor returns the conviction that concerns a cause. That of a part holds for all services
// but those that have answered it: they may run the same software.
func (s *Causes) convictedFor(now time.Time, cause Cause) *suspect {
	if s.lifted[cause.ID] {
		return nil
	}
	known, found := s.suspects[cause]
	if found && known.convicted {
		return s.unlessLapsed(now, known)
	}
	if cause.Kind != Part || s.convictedParts[cause.ID] == 0 || s.answered.has(cause.key()) {
		return nil
	}
	for e := s.convicted.Front(); e != nil; e = e.Next() {
		if other := e.Value.(*suspect); other.cause.Kind == Part && other.cause.ID == cause.ID {
			return s.unlessLapsed(now, other)
		}
	}
	return nil
}

// unlessLapsed drops a conviction with which no request has come for long.
func (s *Causes) unlessLapsed(now time.Time, known *suspect) *suspect {
	if now.Sub(known.seen) <= convictionLife {
		return known
	}
	s.drop(known)
	return nil
}

// MayRepeat reports whether a request whose run broke may be sent to a further target.
func (s *Causes) MayRepeat(now time.Time, causes []Cause) bool {
	s.settle(now)
	return !slices.ContainsFunc(causes, func(cause Cause) bool {
		known, found := s.suspects[cause]
		p := policies[cause.Kind]
		threshold := p.repeatThreshold
		if s.answered.has(cause.key()) {
			threshold = p.answeredRepeatThreshold
		}
		return found && (known.convicted || s.count(now, known) >= threshold)
	})
}

// EndTrial records that a trial ended without showing anything: another one is due after the first pause.
func (s *Causes) EndTrial(now time.Time, cause Cause) {
	if known, found := s.suspects[cause]; found && known.convicted {
		known.trialAt = now.Add(trialPauses[0])
		known.ownTrialAt = known.trialAt
	}
}

// ApplyTrial records that another entry has begun a trial.
func (s *Causes) ApplyTrial(now time.Time, cause Cause, stage int) {
	if known, found := s.suspects[cause]; found && known.convicted {
		known.stage = max(known.stage, stage)
		s.scheduleTrial(now, known)
	}
}

func (s *Causes) scheduleTrial(now time.Time, known *suspect) {
	pause := trialPause(known.stage, len(known.rivals) > 0)
	known.trialAt = now.Add(pause)
	known.ownTrialAt = known.trialAt.Add(s.jitter(pause / 2))
}
