package crashes

import (
	"time"
)

// Conviction is what an entry tells another one of a convicted cause.
type Conviction struct {
	Cause   Cause
	Stage   int
	TrialIn time.Duration
	// DespiteAnswers: it was convicted although earlier answers are remembered.
	DespiteAnswers bool
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
