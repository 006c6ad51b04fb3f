package dispatch

import "time"

// A target may accept requests, pass its health check and answer nothing. Each entry
// would lose a request or two to detect that, and again after each pause: with 78 entries
// one such server cost 150 requests in seven seconds. So the entries of a cell report
// such targets to each other. The report of a single entry is not sufficient, since its own
// link may be at fault.

// unresponsiveQuorum is the number of entries that must report a target as unresponsive.
const unresponsiveQuorum = 2

// mergeUnresponsive applies a peer's report of unresponsive targets. The whole report is
// recorded before any target is set to probing, since a report that names too many targets
// indicates another cause.
func (s *Scheduler) mergeUnresponsive(now time.Time, peer string, unresponsive map[string]time.Duration) {
	for id, left := range unresponsive {
		if t, found := s.targets[id]; found {
			t.addUnresponsiveReport(now, peer, min(left, ejectionMax))
		}
	}
	for id := range unresponsive {
		if t, found := s.targets[id]; found && t.reportedUnresponsive(now) {
			t.probing = true
		}
	}
}

// addUnresponsiveReport records that a peer reports the target, and drops expired reports.
func (t *target) addUnresponsiveReport(now time.Time, peer string, left time.Duration) {
	if t.unresponsiveReports == nil {
		t.unresponsiveReports = make(map[string]time.Time)
	}
	for other, until := range t.unresponsiveReports {
		if !now.Before(until) {
			delete(t.unresponsiveReports, other)
		}
	}
	t.unresponsiveReports[peer] = now.Add(left)
}

// reportedUnresponsive reports whether enough entries, including this one, report the target,
// and not so many of the pool's targets are reported that another cause is likely.
func (t *target) reportedUnresponsive(now time.Time) bool {
	return t.reporters(now) >= unresponsiveQuorum && t.pool.fewUnresponsive(now)
}

// reporters returns the number of entries that report the target, including this one.
func (t *target) reporters(now time.Time) int {
	n := 0
	if now.Before(t.unresponsiveUntil) {
		n++
	}
	for _, until := range t.unresponsiveReports {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// fewUnresponsive reports whether less than half of the cell's targets are reported.
func (p *pool) fewUnresponsive(now time.Time) bool {
	unresponsive, all := 0, 0
	for _, t := range p.targets {
		if !t.usedByCell() {
			continue
		}
		all++
		if t.reporters(now) >= unresponsiveQuorum {
			unresponsive++
		}
	}
	return unresponsive*2 < all
}
