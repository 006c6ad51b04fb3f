package routing

import "sycamoretrail/internal/core/request"

// decodeWeight is how much a second of decoding counts beside one of waiting, for
// short requests. A
// place that is free now on a slower target keeps the faster one's queue short
// for a burst; the bounds decide whether the slower one is fast enough.
const decodeWeight = 0.05

// finishScorer counts the estimated time to the whole answer: wait, prefill of
// what is queued before it and of its own prompt, decode.
type finishScorer struct{}

func (finishScorer) score(q *query, c *candidate) {
	c.first = queueTime(q, c) + c.prefill + c.view.step
	c.finish = c.first + decode(q, c)
	if q.long {
		c.cost += c.finish
		return
	}
	c.cost += c.first + decodeWeight*decode(q, c)
}

// prepare estimates the request's own prefill at the candidate.
func (c *candidate) prepare(q *query) {
	if q.req.Kind == request.Service {
		c.prefill = 0
		return
	}
	c.prefill = max(float64(q.req.PromptTokens)-c.cached, 0) / c.view.rate
}

// queueTime is the wait for a place or for the prompts ahead, whichever is
// longer; the prompts ahead are computed while the request waits for a place.
func queueTime(q *query, c *candidate) float64 {
	v := &c.view
	ahead := v.prefill / v.rate
	if q.long {
		ahead += v.waiting / v.rate
	}
	if q.req.Kind == request.Service {
		ahead = 0
	}
	return max(placeWait(q, v), ahead)
}

// placeWait is the wait for a place. What came since the digest beyond the
// limit waits one service time for each limit of it.
func placeWait(q *query, v *view) float64 {
	over := v.inFlight + 1 - v.limit
	if over <= 0 {
		return 0
	}
	service := v.step * float64(max(q.tokens, 1))
	if tier := int(q.req.Tier); tier < len(v.waits) {
		return v.waits[tier].Seconds() + service*float64(v.placed)/float64(v.limit)
	}
	wait := v.wait
	if wait <= 0 {
		wait = service * float64(over+v.queued) / float64(v.limit)
	}
	return wait * q.tierShare
}

// inTime reports whether the estimate meets both bounds of the request.
func (c *candidate) inTime(q *query) bool {
	return c.first <= q.firstBy && c.finish <= q.remaining
}
