package routing

// kindFilter drops targets whose kind or pool differs from the request's.
type kindFilter struct{}

func (kindFilter) keep(q *query, c *candidate) bool {
	return c.target.kind == q.req.Kind && c.target.pool == q.pool
}

func (kindFilter) status() Status { return EmptyPool }
