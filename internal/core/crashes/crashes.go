// Package crashes recognises requests that crash each target that runs them. A
// caller sends such a request again and again, at any entry, and each time one
// more target is lost for seconds. Each run that ended with a broken connection
// counts against the request's fingerprint, at all entries; from the limit on it
// is refused. A sound request meets a broken connection now and then, but hardly
// so often within the memory.
package crashes

import (
	"fmt"
	"time"
)

// Fingerprint stands for organisation, path and body of a request.
type Fingerprint uint64

// String forms the word by which logs name it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

const (
	// Limit is the number of broken runs from which a request is refused.
	Limit = 3
	// memory is how long a broken run counts.
	memory = 60 * time.Second
	// maxKnown bounds the fingerprints held; the oldest go first.
	maxKnown = 4096
)

// Memory holds the broken runs. It is not safe for concurrent use.
type Memory struct {
	runs  map[Fingerprint][]run
	order []Fingerprint
}

// run is a broken run; the id keeps one run from counting twice when news of it
// comes twice.
type run struct {
	id string
	at time.Time
}

// New makes an empty memory.
func New() *Memory { return &Memory{runs: make(map[Fingerprint][]run)} }

// Broken counts a broken run; false: it was known.
func (m *Memory) Broken(now time.Time, fingerprint Fingerprint, id string) bool {
	runs, found := m.runs[fingerprint]
	for _, r := range runs {
		if r.id == id {
			return false
		}
	}
	if !found {
		m.order = append(m.order, fingerprint)
		if len(m.order) > maxKnown {
			delete(m.runs, m.order[0])
			m.order = m.order[1:]
		}
	}
	m.runs[fingerprint] = append(fresh(runs, now), run{id: id, at: now})
	return true
}

// Count is the number of broken runs that are remembered.
func (m *Memory) Count(now time.Time, fingerprint Fingerprint) int {
	return len(fresh(m.runs[fingerprint], now))
}

// Convicted reports whether the request has to be refused.
func (m *Memory) Convicted(now time.Time, fingerprint Fingerprint) bool {
	return m.Count(now, fingerprint) >= Limit
}

func fresh(runs []run, now time.Time) []run {
	old := 0
	for old < len(runs) && now.Sub(runs[old].at) > memory {
		old++
	}
	return runs[old:]
}
