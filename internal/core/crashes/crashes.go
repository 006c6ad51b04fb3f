// Package crashes recognises requests that crash each target that runs them. A caller that repeats
// such a request at any entry would take down one more target for seconds each time. A run that
// ended with a broken connection is evidence against the request's fingerprint at all entries, and
// the request is refused once as many targets as the threshold are suspected to have crashed.
//
// Other requests have broken connections too. Evidence of one target counts once, however many
// runs broke with it; it is void once the target answers a request that was sent to it afterwards;
// and a request that is answered crashes nothing, so all evidence against it is dropped.
package crashes

import (
	"fmt"
	"time"
)

// Fingerprint identifies organisation, path and body of a request.
type Fingerprint uint64

// String returns the fingerprint as it is written to logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

const (
	// QuarantineThreshold is the number of suspected crashes from which a request is refused.
	QuarantineThreshold = 3
	// retention is how long a failed run counts.
	retention = 60 * time.Second
	// restartTime is how soon a target that crashed may be back under its name: answers after
	// that don't show that it lived on.
	restartTime = time.Second
	// maxFingerprints bounds the fingerprints held; the oldest are dropped first.
	maxFingerprints = 4096
	// maxTargets bounds the targets held for a fingerprint; the oldest are dropped first.
	maxTargets = 64
)

// Tracker holds the evidence by fingerprint. It is not safe for concurrent use.
type Tracker struct {
	failed map[Fingerprint][]failedRun
	order  []Fingerprint
	// byTarget lists the fingerprints with evidence that the target may still refute.
	byTarget map[string][]Fingerprint
}

// failedRun is a run that ended with a broken connection.
type failedRun struct {
	target string
	at     time.Time
	// refuted: the target has answered since.
	refuted bool
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{failed: make(map[Fingerprint][]failedRun), byTarget: make(map[string][]Fingerprint)}
}

// RecordFailure records that a run at a target broke. It returns false if a run of the request at
// that target is known already.
func (m *Tracker) RecordFailure(now time.Time, fingerprint Fingerprint, target string) bool {
	all, found := m.failed[fingerprint]
	known := unexpired(all, now)
	for _, r := range all[:len(all)-len(known)] {
		m.forget(r.target, fingerprint)
	}
	m.failed[fingerprint] = known
	for _, r := range known {
		if r.target == target {
			return false
		}
	}
	if !found {
		m.order = append(m.order, fingerprint)
		if len(m.order) > maxFingerprints {
			m.drop(m.order[0])
			m.order = m.order[1:]
		}
	}
	if len(known) == maxTargets {
		m.forget(known[0].target, fingerprint)
		known = known[1:]
	}
	m.failed[fingerprint] = append(known, failedRun{target: target, at: now})
	m.byTarget[target] = append(m.byTarget[target], fingerprint)
	return true
}

// drop removes a fingerprint, except for its place in the order.
func (m *Tracker) drop(fingerprint Fingerprint) {
	for _, r := range m.failed[fingerprint] {
		m.forget(r.target, fingerprint)
	}
	delete(m.failed, fingerprint)
}

func (m *Tracker) forget(target string, fingerprint Fingerprint) {
	kept := m.byTarget[target][:0]
	for _, f := range m.byTarget[target] {
		if f != fingerprint {
			kept = append(kept, f)
		}
	}
	if m.byTarget[target] = kept; len(kept) == 0 {
		delete(m.byTarget, target)
	}
}

// RecordLife records that a target has answered a request that was sent to it at a time. It
// returns the number of failed runs that no longer count as crashes of the target.
func (m *Tracker) RecordLife(target string, sent time.Time) (refuted int) {
	for _, fingerprint := range m.byTarget[target] {
		runs := m.failed[fingerprint]
		for i := range runs {
			r := &runs[i]
			if r.target == target && !r.refuted && sent.After(r.at) && sent.Sub(r.at) < restartTime {
				r.refuted = true
				refuted++
			}
		}
	}
	return refuted
}

// Clear drops all evidence against a request that has been answered, and reports whether there was
// any.
func (m *Tracker) Clear(now time.Time, fingerprint Fingerprint) bool {
	runs, found := m.failed[fingerprint]
	if !found {
		return false
	}
	had := len(unexpired(runs, now)) > 0
	m.drop(fingerprint)
	for i, f := range m.order {
		if f == fingerprint {
			m.order = append(m.order[:i], m.order[i+1:]...)
			break
		}
	}
	return had
}

// Count returns the number of targets that are suspected to have crashed within the retention time.
func (m *Tracker) Count(now time.Time, fingerprint Fingerprint) int {
	n := 0
	for _, r := range unexpired(m.failed[fingerprint], now) {
		if !r.refuted {
			n++
		}
	}
	return n
}

// Quarantined reports whether the request must be refused.
func (m *Tracker) Quarantined(now time.Time, fingerprint Fingerprint) bool {
	return m.Count(now, fingerprint) >= QuarantineThreshold
}

// RetryAfter returns the time after which a refused request is allowed again.
func (m *Tracker) RetryAfter(now time.Time, fingerprint Fingerprint) time.Duration {
	var counted []failedRun
	for _, r := range unexpired(m.failed[fingerprint], now) {
		if !r.refuted {
			counted = append(counted, r)
		}
	}
	if len(counted) < QuarantineThreshold {
		return 0
	}
	return counted[len(counted)-QuarantineThreshold].at.Add(retention).Sub(now)
}

// FailedRun is a run of a request that ended with a broken connection.
type FailedRun struct {
	Fingerprint Fingerprint
	// ID is the incarnation of the target.
	ID string
}

// QuarantinedRuns returns the failed runs of the requests that must be refused, those of the
// latest request first, and at most limit runs.
func (m *Tracker) QuarantinedRuns(now time.Time, limit int) []FailedRun {
	var runs []FailedRun
	for i := len(m.order) - 1; i >= 0; i-- {
		fingerprint := m.order[i]
		if !m.Quarantined(now, fingerprint) {
			continue
		}
		if len(runs)+QuarantineThreshold > limit {
			break
		}
		failed, n := unexpired(m.failed[fingerprint], now), 0
		for k := len(failed) - 1; k >= 0 && n < QuarantineThreshold; k-- {
			if !failed[k].refuted {
				runs = append(runs, FailedRun{Fingerprint: fingerprint, ID: failed[k].target})
				n++
			}
		}
	}
	return runs
}

func unexpired(runs []failedRun, now time.Time) []failedRun {
	expired := 0
	for expired < len(runs) && now.Sub(runs[expired].at) > retention {
		expired++
	}
	return runs[expired:]
}
