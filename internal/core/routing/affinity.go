package routing

const (
	// loadBoundFactor is the multiple of the pool's mean load up to which a target is
	// preferred for its cache.
	loadBoundFactor = 1.25
	// idleLoadShare is the share of its limit up to which a target is below the load
	// bound whatever the mean load is.
	idleLoadShare = 0.25
)

// affinity credits a candidate with the part of the prompt that its cache holds, unless
// its load is above the bound. Above it the prompt counts as not cached, so that a
// popular prefix does not send all its requests to one target.
type affinity struct{}

func (affinity) credit(q *query, c *candidate) {
	c.cached = 0
	for i := range q.cached {
		if q.cached[i].target == c.target && withinLoadBound(q.pool, &c.view) {
			c.cached = min(q.cached[i].tokens, float64(q.req.PromptTokens))
		}
	}
}

func withinLoadBound(p *pool, v *view) bool {
	mean := p.load() * float64(v.limit)
	bound := max(loadBoundFactor*mean, idleLoadShare*float64(v.limit))
	return float64(v.inFlight) <= bound
}
