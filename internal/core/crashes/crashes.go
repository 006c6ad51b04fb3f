// Package crashes recognises requests that crash each target that runs them. A caller
// that repeats such a request at any entry would take down one more target for seconds
// each time. Each run that ended with a broken connection counts against the request's
// fingerprint at all entries, and the request is refused once it reaches the threshold.
// Other requests have broken connections too, but rarely that many within the retention
// time.
package crashes

import (
	"fmt"
	"slices"
	"time"
)

// Fingerprint identifies organisation, path and body of a request.
type Fingerprint uint64

// String returns the fingerprint as it is written to logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

const (
	// QuarantineThreshold is the number of failed runs from which a request is refused.
	QuarantineThreshold = 3
	// retention is how long a failed run counts.
	retention = 60 * time.Second
	// maxFingerprints bounds the fingerprints held; the oldest are dropped first.
	maxFingerprints = 4096
)

// Tracker counts failed runs by fingerprint. It is not safe for concurrent use.
type Tracker struct {
	runs  map[Fingerprint][]failedRun
	order []Fingerprint
}

// failedRun is a run that ended with a broken connection. The id prevents a run from
// being counted twice if it is reported twice.
type failedRun struct {
	id string
	at time.Time
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{runs: make(map[Fingerprint][]failedRun)} }

// RecordFailure counts a failed run. It returns false if the run has been counted
// before.
func (m *Tracker) RecordFailure(now time.Time, fingerprint Fingerprint, id string) bool {
	runs, found := m.runs[fingerprint]
	for _, r := range runs {
		if r.id == id {
			return false
		}
	}
	if !found {
		m.order = append(m.order, fingerprint)
		if len(m.order) > maxFingerprints {
			delete(m.runs, m.order[0])
			m.order = m.order[1:]
		}
	}
	m.runs[fingerprint] = append(unexpired(runs, now), failedRun{id: id, at: now})
	return true
}

// Count returns the number of failed runs within the retention time.
func (m *Tracker) Count(now time.Time, fingerprint Fingerprint) int {
	return len(unexpired(m.runs[fingerprint], now))
}

// Quarantined reports whether the request must be refused.
func (m *Tracker) Quarantined(now time.Time, fingerprint Fingerprint) bool {
	return m.Count(now, fingerprint) >= QuarantineThreshold
}

// FailedRun is a run of a request that ended with a broken connection.
type FailedRun struct {
	Fingerprint Fingerprint
	// ID is the id of the request.
	ID string
}

// QuarantinedRuns returns the failed runs of the requests that must be refused, those of the
// latest request first, and at most limit runs.
func (m *Tracker) QuarantinedRuns(now time.Time, limit int) []FailedRun {
	var runs []FailedRun
	for _, fingerprint := range slices.Backward(m.order) {
		failed := unexpired(m.runs[fingerprint], now)
		if len(failed) < QuarantineThreshold {
			continue
		}
		failed = failed[len(failed)-QuarantineThreshold:]
		if len(runs)+len(failed) > limit {
			break
		}
		for _, r := range failed {
			runs = append(runs, FailedRun{Fingerprint: fingerprint, ID: r.id})
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
