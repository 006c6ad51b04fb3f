package routing

import (
	"time"

	"sycamoretrail/internal/core/request"
)

// query is one request at one instant, as the plugins see it.
type query struct {
	now     time.Time
	req     *request.Request
	exclude func(target string) bool
	// tokens is the expected length of the answer.
	tokens int
	// remaining and firstBy are the seconds left to the deadline and to the
	// first token's; infinite where the request has none.
	remaining, firstBy float64
	// tierShare scales the wait of the lowest tier down to this request's.
	tierShare float64
	long      bool
	pool      *pool
	zone      string
	cached    []hit
}

// candidate is a target under consideration, with its view.
type candidate struct {
	target *target
	view   view
	// prefill, first and finish are estimated seconds from now; cached is the
	// prompt tokens taken to be in the target's cache.
	cached                 float64
	prefill, first, finish float64
	// preference is the part of cost that no load brings about: zone, make.
	preference float64
	cost       float64
}

// filter rules candidates out.
type filter interface {
	keep(q *query, c *candidate) bool
	// status is the answer when this filter left no candidate.
	status() Status
}

// scorer adds to a candidate's cost, in seconds: less is better.
type scorer interface {
	score(q *query, c *candidate)
}

// picker takes one of the scored candidates; there is at least one.
type picker interface {
	pick(q *query, cs []candidate) int
}
