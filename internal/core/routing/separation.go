package routing

const (
	// fastPenalty is the cost in seconds of a short request for each multiple by which
	// a target's prefill rate exceeds the pool's mean, up to maxFastPenalty.
	fastPenalty    = 0.05
	maxFastPenalty = 0.1
	// longPrefillWeight is the additional weight of a second of prefill for a long
	// prompt, since it also delays every stream that decodes at the target.
	longPrefillWeight = 0.5
)

// separationScorer reserves targets with fast prefill for long prompts.
type separationScorer struct{}

func (separationScorer) score(q *query, c *candidate) {
	if q.long {
		c.cost += longPrefillWeight * c.prefill
		return
	}
	mean := q.pool.meanPrefillRate
	if mean <= 0 || c.view.prefillRate <= mean {
		return
	}
	c.preference += min(fastPenalty*(c.view.prefillRate/mean-1), maxFastPenalty)
}
