package dispatch

import "time"

const (
	// limitSkew is how much newer a peer's report must be to replace this entry's state:
	// by less, it may be the same declaration, whose age shrinks by the delay of each report.
	limitSkew = 50 * time.Millisecond
	// limitEndReportPeriod is how long the end of a limit is reported.
	limitEndReportPeriod = 3 * time.Second
)

// LimitReport is an entry's report of a target's limit.
type LimitReport struct {
	Limit
	// Age is the age of the answer that declares the limit or its end.
	Age time.Duration
	// Sent is the number of requests that the sender has sent since the limit began.
	Sent int
}

// reportLimits returns the limits of targets that this entry reports to its cell.
func (s *Scheduler) reportLimits(now time.Time) map[string]LimitReport {
	var reports map[string]LimitReport
	for id, t := range s.targets {
		declared := &t.limited
		if declared.since.IsZero() || !declared.Declared && now.Sub(declared.since) > limitEndReportPeriod {
			continue
		}
		if reports == nil {
			reports = make(map[string]LimitReport)
		}
		reports[id] = LimitReport{Limit: declared.Limit, Age: now.Sub(declared.answered), Sent: declared.sent}
	}
	return reports
}

// mergePeerLimits applies a peer's reports of limits and subtracts the requests that it has sent.
func (s *Scheduler) mergePeerLimits(now time.Time, name string, peer *peerLoad, reports map[string]LimitReport) []LimitChange {
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
		if change, changed := s.mergePeerLimit(now, t, report); changed {
			change.Peer = name
			changes = append(changes, change)
		}
	}
	return changes
}

// mergePeerLimit applies a peer's report of a limit and reports whether the limit changed.
func (s *Scheduler) mergePeerLimit(now time.Time, t *target, report LimitReport) (LimitChange, bool) {
	answered := now.Add(-report.Age)
	if answered.Sub(t.limited.answered) < limitSkew {
		return LimitChange{}, false
	}
	return s.setLimit(now, t, report.Limit, answered)
}
