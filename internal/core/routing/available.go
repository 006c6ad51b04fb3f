package routing

// availableFilter drops targets that accept no new requests: those that leave according
// to the document, those that probes found unreachable or leaving, and those whose
// digest reports them as unavailable.
type availableFilter struct{}

func (availableFilter) keep(_ *query, c *candidate) bool {
	return c.target.reachable && !c.target.leaving && c.view.available
}

func (availableFilter) status() Status { return NoneAvailable }
