package crashes

import (
	"slices"
	"time"
)

// Decision says whether a request may be sent to a target.
type Decision struct {
	// Refused: the request has a quarantined cause. RetryAfter is the time to its next probe.
	Refused    bool
	RetryAfter time.Duration
	// Cause is the cause of a refusal or of a probe.
	Cause Cause
	// Probe: the request may run once, as a probe of its only quarantined cause. Stage counts the probes.
	Probe bool
	Stage int
}

// Check decides whether a request may be sent. It begins no probe.
func (s *Causes) Check(now time.Time, causes []Cause) Decision {
	s.settle(now)
	var held *suspect
	for _, cause := range causes {
		known := s.quarantineFor(now, cause)
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
	case now.Before(held.ownProbeAt):
		return refusal(now, held)
	default:
		return Decision{Cause: held.cause, Probe: true, Stage: held.stage + 1}
	}
}

func refusal(now time.Time, known *suspect) Decision {
	return Decision{Refused: true, Cause: known.cause, RetryAfter: max(time.Second, known.probeAt.Sub(now))}
}

// Claim decides whether a request may be sent now. If it is a probe, later ones wait for the next.
func (s *Causes) Claim(now time.Time, causes []Cause) Decision {
	decision := s.Check(now, causes)
	if decision.Probe {
		known := s.suspects[decision.Cause]
		known.stage = decision.Stage
		s.scheduleProbe(now, known)
	}
	return decision
}

// SetAllowed names the causes that are not refused, whatever counts against them.
func (s *Causes) SetAllowed(ids []string) {
	s.allowed = make(map[string]bool, len(ids))
	for _, id := range ids {
		s.allowed[id] = true
	}
}

// quarantineFor returns the quarantine that concerns a cause. That of a part holds for all services
// but those that have answered it: they may run the same software.
func (s *Causes) quarantineFor(now time.Time, cause Cause) *suspect {
	if s.allowed[cause.ID] {
		return nil
	}
	known, found := s.suspects[cause]
	if found && known.quarantined {
		return s.unlessLapsed(now, known)
	}
	if cause.Kind != Part || s.quarantinedParts[cause.ID] == 0 || s.answered.has(cause.key()) {
		return nil
	}
	for e := s.quarantined.Front(); e != nil; e = e.Next() {
		if other := e.Value.(*suspect); other.cause.Kind == Part && other.cause.ID == cause.ID {
			return s.unlessLapsed(now, other)
		}
	}
	return nil
}

// unlessLapsed drops a quarantine with which no request has come for long.
func (s *Causes) unlessLapsed(now time.Time, known *suspect) *suspect {
	if known.lapsed(now) {
		s.drop(known)
		return nil
	}
	return known
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
		return found && (known.quarantined || s.count(now, known) >= threshold)
	})
}

// EndProbe records that a probe ended without showing anything: another one is due after the first pause.
func (s *Causes) EndProbe(now time.Time, cause Cause) {
	if known, found := s.suspects[cause]; found && known.quarantined {
		known.probeAt = now.Add(probePauses[0])
		known.ownProbeAt = known.probeAt
	}
}

// ApplyProbe records that another entry has begun a probe.
func (s *Causes) ApplyProbe(now time.Time, cause Cause, stage int) {
	if known, found := s.suspects[cause]; found && known.quarantined {
		known.stage = max(known.stage, stage)
		s.scheduleProbe(now, known)
	}
}

func (s *Causes) scheduleProbe(now time.Time, known *suspect) {
	pause := probePause(known.stage, len(known.coSuspects) > 0)
	known.probeAt = now.Add(pause)
	known.ownProbeAt = known.probeAt.Add(s.jitter(pause / 2))
}
