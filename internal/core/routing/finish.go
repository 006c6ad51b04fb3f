package routing

import "sycamoretrail/internal/core/request"

// decodeWeight is the weight of a second of decoding relative to a second of waiting,
// for short requests. Using a free slot on a slower target keeps the queue of the
// faster one short for a burst; the deadlines decide whether the slower target is fast
// enough.
const decodeWeight = 0.05

// finishScorer adds the estimated time to the complete answer: waiting, prefill of the
// prompts queued before it and of its own, and decoding.
type finishScorer struct{}

func (finishScorer) score(q *query, c *candidate) {
	c.first = queueTime(q, c) + c.prefill + c.view.step
	c.finish = c.first + decodeTime(q, c)
	if q.long {
		c.cost += c.finish
		return
	}
	c.cost += c.first + decodeWeight*decodeTime(q, c)
}

// estimatePrefill estimates the prefill time of the request at the candidate.
func (c *candidate) estimatePrefill(q *query) {
	if q.req.Kind == request.Service {
		c.prefill = 0
		return
	}
	c.prefill = max(float64(q.req.PromptTokens)-c.cached, 0) / c.view.prefillRate
}

// queueTime returns the longer of the wait for a slot and the prefill time of the
// prompts ahead, which are computed while the request waits for a slot.
func queueTime(q *query, c *candidate) float64 {
	v := &c.view
	ahead := v.pendingPrefill / v.prefillRate
	if q.long {
		ahead += v.waitingPrefill / v.prefillRate
	}
	if q.req.Kind == request.Service {
		ahead = 0
	}
	return max(slotWait(q, v), ahead)
}

// slotWait returns the wait for a slot. Requests placed since the digest beyond the
// limit add one service time for each full limit of them.
func slotWait(q *query, v *view) float64 {
	over := v.inFlight + 1 - v.limit
	if over <= 0 {
		return 0
	}
	service := v.step * float64(max(q.answerTokens, 1))
	if tier := int(q.req.Tier); tier < len(v.waits) {
		return v.waits[tier].Seconds() + service*float64(v.ownPlacements)/float64(v.limit)
	}
	wait := v.wait
	if wait <= 0 {
		wait = service * float64(over+v.queued) / float64(v.limit)
	}
	return wait * q.tierWaitShare
}

// inTime reports whether the estimate meets both deadlines of the request.
func (c *candidate) inTime(q *query) bool {
	return c.first <= q.firstTokenRemaining && c.finish <= q.remaining
}
