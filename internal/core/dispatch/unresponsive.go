package dispatch

import "time"

// A target may take requests, pass its health check and answer nothing. Each entry
// would lose a request or two to find out, and again after each pause: at 78 entries
// one such server cost 150 requests in seven seconds. So entries of a cell tell each
// other. A single entry is not believed, since its own link may be at fault.

// unresponsiveQuorum is the number of entries that must report a target as unresponsive.
const unresponsiveQuorum = 2

// takeUnresponsive takes a peer's report of unresponsive targets. All of it counts before
// any target is probed, since so many may be named that something else must be wrong.
func (s *Scheduler) takeUnresponsive(now time.Time, peer string, unresponsive map[string]time.Duration) {
	for id, left := range unresponsive {
		if t, found := s.targets[id]; found {
			t.noteReport(now, peer, min(left, ejectionMax))
		}
	}
	for id := range unresponsive {
		if t, found := s.targets[id]; found && t.reportedUnresponsive(now) {
			t.probing = true
		}
	}
}

// noteReport notes that a peer reports the target, and drops reports that have lapsed.
func (t *target) noteReport(now time.Time, peer string, left time.Duration) {
	if t.reports == nil {
		t.reports = make(map[string]time.Time)
	}
	for other, until := range t.reports {
		if !now.Before(until) {
			delete(t.reports, other)
		}
	}
	t.reports[peer] = now.Add(left)
}

// reportedUnresponsive reports whether enough entries, this one included, report the target,
// and not so many of the pool's targets that something else must be wrong.
func (t *target) reportedUnresponsive(now time.Time) bool {
	return t.reporters(now) >= unresponsiveQuorum && t.pool.fewUnresponsive(now)
}

// reporters is the number of entries that report the target, this one included.
func (t *target) reporters(now time.Time) int {
	n := 0
	if now.Before(t.unresponsiveUntil) {
		n++
	}
	for _, until := range t.reports {
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
		if !t.serves() {
			continue
		}
		all++
		if t.reporters(now) >= unresponsiveQuorum {
			unresponsive++
		}
	}
	return unresponsive*2 < all
}
