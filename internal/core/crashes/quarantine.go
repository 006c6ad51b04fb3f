package crashes

import "time"

// Quarantine is what an entry tells another one of a quarantined cause.
type Quarantine struct {
	Cause   Cause
	Stage   int
	ProbeIn time.Duration
	// DespiteAnswers: it was quarantined although earlier answers are remembered.
	DespiteAnswers bool
}

// quarantine quarantines causes that reached their thresholds with the same crash.
func (s *Causes) quarantine(now time.Time, crossed []*suspect) {
	changes := make([]Change, 0, len(crossed))
	for _, known := range crossed {
		change := Change{Cause: known.cause, Quarantined: true, Crashes: s.count(now, known), Answered: s.answered.count(known.cause.key())}
		for _, c := range known.crashes {
			change.Targets = append(change.Targets, c.target)
		}
		for _, other := range crossed {
			if other != known && other.cause.Kind == known.cause.Kind {
				known.coSuspects[other.cause] = struct{}{}
			}
		}
		changes = append(changes, change)
	}
	for i, known := range crossed {
		known.despiteAnswers = changes[i].Answered > 0
		s.startQuarantine(now, known)
		changes[i].ProbeIn = known.probeAt.Sub(now)
	}
	s.changes = append(s.changes, changes...)
}

// startQuarantine refuses requests with a cause from now on.
func (s *Causes) startQuarantine(now time.Time, known *suspect) {
	if s.quarantined.Len() >= maxQuarantined {
		s.drop(s.quarantined.Front().Value.(*suspect))
	}
	s.suspected.Remove(known.element)
	known.quarantined = true
	if known.explains() {
		for _, c := range known.crashes {
			c.explaining++
		}
	}
	known.element = s.quarantined.PushBack(known)
	s.quarantinedParts[known.cause.ID]++
	known.seen = now
	s.scheduleProbe(now, known)
}

// Quarantines returns what an entry needs that has just joined, the latest first.
func (s *Causes) Quarantines(now time.Time, limit int) []Quarantine {
	s.settle(now)
	var quarantines []Quarantine
	for e := s.quarantined.Back(); e != nil && len(quarantines) < limit; e = e.Prev() {
		known := e.Value.(*suspect)
		if known.lapsed(now) {
			continue
		}
		quarantines = append(quarantines, Quarantine{Cause: known.cause, Stage: known.stage, ProbeIn: max(0, known.probeAt.Sub(now)), DespiteAnswers: known.despiteAnswers})
	}
	return quarantines
}

// ApplyQuarantine applies a quarantine of another entry. It returns false, and changes nothing, if an
// answer to a request with the cause is remembered here: the other entry has missed it.
func (s *Causes) ApplyQuarantine(now time.Time, reported Quarantine) bool {
	s.settle(now)
	if known, found := s.suspects[reported.Cause]; found && known.quarantined {
		s.mergeProbes(now, known, reported)
		return true
	}
	if s.answered.has(reported.Cause.key()) && !reported.DespiteAnswers {
		return false
	}
	known := s.findOrAdd(reported.Cause)
	known.despiteAnswers = reported.DespiteAnswers
	s.startQuarantine(now, known)
	// Without a probe so far the full first pause holds, also where the other entry plans an early
	// probe: this one does not know the co-suspects.
	s.mergeProbes(now, known, reported)
	s.changes = append(s.changes, Change{Cause: reported.Cause, Quarantined: true, Stage: reported.Stage, ProbeIn: known.probeAt.Sub(now)})
	return true
}

// mergeProbes takes over what another entry knows of the probes of a quarantined cause.
func (s *Causes) mergeProbes(now time.Time, known *suspect, reported Quarantine) {
	at := now.Add(reported.ProbeIn)
	if reported.Stage < known.stage || reported.Stage == known.stage && !at.After(known.probeAt) {
		return
	}
	known.stage, known.probeAt = reported.Stage, at
	known.ownProbeAt = at.Add(s.jitter(probePause(reported.Stage, false) / 2))
}
