package routing

// excludedFilter drops what the caller rules out: targets tried before, or
// where a suspect must not run.
type excludedFilter struct{}

func (excludedFilter) keep(q *query, c *candidate) bool {
	return q.exclude == nil || !q.exclude(c.target.name)
}

func (excludedFilter) status() Status { return NoneLeft }
