package routing

// excludedFilter drops targets that the caller excludes: those that were tried before,
// or on which a suspect must not run.
type excludedFilter struct{}

func (excludedFilter) keep(q *query, c *candidate) bool {
	return q.exclude == nil || !q.exclude(c.target.name)
}

func (excludedFilter) status() Status { return AllExcluded }
