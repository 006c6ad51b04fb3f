package report

import (
	"cmp"
	"slices"
	"time"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// books tie the targets' runs to the callers' requests.
type books struct {
	calls []Call
	runs  []Run
	// byID lists the runs of a request id, callOf the first call that used it.
	byID   map[string][]*Run
	callOf map[string]*Call
	// answeredOf is the first call of an id whose caller got the whole answer.
	answeredOf map[string]*Call
	// byKey lists the runs of a call that may not be repeated, by its key.
	byKey map[string][]*Run
	// byPool lists runs in order of their beginning.
	byPool map[string][]*Run
}

func newBooks(in *Input) *books {
	b := &books{
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
		b.enter(&b.runs[i])
	}
	for _, runs := range b.byPool {
		slices.SortStableFunc(runs, func(x, y *Run) int { return cmp.Compare(x.Began, y.Began) })
	}
	return b
}

func (b *books) enter(run *Run) {
	b.byID[run.ID] = append(b.byID[run.ID], run)
	b.byPool[run.Pool] = append(b.byPool[run.Pool], run)
	call := b.callOf[run.ID]
	if call == nil || call.Idempotent {
		return
	}
	key := onceKey(call)
	b.byKey[key] = append(b.byKey[key], run)
}

// onceKey names what may run once: the organisation's key, else the id.
func onceKey(c *Call) string {
	if c.Key == "" {
		return "id/" + c.ID
	}
	return "key/" + c.Organisation + "/" + c.Key
}

func (r *Report) countRuns(b *books) {
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

// countPrefill books a run's prefill as used, late or wasted by what became of
// the call that it was for.
func (r *Report) countPrefill(b *books, run *Run) {
	call := b.answeredCall(run.ID)
	switch {
	case !run.Complete || call == nil:
		r.WastedPrefillTokens += run.ComputedPromptTokens
	case !call.Good():
		r.LatePrefillTokens += run.ComputedPromptTokens
	}
}

// answeredCall finds a call of the id whose caller got the whole answer; a
// request sent again under its id has several.
func (b *books) answeredCall(id string) *Call {
	first := b.callOf[id]
	if first == nil || first.Answered() {
		return first
	}
	return b.answeredOf[id]
}

// falselyNotRun: the caller was told "not run", yet a run with the id is in a
// ledger at any time; or one with its key had begun, unless the refusal itself
// says that the key is in use.
func (b *books) falselyNotRun(c *Call) bool {
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

// countInversions compares each refusal for load, and each preemption, with
// what the pool served at that instant.
func (r *Report) countInversions(b *books, tolerance time.Duration) {
	longest := longestRuns(b)
	for i := range b.calls {
		c := &b.calls[i]
		preempted := c.Settled && c.Status.Outcome == outcome.RanInPart && c.Status.Reason == outcome.ReasonPreempted
		if !c.refusedForLoad() && !preempted {
			continue
		}
		lower := b.servedBelow(c, longest[c.Pool], tolerance, preempted)
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

// servedBelow finds a run of lower work that the refused call c had to come
// before. Work that began after c arrived counts whatever it is; work that ran
// already counts if it could have been cut: an engine's, and repeatable.
func (b *books) servedBelow(c *Call, longest, tolerance time.Duration, onlyCuttable bool) string {
	runs := b.byPool[c.Pool]
	at := c.Ended
	from, _ := slices.BinarySearchFunc(runs, at-longest, func(run *Run, t time.Duration) int {
		return cmp.Compare(run.Began, t)
	})
	for _, run := range runs[from:] {
		if run.Began > at-tolerance {
			break
		}
		if run.over(at + tolerance) {
			continue
		}
		call := b.callOf[run.ID]
		if call == nil || !c.Tier.Above(call.Tier) {
			continue
		}
		cuttable := call.Kind == request.Engine && call.Idempotent
		if cuttable || !onlyCuttable && run.Began > c.Sent+tolerance {
			return run.ID
		}
	}
	return ""
}

// longestRuns bounds how far back a run that still goes on may have begun.
func longestRuns(b *books) map[string]time.Duration {
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
