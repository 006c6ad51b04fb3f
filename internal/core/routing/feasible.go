package routing

import "sycamoretrail/internal/core/request"

// infeasibleMargin is the factor by which the lowest possible time must exceed the
// remaining time for an immediate refusal.
const infeasibleMargin = 1.5

// feasibleFilter drops targets that could not finish in time even with an empty queue.
//
// Without it, a long prompt starts on a target that is too slow for its deadline, and
// its prefill is computed in vain. The unloaded speed suffices as a bound, because no
// tier, displacement or preemption makes a target faster than that.
type feasibleFilter struct {
	// early applies the filter to short requests too, as configured by the document.
	early bool
}

func (f *feasibleFilter) keep(q *query, c *candidate) bool {
	if !f.early && !q.long {
		return true
	}
	first := c.prefill + c.view.step
	return first <= q.firstTokenRemaining && first+decodeTime(q, c) <= q.remaining
}

// poolTooSlow reports, without examining each target, whether the best speeds of the
// pool combined would miss the deadline by a wide margin. The margin covers what has
// changed since the last refresh of the pool.
func (f *feasibleFilter) poolTooSlow(q *query) bool {
	if !f.early && !q.long || q.pool.maxPrefillRate == 0 {
		return false
	}
	prompt := float64(q.req.PromptTokens)
	for i := range q.cached {
		prompt = min(prompt, float64(q.req.PromptTokens)-q.cached[i].tokens)
	}
	least := q.pool.minStep * float64(max(q.answerTokens, 1))
	if q.req.Kind == request.Engine {
		least += max(prompt, 0) / q.pool.maxPrefillRate
	}
	return least > infeasibleMargin*q.remaining
}

func (*feasibleFilter) status() Status { return NoneInTime }

// decodeTime returns the seconds from the first token to the last.
func decodeTime(q *query, c *candidate) float64 {
	return float64(max(q.answerTokens-1, 0)) * c.view.step
}
