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
	"slices"
	"sort"
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
	// byTarget lists the evidence that a target may still refute, by time.
	byTarget map[string][]suspicion
}

// suspicion is a failed run as listed by target.
type suspicion struct {
	fingerprint Fingerprint
	at          time.Time
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
	return &Tracker{failed: make(map[Fingerprint][]failedRun), byTarget: make(map[string][]suspicion)}
}

// RecordFailure records that a run at a target broke. It returns false if that adds nothing to what
// is known: an earlier run of the request broke there, and the target has not answered since.
func (m *Tracker) RecordFailure(now time.Time, fingerprint Fingerprint, target string) bool {
	all, found := m.failed[fingerprint]
	known := unexpired(all, now)
	for _, r := range all[:len(all)-len(known)] {
		m.forget(r.target, fingerprint)
	}
	m.failed[fingerprint] = known
	if i := slices.IndexFunc(known, func(r failedRun) bool { return r.target == target }); i >= 0 {
		if !known[i].refuted {
			return false
		}
		known = slices.Delete(known, i, i+1)
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
	m.byTarget[target] = append(m.byTarget[target], suspicion{fingerprint, now})
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
	m.setRefutable(target, slices.DeleteFunc(m.byTarget[target], func(s suspicion) bool { return s.fingerprint == fingerprint }))
}

func (m *Tracker) setRefutable(target string, suspicions []suspicion) {
	if len(suspicions) == 0 {
		delete(m.byTarget, target)
		return
	}
	m.byTarget[target] = suspicions
}

// RecordLife records that a target has answered a request that was sent to it at a time. It
// returns the number of failed runs that no longer count as crashes of the target.
func (m *Tracker) RecordLife(target string, sent time.Time) (refuted int) {
	suspicions := m.byTarget[target]
	first := indexAfter(suspicions, sent.Add(-restartTime))
	end := indexFrom(suspicions, sent)
	if first >= end {
		return 0
	}
	for _, s := range suspicions[first:end] {
		runs := m.failed[s.fingerprint]
		if i := slices.IndexFunc(runs, func(r failedRun) bool { return r.target == target }); i >= 0 {
			runs[i].refuted = true
			refuted++
		}
	}
	m.setRefutable(target, slices.Delete(suspicions, first, end))
	return refuted
}

// indexAfter returns the first suspicion after a time, indexFrom the first at or after it.
func indexAfter(suspicions []suspicion, at time.Time) int {
	return sort.Search(len(suspicions), func(i int) bool { return suspicions[i].at.After(at) })
}

func indexFrom(suspicions []suspicion, at time.Time) int {
	return sort.Search(len(suspicions), func(i int) bool { return !suspicions[i].at.Before(at) })
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
	if i := slices.Index(m.order, fingerprint); i >= 0 {
		m.order = slices.Delete(m.order, i, i+1)
	}
	return had
}

// Count returns the number of targets that are suspected to have crashed within the retention time.
func (m *Tracker) Count(now time.Time, fingerprint Fingerprint) int {
	return len(m.counted(now, fingerprint))
}

// counted returns the failed runs that count, oldest first.
func (m *Tracker) counted(now time.Time, fingerprint Fingerprint) []failedRun {
	var runs []failedRun
	for _, r := range unexpired(m.failed[fingerprint], now) {
		if !r.refuted {
			runs = append(runs, r)
		}
	}
	return runs
}

// Quarantined reports whether the request must be refused.
func (m *Tracker) Quarantined(now time.Time, fingerprint Fingerprint) bool {
	return m.Count(now, fingerprint) >= QuarantineThreshold
}

// RetryAfter returns the time after which a refused request is allowed again.
func (m *Tracker) RetryAfter(now time.Time, fingerprint Fingerprint) time.Duration {
	runs := m.counted(now, fingerprint)
	if len(runs) < QuarantineThreshold {
		return 0
	}
	return runs[len(runs)-QuarantineThreshold].at.Add(retention).Sub(now)
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
	for _, fingerprint := range slices.Backward(m.order) {
		failed := m.counted(now, fingerprint)
		if len(failed) < QuarantineThreshold {
			continue
		}
		failed = failed[len(failed)-QuarantineThreshold:]
		if len(runs)+len(failed) > limit {
			break
		}
		for _, r := range failed {
			runs = append(runs, FailedRun{Fingerprint: fingerprint, ID: r.target})
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
