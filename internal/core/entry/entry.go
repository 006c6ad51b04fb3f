// Package entry composes the duties of the core into the state machine of one
// entry process: inputs in, outputs out, no I/O and no clock of its own.
package entry

import (
	"time"

	"sycamoretrail/internal/core/message"
)

// Policy names how places at targets are given out.
type Policy string

const (
	// PolicyScheduler: one entry schedules each target and grants its places.
	PolicyScheduler Policy = "scheduler"
	// PolicyShares: each entry uses a fixed share of each target. Baseline.
	PolicyShares Policy = "shares"
	// PolicyAlone: each entry decides alone on stale reports, taking the better
	// of two random targets. Baseline.
	PolicyAlone Policy = "alone"
)

// Config is what an entry is started with; all else comes from the document.
type Config struct {
	Self message.Member
	// Seed feeds the entry's own pseudo-random choices.
	Seed   uint64
	Policy Policy
}

// Entry is the state machine. It is not safe for concurrent use.
type Entry struct {
	cfg Config
	now time.Time
	out []Output
}

// New starts an entry's state machine.
func New(cfg Config, now time.Time) *Entry {
	return &Entry{cfg: cfg, now: now}
}

// Step takes one input and returns what is to be done, in order. The slice is
// valid until the next call.
func (e *Entry) Step(now time.Time, in Input) []Output {
	e.now = now
	e.out = e.out[:0]
	_ = in
	return e.out
}
