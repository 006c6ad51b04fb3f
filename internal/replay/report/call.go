// Package report computes the figures of a replay from the calls of its callers
// and the ledgers of the targets. Both modes of the replay provide the same
// records, so a figure has the same meaning in each.
package report

import (
	"time"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// Call is one line of the trace and what its caller received. Times are from the
// start of the replay.
type Call struct {
	Line         int
	ID           string
	Key          string
	Organisation string
	Tier         request.Tier
	Pool         string
	Kind         request.Kind
	Idempotent   bool

	Sent time.Duration
	// First is the arrival of the first token, or zero if none arrived.
	First time.Duration
	// Ended is when the final outcome arrived or the caller gave up.
	Ended time.Duration
	// Deadline and FirstTokenBy are bounds from Sent; zero means none.
	Deadline, FirstTokenBy time.Duration

	// Settled reports whether the caller received a final outcome.
	Settled bool
	Status  outcome.Status
	// Fault describes what was wrong with an answer that was declared complete.
	Fault string
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Attempts counts the requests to entries; there is more than one if an entry
	// failed.
	Attempts int
	// EntryFaults are the reasons why entries gave no final outcome.
	EntryFaults []string
	// Asked are the addresses of the entries in order. Attached counts the attempts
	// that requested the rest of a stream by its token.
	Asked    []string
	Attached int
}

// Answered reports whether the caller received the complete answer to its request.
func (c *Call) Answered() bool {
	return c.Settled && c.Status.Outcome == outcome.Answered && c.Fault == ""
}

// Good reports whether the answer is complete and in time.
func (c *Call) Good() bool {
	if !c.Answered() {
		return false
	}
	if c.Deadline > 0 && c.Ended-c.Sent > c.Deadline {
		return false
	}
	late := c.FirstTokenBy > 0 && c.First-c.Sent > c.FirstTokenBy
	return !late
}

// refusedForLoad reports whether the call was refused for load, where tiers must
// be refused in order.
func (c *Call) refusedForLoad() bool {
	return c.Settled && c.Status.Outcome == outcome.NotRun && c.Status.Reason.CapacityRelated()
}

// Run is one run of a request at a target, from the target's own ledger. Times
// are from the start of the replay.
type Run struct {
	Target string
	Pool   string
	ID     string
	Key    string
	// Began and Ended are by the target's clock; Ended is zero while the run goes on.
	Began, Ended time.Duration
	Complete     bool
	Cancelled    bool
	PromptTokens int
	CachedTokens int
	// ComputedPromptTokens is the prefill computed for the run.
	ComputedPromptTokens int
	Tokens               int
}

// endedBy reports whether the run had ended at the given time.
func (r *Run) endedBy(at time.Duration) bool { return r.Ended > 0 && r.Ended <= at }
