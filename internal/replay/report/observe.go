// Package report turns what callers saw and what targets' ledgers say into the
// figures of a replay. Both modes of the replay feed it the same records, so a
// figure means the same in each.
package report

import (
	"time"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// Call is one line of the trace and what its caller saw. Times are from the
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
	// First is when the first token came; zero: none did.
	First time.Duration
	// Ended is when the final word came, or the caller gave up.
	Ended time.Duration
	// Deadline and FirstTokenBy are bounds from Sent; zero: none.
	Deadline, FirstTokenBy time.Duration

	// Settled: the caller was told a final outcome.
	Settled bool
	Status  outcome.Status
	// Fault says what was wrong with an answer that claimed to be whole.
	Fault string
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Attempts counts the entries asked; more than one after an entry's death.
	Attempts int
	// EntryFaults say why an entry that was asked gave no final word.
	EntryFaults []string
	// Asked are their addresses in order; Attached counts those asked for the
	// rest of a stream by its token.
	Asked    []string
	Attached int
}

// Answered reports whether the caller holds the whole answer to its request.
func (c *Call) Answered() bool {
	return c.Settled && c.Status.Outcome == outcome.Answered && c.Fault == ""
}

// Good reports whether the answer is whole and in time.
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

// refusedForLoad reports whether the order of tiers binds this refusal.
func (c *Call) refusedForLoad() bool {
	return c.Settled && c.Status.Outcome == outcome.NotRun && c.Status.Reason.Load()
}

// Run is one run of a request at a target, from the target's own ledger. Times
// are from the start of the replay.
type Run struct {
	Target string
	Pool   string
	ID     string
	Key    string
	// Began and Ended by the target's clock; a run still going has Ended zero.
	Began, Ended time.Duration
	Complete     bool
	Cancelled    bool
	PromptTokens int
	CachedTokens int
	// ComputedPromptTokens is prefill done for the run.
	ComputedPromptTokens int
	Tokens               int
}

// over reports whether the run had ended at an instant.
func (r *Run) over(at time.Duration) bool { return r.Ended > 0 && r.Ended <= at }
