package routing

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

func (*ableFilter) status() Status { return NoneInTime }

// decode is the seconds from the first token to the last.
func decode(q *query, c *candidate) float64 {
	return float64(max(q.tokens-1, 0)) * c.view.step
}
