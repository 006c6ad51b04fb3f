package sweep

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/replay/trace"
)

// Bound is the best goodput that each tier of a trace could have, on paper:
// capacity over demand, for an oracle that knows every size and wastes nothing.
//
// A request costs its pool 1 / Σ 1/w seconds, where w is the time that the
// request takes of one target: for an engine
//
//	(prompt − cached) / prefill_rate + answer × step / max_in_flight
//
// with every whole block of a shared prefix cached, for a plain service
// step / max_in_flight. All work of a tier falls between the trace's beginning
// and its last deadline in the tier, and the tiers above come first, so
//
//	Σ cost(answered in tier) ≤ last deadline − Σ cost(answered above)
//
// Within a tier the cheapest requests are taken first, which gives the greatest
// count. Bursts, batching that is not full and the cost of learning are left
// out, so the bound cannot always be reached. It assumes that no target is
// better at one sort of request than its pool is on the whole.
func Bound(doc *document.Document, t *trace.Trace) map[string]float64 {
	bounds := map[string]float64{}
	used := map[string]time.Duration{}
	for i := range doc.Tiers {
		name := doc.Tiers[i].Name
		sent, done := 0, 0
		for pool, w := range tierWork(doc, t, name) {
			sent += len(w.costs)
			done += w.fit(used[pool])
			used[pool] += w.taken
		}
		if sent > 0 {
			bounds[name] = float64(done) / float64(sent)
		}
	}
	return bounds
}

// work is what one tier brings to one pool.
type work struct {
	costs []time.Duration
	// lastDeadline of the tier's requests, from the trace's beginning.
	lastDeadline time.Duration
	taken        time.Duration
}

// fit counts the requests that can be served beside what the tiers above take.
func (w *work) fit(above time.Duration) int {
	slices.Sort(w.costs)
	for n, cost := range w.costs {
		if above+w.taken+cost > w.lastDeadline {
			return n
		}
		w.taken += cost
	}
	return len(w.costs)
}

// tierWork gathers a tier's work by pool.
func tierWork(doc *document.Document, t *trace.Trace, tier string) map[string]*work {
	pools := map[string]*work{}
	for i := range t.Lines {
		line := &t.Lines[i]
		if line.Tier != tier {
			continue
		}
		pool := trace.PoolOf(doc, line)
		if pools[pool] == nil {
			pools[pool] = &work{}
		}
		w := pools[pool]
		w.costs = append(w.costs, Cost(doc, pool, line))
		w.lastDeadline = max(w.lastDeadline, line.At()+deadline(doc, line))
	}
	return pools
}

// Cost is the time that a whole pool takes for a request; 0: no target serves it.
func Cost(doc *document.Document, pool string, line *trace.Line) time.Duration {
	rate := 0.0
	for i := range doc.Targets {
		target := &doc.Targets[i]
		if target.Pool != pool || target.Leaving {
			continue
		}
		if class := trace.ClassOf(doc, target.Class); class != nil {
			rate += targetRate(class, line)
		}
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}

// targetRate is how many requests like line a second one target serves.
func targetRate(class *document.Class, line *trace.Line) float64 {
	if class.Kind == document.KindEngine {
		cached := 0
		if line.SharedPrefix != nil {
			cached = line.SharedPrefix.Tokens / request.PrefixBlockTokens * request.PrefixBlockTokens
		}
		return trace.EngineRate(class, trace.Mix{
			PromptTokens: float64(line.PromptTokens), CachedTokens: float64(cached), AnswerTokens: float64(line.MaxTokens),
		})
	}
	return trace.ServiceRate(class)
}

func deadline(doc *document.Document, line *trace.Line) time.Duration {
	if line.DeadlineMS > 0 {
		return line.Deadline()
	}
	if rank, found := doc.TierRank(line.Tier); found {
		return time.Duration(doc.Tiers[rank].DeadlineMS) * time.Millisecond
	}
	return 0
}
