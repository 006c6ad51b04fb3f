package dispatch

import "time"

const (
	// limitSkew is how much newer another entry's news must be to replace this entry's: by
	// less, it may be the same news, which each report makes younger by its delay.
	limitSkew = 50 * time.Millisecond
	// limitEndTold is how long the end of a limit is told.
	limitEndTold = 3 * time.Second
)

// LimitReport is what an entry tells of a target's limit.
type LimitReport struct {
	Limit
	// Age is the age of the answer that declares the limit, or its end.
	Age time.Duration
	// Sent is the number of requests that the sender has sent since the limit began.
	Sent int
}

// reportLimits is what this entry tells its cell of targets' limits.
func (s *Scheduler) reportLimits(now time.Time) map[string]LimitReport {
	var reports map[string]LimitReport
	for id, t := range s.targets {
		known := &t.limited
		if known.since.IsZero() || !known.Declared && now.Sub(known.since) > limitEndTold {
			continue
		}
		if reports == nil {
			reports = make(map[string]LimitReport)
		}
		reports[id] = LimitReport{Limit: known.Limit, Age: now.Sub(known.answered), Sent: known.sent}
	}
	return reports
}

// takeLimits takes a peer's news of limits and counts what it has sent.
func (s *Scheduler) takeLimits(now time.Time, name string, peer *peerLoad, reports map[string]LimitReport) []LimitChange {
	var changes []LimitChange
	for id, report := range reports {
		t, found := s.targets[id]
		if !found {
			continue
		}
		before, counted := peer.sentUnderLimit[id]
		if counted && report.Sent > before {
			s.takeTokens(now, t, report.Sent-before)
		}
		if peer.sentUnderLimit == nil {
			peer.sentUnderLimit = make(map[string]int)
		}
		peer.sentUnderLimit[id] = report.Sent
		if change, changed := s.hearLimit(now, t, report); changed {
			change.Peer = name
			changes = append(changes, change)
		}
	}
	return changes
}

// hearLimit takes a peer's news of a limit; false: nothing changes.
func (s *Scheduler) hearLimit(now time.Time, t *target, report LimitReport) (LimitChange, bool) {
	answered := now.Add(-report.Age)
	if answered.Sub(t.limited.answered) < limitSkew {
		return LimitChange{}, false
	}
	return s.setLimit(now, t, report.Limit, answered)
}
