package report

import (
	"cmp"
	"slices"
	"time"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// ledgerIndex indexes the runs of the targets and the calls they belong to.
type ledgerIndex struct {
	calls []Call
	runs  []Run
	// byID holds the runs of a request id, callOf the first call that used it.
	byID   map[string][]*Run
	callOf map[string]*Call
	// answeredOf holds the first call of an id that was answered completely.
	answeredOf map[string]*Call
	// byKey holds the runs of non-idempotent calls by onceKey.
	byKey map[string][]*Run
	// byPool holds the runs of a pool in order of their start.
	byPool map[string][]*Run
}

func newLedgerIndex(in *Input) *ledgerIndex {
	b := &ledgerIndex{
		calls: in.Calls, runs: in.Runs, byID: map[string][]*Run{}, callOf: map[string]*Call{}, answeredOf: map[string]*Call{},
		byKey: map[string][]*Run{}, byPool: map[string][]*Run{},
	}
	for i := range b.calls {
		c := &b.calls[i]
		if b.callOf[c.ID] == nil {
			b.callOf[c.ID] = c
		}
		if b.answeredOf[c.ID] == nil && c.Answered() {
			b.answeredOf[c.ID] = c
		}
	}
	for i := range b.runs {
		b.addRun(&b.runs[i])
	}
	for _, runs := range b.byPool {
		slices.SortStableFunc(runs, func(x, y *Run) int { return cmp.Compare(x.Began, y.Began) })
	}
	return b
}

func (b *ledgerIndex) addRun(run *Run) {
	b.byID[run.ID] = append(b.byID[run.ID], run)
	b.byPool[run.Pool] = append(b.byPool[run.Pool], run)
	call := b.callOf[run.ID]
	if call == nil || call.Idempotent {
		return
	}
	key := onceKey(call)
	b.byKey[key] = append(b.byKey[key], run)
}

// onceKey identifies what may run only once: the organisation's idempotency key,
// or the request id if there is none.
func onceKey(c *Call) string {
	if c.Key == "" {
		return "id/" + c.ID
	}
	return "key/" + c.Organisation + "/" + c.Key
}

func (r *Report) countRuns(b *ledgerIndex) {
	seenID := map[string]bool{}
	for i := range b.runs {
		run := &b.runs[i]
		r.RunsByTarget[run.Target]++
		r.PrefillTokens += run.ComputedPromptTokens
		r.CachedTokens += run.CachedTokens
		r.countPrefill(b, run)
		if !seenID[run.ID] && len(b.byID[run.ID]) > 1 {
			r.DispatchedTwice++
			r.violation("dispatched_twice", run.ID)
		}
		seenID[run.ID] = true
	}
	seenKey := map[string]bool{}
	for i := range b.calls {
		call := &b.calls[i]
		key := onceKey(call)
		if !call.Idempotent && !seenKey[key] && len(b.byKey[key]) > 1 {
			r.NonIdempotentRanTwice++
			r.violation("non_idempotent_ran_twice", call.ID)
		}
		seenKey[key] = true
		if b.falselyNotRun(call) {
			r.FalseNotRun++
			r.violation("false_not_run", call.ID)
		}
	}
}

// countPrefill counts a run's prefill as wasted or late according to the outcome
// of its call.
func (r *Report) countPrefill(b *ledgerIndex, run *Run) {
	call := b.answeredCall(run.ID)
	switch {
	case !run.Complete || call == nil:
		r.WastedPrefillTokens += run.ComputedPromptTokens
	case !call.Good():
		r.LatePrefillTokens += run.ComputedPromptTokens
	}
}

// answeredCall returns a call of the id that was answered completely, or else its
// first call. A request that is sent again under its id has several calls.
func (b *ledgerIndex) answeredCall(id string) *Call {
	first := b.callOf[id]
	if first == nil || first.Answered() {
		return first
	}
	return b.answeredOf[id]
}

// falselyNotRun reports whether the outcome "not run" of a call is false: a ledger
// has a run with its id, or one with its key that had begun before. The latter is
// allowed if the refusal declares that the key is in use.
func (b *ledgerIndex) falselyNotRun(c *Call) bool {
	if !c.Settled || c.Status.Outcome != outcome.NotRun {
		return false
	}
	if len(b.byID[c.ID]) > 0 {
		return true
	}
	if c.Idempotent || c.Key == "" || c.Status.Reason == outcome.ReasonDuplicateKey {
		return false
	}
	for _, run := range b.byKey[onceKey(c)] {
		if run.Began < c.Ended {
			return true
		}
	}
	return false
}

// countInversions compares each refusal for load and each preemption with the runs
// of the pool at that time.
func (r *Report) countInversions(b *ledgerIndex, tolerance time.Duration) {
	longest := longestRuns(b)
	for i := range b.calls {
		c := &b.calls[i]
		preempted := c.Settled && c.Status.Outcome == outcome.RanInPart && c.Status.Reason == outcome.ReasonPreempted
		if !c.refusedForLoad() && !preempted {
			continue
		}
		lower := b.lowerTierRun(c, longest[c.Pool], tolerance, preempted)
		switch {
		case lower == "":
		case preempted:
			r.PreemptedAboveLower++
			r.violation("preempted_above_lower", c.ID+" while "+lower)
		default:
			r.TierInversions++
			r.violation("tier_inversions", c.ID+" while "+lower)
		}
	}
}

// lowerTierRun returns the id of a run of a lower tier that violates the priority
// of the refused call c, or "". A run that began after c arrived always counts. A
// run that began before counts only if it was preemptible, that is an idempotent
// request at an engine.
func (b *ledgerIndex) lowerTierRun(c *Call, longest, tolerance time.Duration, onlyPreemptible bool) string {
	runs := b.byPool[c.Pool]
	at := c.Ended
	from, _ := slices.BinarySearchFunc(runs, at-longest, func(run *Run, t time.Duration) int {
		return cmp.Compare(run.Began, t)
	})
	for _, run := range runs[from:] {
		if run.Began > at-tolerance {
			break
		}
		if run.endedBy(at + tolerance) {
			continue
		}
		call := b.callOf[run.ID]
		if call == nil || !c.Tier.Above(call.Tier) {
			continue
		}
		preemptible := call.Kind == request.Engine && call.Idempotent
		if preemptible || !onlyPreemptible && run.Began > c.Sent+tolerance {
			return run.ID
		}
	}
	return ""
}

// longestRuns returns the longest run of each pool, which limits how far back a
// run that is still going on may have begun.
func longestRuns(b *ledgerIndex) map[string]time.Duration {
	var end time.Duration
	for i := range b.calls {
		end = max(end, b.calls[i].Ended)
	}
	longest := map[string]time.Duration{}
	for pool, runs := range b.byPool {
		for _, run := range runs {
			ended := run.Ended
			if ended == 0 {
				ended = end
			}
			longest[pool] = max(longest[pool], ended-run.Began)
		}
	}
	return longest
}
