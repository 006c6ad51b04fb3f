package gateway

import (
	"time"

	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/eventlog"
)

// quarantined reports whether a request crashes targets and must be refused, and for how long.
func (s *state) quarantined(fingerprint crashes.Fingerprint) (refused bool, retryAfter time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	return s.crashes.Quarantined(now, fingerprint), s.crashes.RetryAfter(now, fingerprint)
}

// countBroken counts an aborted run at a target against a fingerprint; isNew: none of that target
// had been counted yet.
func (s *state) countBroken(fingerprint crashes.Fingerprint, target string) (isNew bool, count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	return s.crashes.RecordFailure(now, fingerprint, target), s.crashes.Count(now, fingerprint)
}

// recordLife records that a target has answered a request that was sent at a time.
func (s *state) recordLife(target string, sent time.Time) {
	s.mutex.Lock()
	refuted := s.crashes.RecordLife(target, sent)
	s.mutex.Unlock()
	if refuted > 0 {
		s.log.Write(eventlog.StateChange, eventRefuted, eventlog.Fields{"target": target, "runs": refuted})
	}
}

// clearCrashes drops the evidence against a request, and reports whether there was any.
func (s *state) clearCrashes(fingerprint crashes.Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.crashes.Clear(time.Now(), fingerprint)
}

// checkCauses decides whether a request may run, claimRun also begins a trial that is due.
func (s *state) checkCauses(causes []crashes.Cause) crashes.Decision {
	return withCauses(s, func(now time.Time) crashes.Decision { return s.causes.Check(now, causes) })
}

func (s *state) claimRun(causes []crashes.Cause) crashes.Decision {
	return withCauses(s, func(now time.Time) crashes.Decision { return s.causes.Claim(now, causes) })
}

// mayRunAgain reports whether a request whose run broke may go to a further target.
func (s *state) mayRunAgain(causes []crashes.Cause) bool {
	return withCauses(s, func(now time.Time) bool { return s.causes.MayRepeat(now, causes) })
}

// evidenceOf returns what a broken run shows of its causes.
func (s *state) evidenceOf(causes []crashes.Cause) []crashes.Evidence {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	evidence := make([]crashes.Evidence, 0, len(causes))
	for _, cause := range causes {
		evidence = append(evidence, crashes.Evidence{Cause: cause, Answered: s.causes.Remembers(cause)})
	}
	return evidence
}

// countCauses counts a broken run against its causes and returns those that it adds to.
func (s *state) countCauses(target string, evidence []crashes.Evidence) (added []crashes.Cause) {
	return withCauses(s, func(now time.Time) []crashes.Cause { return s.causes.RecordBroken(now, target, evidence) })
}

// recordAnswer records an answer to a request with these causes, and returns those of which the other
// entries should hear it, at once or soon.
func (s *state) recordAnswer(causes []crashes.Cause) (atOnce, soon []crashes.Cause) {
	s.changeCauses(func(now time.Time) { atOnce, soon = s.causes.RecordAnswer(now, causes) })
	return atOnce, soon
}

func (s *state) endTrial(cause crashes.Cause) {
	s.changeCauses(func(now time.Time) { s.causes.EndTrial(now, cause) })
}

// changeCauses calls a function under the lock and logs what it changes.
func (s *state) changeCauses(change func(now time.Time)) {
	withCauses(s, func(now time.Time) struct{} {
		change(now)
		return struct{}{}
	})
}

// withCauses calls a function under the lock, logs what it changes and returns its result.
func withCauses[T any](s *state, decide func(now time.Time) T) T {
	s.mutex.Lock()
	result := decide(time.Now())
	changes := s.causes.Changes()
	s.mutex.Unlock()
	for _, change := range changes {
		s.logCause(change)
	}
	return result
}

func (s *state) logCause(change crashes.Change) {
	fields := eventlog.Fields{change.Cause.Kind.String(): change.Cause.ID, "service": change.Cause.Service, "answered": change.Answered, "trials": change.Stage}
	if !change.Convicted {
		s.log.Write(eventlog.StateChange, eventAcquitted, fields)
		return
	}
	fields["crashes"], fields["targets"], fields["trial_in_ms"] = change.Crashes, change.Targets, change.TrialIn.Milliseconds()
	s.log.Write(eventlog.StateChange, eventConvicted, fields)
}
