package routing

import "sycamoretrail/internal/core/request"

// hopelessMargin is how many times the time left the least possible time must be.
const hopelessMargin = 1.5

// ableFilter drops targets that could not finish in time with no queue at all.
//
// Failure: a long brief starts on a target too slow for its deadline. Symptom:
// the prefill is computed and thrown away. The bare speed suffices as a bound,
// because no tier, displacement or preemption makes a target faster than that.
type ableFilter struct {
	// early applies the filter to short requests too, as the document says.
	early bool
}

func (f *ableFilter) keep(q *query, c *candidate) bool {
	if !f.early && !q.long {
		return true
	}
	first := c.prefill + c.view.step
	return first <= q.firstBy && first+decode(q, c) <= q.remaining
}

// infeasible reports, without a look at each target, that even the best speeds of
// the pool put together would miss the deadline by a wide margin. The margin
// covers what changed since the pool's last refresh.
func (f *ableFilter) infeasible(q *query) bool {
	if !f.early && !q.long || q.pool.topRate == 0 {
		return false
	}
	prompt := float64(q.req.PromptTokens)
	for i := range q.cached {
		prompt = min(prompt, float64(q.req.PromptTokens)-q.cached[i].tokens)
	}
	least := q.pool.leastStep * float64(max(q.tokens, 1))
	if q.req.Kind == request.Engine {
		least += max(prompt, 0) / q.pool.topRate
	}
	return least > hopelessMargin*q.remaining
}

func (*ableFilter) status() Status { return NoneInTime }

// decode is the seconds from the first token to the last.
func decode(q *query, c *candidate) float64 {
	return float64(max(q.tokens-1, 0)) * c.view.step
}
