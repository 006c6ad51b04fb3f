// Package reach detects that an entry has lost its path to all targets. A target that cannot be
// reached is no evidence by itself: it may be down. Several in a row, without a sign of life from
// any, indicate that the entry itself is partitioned.
//
// Time is passed as an argument. A Tracker is not safe for concurrent use.
package reach

import "time"

const (
	// minTargets is the number of different targets that must have failed since the last
	// contact, minSilence the time since the first of these failures. Several targets may be
	// down at once, but others answer meanwhile.
	minTargets = 3
	minSilence = 150 * time.Millisecond
)

// Tracker records contacts with targets and failures to reach them.
type Tracker struct {
	// failed holds at most minTargets of the targets that failed since the last contact.
	failed      map[string]bool
	failedSince time.Time
	isolated    bool
}

// New returns a tracker without failures.
func New() *Tracker { return &Tracker{failed: make(map[string]bool)} }

// Isolated reports whether this entry has lost its path to all targets.
func (t *Tracker) Isolated() bool { return t.isolated }

// Failed returns the number of targets that count as evidence: those that failed since the last
// contact, up to the number that is needed.
func (t *Tracker) Failed() int { return len(t.failed) }

// RecordContact records that a target accepted a connection or sent something. It reports whether
// this ends the isolation.
func (t *Tracker) RecordContact() (regained bool) {
	regained = t.isolated
	t.isolated = false
	clear(t.failed)
	return regained
}

// RecordFailure records that a connection to a target could not be opened or failed. known is the number
// of known targets. It reports whether this entry counts as isolated from now on.
func (t *Tracker) RecordFailure(now time.Time, target string, known int) (lost bool) {
	if len(t.failed) == 0 {
		t.failedSince = now
	}
	if len(t.failed) < minTargets {
		t.failed[target] = true
	}
	if t.isolated || len(t.failed) < max(1, min(minTargets, known)) || now.Sub(t.failedSince) < minSilence {
		return false
	}
	t.isolated = true
	return true
}
