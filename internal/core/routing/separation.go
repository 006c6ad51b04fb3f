package routing

const (
	// keepFastFor is what a short request pays, in seconds, for each time that a
	// target's prefill rate exceeds its pool's mean; at most keepFastMost.
	keepFastFor  = 0.05
	keepFastMost = 0.1
	// longWeight is how much more a second of prefill counts for a long prompt:
	// it also holds up every stream that decodes there.
	longWeight = 0.5
)

// separationScorer keeps targets with fast prefill for long prompts.
type separationScorer struct{}

func (separationScorer) score(q *query, c *candidate) {
	if q.long {
		c.cost += longWeight * c.prefill
		return
	}
	mean := q.pool.meanRate
	if mean <= 0 || c.view.rate <= mean {
		return
	}
	c.preference += min(keepFastFor*(c.view.rate/mean-1), keepFastMost)
}
