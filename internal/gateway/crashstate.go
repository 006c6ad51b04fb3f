package gateway

import (
	"time"

	"sycamoretrail/internal/core/crashes"
	"sycamoretrail/internal/eventlog"
)

// recordLife records that a target has answered a request that was sent at a time.
func (s *state) recordLife(target string, sent time.Time) {
	refuted := withCauses(s, func(time.Time) int { return s.causes.RecordLife(target, sent) })
	if refuted > 0 {
		s.log.Write(eventlog.StateChange, eventRefuted, eventlog.Fields{"target": target, "causes": refuted})
	}
}

// checkCauses decides whether a request may run, claimRun also begins a probe that is due.
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

// countCauses counts a broken run against its causes. It returns those that it adds to, and the
// number of crashes of the last one, the request.
func (s *state) countCauses(target string, ran time.Duration, evidence []crashes.Evidence) (added []crashes.Cause, count int) {
	added = withCauses(s, func(now time.Time) []crashes.Cause {
		added := s.causes.RecordBroken(now, target, ran, evidence)
		count = s.causes.Count(now, evidence[len(evidence)-1].Cause)
		return added
	})
	return added, count
}

// recordAnswer records an answer to a request with these causes, and returns those of which the other
// entries should hear it, at once or soon.
func (s *state) recordAnswer(causes []crashes.Cause) (atOnce, soon []crashes.Cause) {
	s.changeCauses(func(now time.Time) { atOnce, soon = s.causes.RecordAnswer(now, causes) })
	return atOnce, soon
}

func (s *state) endProbe(cause crashes.Cause) {
	s.changeCauses(func(now time.Time) { s.causes.EndProbe(now, cause) })
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
	fields := eventlog.Fields{change.Cause.Kind.String(): change.Cause.ID, "service": change.Cause.Service, "answered": change.Answered > 0, "answered_runs": change.Answered, "probes": change.Stage}
	if !change.Quarantined {
		s.log.Write(eventlog.StateChange, eventsOfCauses[change.Cause.Kind].allowed, fields)
		return
	}
	fields["crashes"], fields["targets"], fields["probe_in_ms"] = change.Crashes, change.Targets, change.ProbeIn.Milliseconds()
	s.log.Write(eventlog.StateChange, eventsOfCauses[change.Cause.Kind].refused, fields)
}
