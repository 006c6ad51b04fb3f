package routing

// availableFilter drops targets that may get nothing new: leaving by the
// document, unreachable or leaving by the probes, unavailable by the digest.
type availableFilter struct{}

func (availableFilter) keep(_ *query, c *candidate) bool {
	return c.target.reachable && !c.target.leaving && c.view.available
}

func (availableFilter) status() Status { return NoneAvailable }
