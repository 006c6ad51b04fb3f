package gateway

import (
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/eventlog"
)

// acquireSlot waits for a slot at a target. A request chosen for the canary of a new version
// falls back to the previous version if the canary has no free slot.
func (c *call) acquireSlot() (*dispatch.Grant, *reply) {
	if c.origin != nil {
		return c.acquireSlotIn(c.gateway.state.poolOfVersion(c.service, c.route, c.origin.Version))
	}
	pool, fallback := c.gateway.state.poolOf(c.service, c.route, c.sends == 0)
	grant, refusal := c.acquireSlotIn(pool)
	if refusal != nil && !refusal.endsWait() && fallback != "" {
		return c.acquireSlotIn(fallback)
	}
	return grant, refusal
}

// acquireSlotIn waits for a slot at a target of one pool.
func (c *call) acquireSlotIn(pool string) (*dispatch.Grant, *reply) {
	request := c.schedulerRequest()
	request.Service = pool
	began := time.Now()
	defer func() { c.waited += time.Since(began) }()
	ticket, wait := c.gateway.state.submit(request)
	result, reason := c.awaitSlot(wait)
	if reason == nil {
		return c.handleSlotResult(result)
	}
	if !c.gateway.state.cancel(ticket) {
		if v := <-wait; v.grant != nil {
			c.gateway.state.release(ticket, dispatch.Report{Outcome: dispatch.Abandoned})
		}
	}
	return nil, reason
}

// awaitSlot waits for the scheduler's result. It returns a reply if something else ends the wait.
func (c *call) awaitSlot(wait <-chan slotResult) (slotResult, *reply) {
	lateInStop := c.gateway.lateInStop
	for {
		select {
		case v := <-wait:
			return v, nil
		case <-c.disconnected:
			return slotResult{}, callerDisconnected
		case <-c.evicted():
			return slotResult{}, noMemoryToWait()
		case <-c.isolationBegins():
			return slotResult{}, isolatedWhileWaiting
		case <-lateInStop:
			if !c.mayPassOn() {
				return slotResult{}, entryStopping
			}
			lateInStop = nil
		}
	}
}

// endsWait reports whether the request is not to wait for a slot in another pool either.
func (r *reply) endsWait() bool {
	return r == callerDisconnected || r == isolatedWhileWaiting || r == entryStopping || r.reason == reasonNoMemoryToWait
}

// isolatedWhileWaiting ends the wait for a slot of a request that can be handed off instead.
var isolatedWhileWaiting = notRun("isolated", time.Second)

// isolationBegins returns a channel that is closed when this entry becomes isolated and the
// request can be handed off.
func (c *call) isolationBegins() <-chan struct{} {
	if c.handedOff || !c.gateway.settings.Load.HandOff {
		return nil
	}
	return c.gateway.isolation.begins()
}

func (c *call) schedulerRequest() dispatch.Request {
	shares := c.gateway.shares.Load()
	request := dispatch.Request{
		ID: c.envelope.ID, Service: c.service, Class: c.route.Prefix,
		Priority: c.priority, Rank: c.route.Priority, RoutePriority: c.routePriority, Weight: shares.weight(c.organisation),
		Arrived: c.arrived, Expires: c.expires, Tried: c.tried,
		Gap: c.route.Gap, Work: c.work(), Organisation: c.organisation, Waited: c.waitedBefore(),
	}
	if c.origin != nil {
		request.Version = &c.origin.Version
	}
	if c.excess && shares != nil && c.events == 0 {
		// A stream that has begun and continues at another target is no longer served last: its
		// caller would disconnect.
		request.Excess, request.Priority = true, shares.excessPriority(request.Rank)
		// Compared with priorities of routes, that of a late request must fall with its rank.
		request.RoutePriority = shares.byRoute
	}
	if c.events > 0 {
		// The stream has begun: only the time to its next event matters. With the arrival time
		// of the request the scheduler would refuse it as expired.
		request.Arrived = time.Now()
		request.BeginBy = request.Arrived.Add(c.streamWaitLimit())
		return request
	}
	if c.route.Objective > 0 {
		request.Objective = c.arrived.Add(c.route.Objective)
	}
	if c.route.Kind == catalog.Stream {
		request.BeginBy = c.arrived.Add(c.streamWaitLimit())
	}
	return request
}

// minWaitedBefore is the least difference between the route's timeout and the time for which a
// caller still waits that shows that it has been waiting: less may be rounding, or time on the
// way.
const minWaitedBefore = 150 * time.Millisecond

// waitedBefore returns how long the caller has been waiting since its first attempt, as far as
// its wait limit shows: callers that return after a refusal have less time left.
func (c *call) waitedBefore() time.Duration {
	waited := c.route.Timeout - c.envelope.WaitLimit
	if c.route.Timeout == 0 || c.envelope.WaitLimit == 0 || waited < minWaitedBefore {
		return 0
	}
	return waited
}

// work returns the amount of work that the request means for a target. A caller's estimate of
// the output may exceed the declared maximum, which then applies.
func (c *call) work() dispatch.Work {
	output := c.envelope.ExpectedOutput
	if c.envelope.OutputTokens > 0 {
		output = min(output, c.envelope.OutputTokens)
	}
	return dispatch.Work{Prompt: c.envelope.PromptTokens, Output: output}
}

// streamWaitLimit returns the longest pause in a stream, also before its first event, after
// which callers disconnect.
func (c *call) streamWaitLimit() time.Duration {
	return max(minStreamWait, objectiveWaitFactor*c.route.Objective, gapWaitFactor*c.route.Gap)
}

// Callers disconnect from a stream that has not begun, or pauses, after the longest of these:
// a fixed time, and multiples of the route's objective and of its longest gap.
const (
	minStreamWait       = 2 * time.Second
	objectiveWaitFactor = 4
	gapWaitFactor       = 8
)

func (c *call) handleSlotResult(v slotResult) (*dispatch.Grant, *reply) {
	if r := v.refusal; r != nil {
		fields := eventlog.Fields{
			"id": c.envelope.ID, "reason": string(r.Reason), "service": c.service, "priority": c.priority,
			"waiting": r.Waiting, "wait_ms": r.Wait.Milliseconds(), "waited_ms": time.Since(c.arrived).Milliseconds(),
		}
		if r.Admission.Scheduled {
			fields["closed"], fields["forecast_ms"], fields["returned"] = r.Admission.Closed, r.Admission.Forecast.Milliseconds(), r.Admission.Returned
		}
		c.gateway.log.Write(eventlog.Failure, eventRefused, fields)
		if r.Admission.Scheduled {
			return nil, notRunUntil(string(r.Reason), r.RetryAfter)
		}
		return nil, notRun(string(r.Reason), r.RetryAfter)
	}
	g := v.grant
	c.target = g.Target.ID
	c.gateway.log.Write(eventlog.Routine, eventGranted, eventlog.Fields{
		"id": c.envelope.ID, "target": g.Target.ID, "load": g.Load, "load_age_ms": g.LoadAge.Milliseconds(),
		"waited_ms": time.Since(c.arrived).Milliseconds(), "version": c.config.Version,
		"backlog": g.Backlog, "predicted_first_ms": g.PredictedFirst.Milliseconds(),
		"prompt": g.Ticket.Work.Prompt, "output": g.Ticket.Work.Output, "route": c.route.Prefix, "excess": g.Ticket.Excess,
		"borrowed": g.Borrowed, "late": g.Late,
	})
	if g.Late {
		c.gateway.counters.late.add(c.service)
	}
	return g, nil
}
