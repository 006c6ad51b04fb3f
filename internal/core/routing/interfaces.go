package routing

import (
	"time"

	"sycamoretrail/internal/core/request"
)

// query is one request at one instant, as seen by filters, scorers and pickers.
type query struct {
	now     time.Time
	req     *request.Request
	exclude func(target string) bool
	// answerTokens is the expected length of the answer in tokens.
	answerTokens int
	// remaining and firstTokenRemaining are the seconds left until the deadlines of the
	// complete answer and of the first token; infinite if the request has none.
	remaining, firstTokenRemaining float64
	// tierWaitShare scales the wait of the lowest tier to the request's tier.
	tierWaitShare float64
	long          bool
	pool          *pool
	zone          string
	cached        []hit
}

// candidate is a target under consideration, with its view.
type candidate struct {
	target *target
	view   view
	// prefill, first and finish are estimated seconds from now. cached is the number of
	// prompt tokens assumed to be in the target's cache.
	cached                 float64
	prefill, first, finish float64
	// preference is the part of the cost that does not depend on load: zone and prefill
	// speed.
	preference float64
	cost       float64
}

// filter excludes candidates.
type filter interface {
	keep(q *query, c *candidate) bool
	// status is returned if this filter left no candidate.
	status() Status
}

// scorer adds to a candidate's cost in seconds; lower is better.
type scorer interface {
	score(q *query, c *candidate)
}

// picker selects one of the scored candidates, of which there is at least one.
type picker interface {
	pick(q *query, cs []candidate) int
}
