package routing

const (
	// loadBound is how far above the pool's mean load a target may be and still
	// be preferred for its cache.
	loadBound = 1.25
	// idleShare of its limit in flight is no load worth bounding.
	idleShare = 0.25
)

// affinity credits a candidate with what its cache holds of the prompt, unless
// its load is above the bound: then the prompt is counted as not cached, so
// that one hot prefix does not draw all its requests to one target.
type affinity struct{}

func (affinity) credit(q *query, c *candidate) {
	c.cached = 0
	for i := range q.cached {
		if q.cached[i].target == c.target && withinBound(q.pool, &c.view) {
			c.cached = min(q.cached[i].tokens, float64(q.req.PromptTokens))
		}
	}
}

func withinBound(p *pool, v *view) bool {
	mean := p.load() * float64(v.limit)
	bound := max(loadBound*mean, idleShare*float64(v.limit))
	return float64(v.inFlight) <= bound
}
