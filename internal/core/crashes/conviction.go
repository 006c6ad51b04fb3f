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

// Conviction is what an entry tells another one of a convicted cause.
type Conviction struct {
	Cause   Cause
	Stage   int
	TrialIn time.Duration
	// DespiteAnswers: it was convicted although earlier answers are remembered.
	DespiteAnswers bool
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

// convict convicts causes that reached their thresholds with the same crash.
func (s *Causes) convict(now time.Time, crossed []*suspect) {
	changes := make([]Change, 0, len(crossed))
	for _, known := range crossed {
		change := Change{Cause: known.cause, Convicted: true, Crashes: s.count(now, known), Answered: s.answered.has(known.cause.key())}
		for _, c := range known.crashes {
			change.Targets = append(change.Targets, c.target)
		}
		for _, other := range crossed {
			if other != known && other.cause.Kind == known.cause.Kind {
				known.rivals[other.cause] = struct{}{}
			}
		}
		changes = append(changes, change)
	}
	for i, known := range crossed {
		known.despiteAnswers = changes[i].Answered
		s.markConvicted(now, known)
		changes[i].TrialIn = known.trialAt.Sub(now)
	}
	s.changes = append(s.changes, changes...)
}

// markConvicted refuses requests with a cause from now on.
func (s *Causes) markConvicted(now time.Time, known *suspect) {
	if s.convicted.Len() >= maxConvicted {
		s.drop(s.convicted.Front().Value.(*suspect))
	}
	s.unconvicted.Remove(known.element)
	known.convicted = true
	if known.explains() {
		for _, c := range known.crashes {
			c.explaining++
		}
	}
	known.element = s.convicted.PushBack(known)
	s.convictedParts[known.cause.ID]++
	known.seen = now
	s.scheduleTrial(now, known)
}

func (s *Causes) scheduleTrial(now time.Time, known *suspect) {
	pause := trialPause(known.stage, len(known.rivals) > 0)
	known.trialAt = now.Add(pause)
	known.ownTrialAt = known.trialAt.Add(s.jitter(pause / 2))
}

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

// Remembers reports whether an answer to a request with a cause is remembered.
func (s *Causes) Remembers(cause Cause) bool { return s.answered.has(cause.key()) }

// Convictions returns what an entry needs that has just joined, the latest first.
func (s *Causes) Convictions(now time.Time, limit int) []Conviction {
	s.settle(now)
	var convictions []Conviction
	for e := s.convicted.Back(); e != nil && len(convictions) < limit; e = e.Prev() {
		known := e.Value.(*suspect)
		convictions = append(convictions, Conviction{Cause: known.cause, Stage: known.stage, TrialIn: max(0, known.trialAt.Sub(now)), DespiteAnswers: known.despiteAnswers})
	}
	return convictions
}

// ApplyConviction applies a conviction of another entry. It returns false, and changes nothing, if an
// answer to a request with the cause is remembered here: the other entry has missed it.
func (s *Causes) ApplyConviction(now time.Time, told Conviction) bool {
	s.settle(now)
	if known, found := s.suspects[told.Cause]; found && known.convicted {
		s.mergeTrials(now, known, told)
		return true
	}
	if s.answered.has(told.Cause.key()) && !told.DespiteAnswers {
		return false
	}
	known := s.findOrAdd(told.Cause)
	known.despiteAnswers = told.DespiteAnswers
	s.markConvicted(now, known)
	s.mergeTrials(now, known, told)
	s.changes = append(s.changes, Change{Cause: told.Cause, Convicted: true, Stage: told.Stage, TrialIn: known.trialAt.Sub(now)})
	return true
}

// mergeTrials takes over what another entry knows of the trials of a convicted cause.
func (s *Causes) mergeTrials(now time.Time, known *suspect, told Conviction) {
	at := now.Add(told.TrialIn)
	if told.Stage < known.stage || told.Stage == known.stage && !at.After(known.trialAt) {
		return
	}
	known.stage, known.trialAt = told.Stage, at
	known.ownTrialAt = at.Add(s.jitter(trialPause(told.Stage, false) / 2))
}
