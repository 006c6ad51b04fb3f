package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/upstream"
)

const (
	// extraSends is how often a request is sent beyond the route's attempts where
	// the targets before said that they did not run it.
	extraSends = 2
	// maxWhole bounds an answer that is held until it is whole.
	maxWhole = 8 << 20
	// minTry and tryShare bound a try of an idempotent request that may still be
	// tried elsewhere: a target that hangs must not use up all of its time.
	minTry   = 300 * time.Millisecond
	tryShare = 0.55
	// fragileIdle is the longest idle time of a connection that carries a request
	// which may not be repeated: targets drop idle connections without notice, and
	// the request would be lost with one.
	fragileIdle = 4 * time.Second
)

// run sends the request until there is an answer or no more reason to try.
func (c *call) run() {
	c.gateway.state.countRequest(c.service)
	for {
		grant, reply := c.place()
		if reply != nil {
			c.giveUp(reply)
			return
		}
		if c.sends > 0 && !c.gateway.state.mayRepeat(c.service) {
			c.gateway.state.done(grant.Ticket, dispatch.Report{Outcome: dispatch.Abandoned})
			c.giveUp(notRun("retry_budget", time.Second))
			return
		}
		if c.try(grant) {
			return
		}
	}
}

// place waits for a place at a target. A request that was to go to the canary of a new
// version and finds none there goes to the version before.
func (c *call) place() (*dispatch.Grant, *reply) {
	pool, fallback := c.gateway.state.poolOf(c.service, c.route, c.sends == 0)
	grant, refusal := c.placeIn(pool)
	if refusal != nil && refusal != callerOff && fallback != "" {
		return c.placeIn(fallback)
	}
	return grant, refusal
}

// placeIn waits for a place at a target of one pool.
func (c *call) placeIn(pool string) (*dispatch.Grant, *reply) {
	ask := c.ask()
	ask.Service = pool
	ticket, wait := c.gateway.state.submit(ask)
	select {
	case v := <-wait:
		return c.placed(v)
	case <-c.gone:
	}
	if !c.gateway.state.cancel(ticket) {
		if v := <-wait; v.grant != nil {
			c.gateway.state.done(ticket, dispatch.Report{Outcome: dispatch.Abandoned})
		}
	}
	return nil, callerOff
}

func (c *call) ask() dispatch.Ask {
	ask := dispatch.Ask{
		ID: c.envelope.ID, Service: c.service, Class: c.route.Prefix,
		Priority: c.priority, Rank: c.route.Priority,
		Arrived: c.arrived, Expires: c.expires, Tried: c.tried,
		Gap: c.route.Gap, Work: c.work(),
	}
	if c.events > 0 {
		// The stream has begun: what counts is its next event, not the time since the
		// request came. Taken for a request that waits since then, it would be refused.
		ask.Arrived = time.Now()
		ask.BeginBy = ask.Arrived.Add(c.leavesAfter())
		return ask
	}
	if c.route.Objective > 0 {
		ask.Objective = c.arrived.Add(c.route.Objective)
	}
	if c.route.Kind == catalog.Stream {
		ask.BeginBy = c.arrived.Add(c.leavesAfter())
	}
	return ask
}

// work is what the request asks of a target. Callers' guesses may exceed the most
// that is generated.
func (c *call) work() dispatch.Work {
	output := c.envelope.ExpectedOutput
	if c.envelope.OutputTokens > 0 {
		output = min(output, c.envelope.OutputTokens)
	}
	return dispatch.Work{Prompt: c.envelope.PromptTokens, Output: output}
}

// leavesAfter is the pause in a stream, also before its first event, after which its
// caller leaves.
func (c *call) leavesAfter() time.Duration {
	return max(leastPatience, objectivePatience*c.route.Objective, gapPatience*c.route.Gap)
}

// Callers leave a stream that has not begun, or pauses, after the longest of these:
// a fixed time, and multiples of the route's objective and of its longest gap.
const (
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

func (c *call) placed(v verdict) (*dispatch.Grant, *reply) {
	if r := v.refusal; r != nil {
		c.gateway.log.Write(eventlog.Failure, eventRefused, eventlog.Fields{
			"id": c.envelope.ID, "reason": string(r.Reason), "service": c.service, "priority": c.priority,
			"waiting": r.Waiting, "wait_ms": r.Wait.Milliseconds(), "waited_ms": time.Since(c.arrived).Milliseconds(),
		})
		return nil, notRun(string(r.Reason), r.RetryAfter)
	}
	g := v.grant
	c.gateway.log.Write(eventlog.Routine, eventGranted, eventlog.Fields{
		"id": c.envelope.ID, "target": g.Target.ID, "load": g.Load, "load_age_ms": g.LoadAge.Milliseconds(),
		"waited_ms": time.Since(c.arrived).Milliseconds(), "version": c.config.Version,
		"backlog": g.Backlog, "predicted_first_ms": g.PredictedFirst.Milliseconds(),
		"prompt": g.Ticket.Work.Prompt, "output": g.Ticket.Work.Output, "route": c.route.Prefix,
	})
	return g, nil
}

// giveUp ends a request that gets no answer from a target.
func (c *call) giveUp(r *reply) {
	switch {
	case c.failure != nil:
		c.answer(c.failure)
	case c.runs > 0 && r.promisesNotRun():
		c.refuse(brokenOff)
	default:
		c.refuse(r)
	}
}

// try sends the request to one target; false: it should go to another.
func (c *call) try(grant *dispatch.Grant) bool {
	began := time.Now()
	answer, mark, err := c.send(grant)
	if err != nil {
		if !errors.Is(err, upstream.ErrNotSent) {
			c.runs++
		}
		return c.failed(grant, began, err)
	}
	if mark.NotRun && answer.Status != http.StatusBadRequest {
		return c.rejected(grant, began, answer, mark)
	}
	c.runs++
	if c.route.Kind == catalog.Stream && answer.Status == http.StatusOK {
		return c.stream(grant, began, answer)
	}
	return c.whole(grant, began, answer)
}

// send opens or takes a connection, sends the request and reads the head of its answer.
func (c *call) send(grant *dispatch.Grant) (*upstream.Answer, AnswerMark, error) {
	maxAge := time.Hour
	if !c.route.Idempotent() {
		maxAge = fragileIdle
	}
	conn, err := c.gateway.pool.Get(grant.Target.Address, maxAge)
	if err != nil {
		return nil, AnswerMark{}, err
	}
	if !c.hold(conn) {
		_ = conn.Close()
		return nil, AnswerMark{}, upstream.ErrNotSent
	}
	c.sends++
	c.countSent()
	request := &c.ctx.Request
	body := request.Body()
	left := time.Until(c.expires)
	exchange := &upstream.Exchange{
		Method: string(request.Header.Method()),
		Body:   body,
		Head: c.gateway.platform.AppendHead(nil, &request.Header, Send{
			Left: left, Organisation: c.organisation, Target: grant.Target.ID,
			LastEvent: c.lastEvent, BodyLength: len(body),
		}),
		Deadline: c.tryDeadline(),
		Matches: func(h http.Header) bool {
			return c.gateway.platform.ReadMark(0, h).ID == c.envelope.ID && h.Get("Content-Encoding") == ""
		},
	}
	answer, err := c.gateway.pool.Send(conn, exchange)
	if err != nil {
		c.hold(nil)
		if errors.Is(err, upstream.ErrNotSent) {
			c.sends--
			c.countUnsent()
		}
		return nil, AnswerMark{}, err
	}
	mark := c.gateway.platform.ReadMark(answer.Status, answer.Header)
	c.heed(grant, mark)
	return answer, mark, nil
}

// toldByAnswer stands in a line for an answer of the target's own.
const toldByAnswer = "answer"

// heed takes what an answer says of the target.
func (c *call) heed(grant *dispatch.Grant, mark AnswerMark) {
	if mark.Replaced {
		return
	}
	c.gateway.state.limited(grant.Ticket, mark.Limit)
	if mark.Pause > 0 {
		c.gateway.log.Write(eventlog.Belief, eventPause, eventlog.Fields{
			"id": c.envelope.ID, "target": grant.Target.ID, "pause_ms": mark.Pause.Milliseconds(),
		})
		c.gateway.state.paused(grant.Ticket, mark.Pause)
	}
	if mark.Leaving && c.gateway.feeds.departs(grant.Target, toldByAnswer) {
		c.gateway.links.tellDeparture(grant.Target)
	}
}

// closeAnswer gives the connection back. The caller's leaving must not close it any
// more, since it may carry another request at once.
func (c *call) closeAnswer(answer *upstream.Answer) {
	c.hold(nil)
	answer.Close()
}

// tryDeadline is when this try has to be answered.
func (c *call) tryDeadline() time.Time {
	if c.route.Kind == catalog.Safe && c.runs+1 < c.route.Attempts {
		left := time.Until(c.expires)
		return time.Now().Add(min(left, max(minTry, time.Duration(float64(left)*tryShare))))
	}
	return c.expires
}

// failed handles a try that brought no whole answer; for streams, no first event.
func (c *call) failed(grant *dispatch.Grant, began time.Time, err error) bool {
	if c.hasLeft() {
		c.report(grant, began, dispatch.Abandoned, 0, err)
		c.refuse(callerOff)
		return true
	}
	if errors.Is(err, upstream.ErrNotSent) {
		c.report(grant, began, dispatch.Unreachable, 0, err)
		return c.outOfTime()
	}
	c.tried = append(c.tried, grant.Target.Incarnation())
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.report(grant, began, dispatch.TimedOut, 0, err)
	} else {
		c.report(grant, began, dispatch.Broken, 0, err)
		c.countBroken()
	}
	return c.repeatOr(brokenOff)
}

// outOfTime ends a request whose time is up; false: it goes on.
func (c *call) outOfTime() bool {
	if time.Now().Before(c.expires) {
		return false
	}
	if c.runs > 0 {
		c.giveUp(timedOut)
	} else {
		c.giveUp(notRun(string(dispatch.ReasonExpired), time.Second))
	}
	return true
}

// repeatOr reports false where the request may run again, and otherwise ends it.
func (c *call) repeatOr(r *reply) bool {
	if !time.Now().Before(c.expires) {
		c.giveUp(timedOut)
		return true
	}
	if c.route.Idempotent() && c.runs < c.route.Attempts {
		return false
	}
	c.giveUp(r)
	return true
}

// rejected handles an answer that says that the request was not run.
func (c *call) rejected(grant *dispatch.Grant, began time.Time, answer *upstream.Answer, mark AnswerMark) bool {
	c.countUnsent()
	_, _ = io.CopyN(io.Discard, answer, maxWhole)
	c.closeAnswer(answer)
	if mark.Replaced {
		c.tried = append(c.tried, grant.Target.Incarnation())
		c.report(grant, began, dispatch.Replaced, answer.Status, nil)
	} else {
		c.report(grant, began, dispatch.Rejected, answer.Status, nil)
	}
	if c.sends >= c.route.Attempts+extraSends {
		c.giveUp(notRun("rejected", time.Second))
		return true
	}
	return c.outOfTime()
}

// wholeAnswer is an answer that has been read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// whole reads an answer to its end before it passes it on, so that one which breaks
// off can be asked for again or at least is told as a failure.
func (c *call) whole(grant *dispatch.Grant, began time.Time, answer *upstream.Answer) bool {
	body, err := io.ReadAll(io.LimitReader(answer, maxWhole+1))
	c.closeAnswer(answer)
	if err == nil && len(body) > maxWhole {
		err = upstream.ErrBroken
	}
	if err != nil {
		return c.failed(grant, began, err)
	}
	if c.hasLeft() {
		c.report(grant, began, dispatch.Abandoned, answer.Status, nil)
		c.refuse(callerOff)
		return true
	}
	whole := &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status < http.StatusInternalServerError {
		c.report(grant, began, dispatch.Answered, answer.Status, nil)
		c.answer(whole)
		return true
	}
	c.report(grant, began, dispatch.Failed, answer.Status, nil)
	c.tried = append(c.tried, grant.Target.Incarnation())
	c.failure = whole
	return c.repeatOr(brokenOff)
}

// answer passes a whole answer on unchanged.
func (c *call) answer(a *wholeAnswer) {
	c.first = time.Now()
	c.copyHead(a.status, a.header)
	c.ctx.Response.SetBodyRaw(a.body)
	c.end(a.status, "answered")
}

// report gives the place back, with what was seen, and writes the try's line.
func (c *call) report(grant *dispatch.Grant, began time.Time, outcome dispatch.Outcome, status int, err error) {
	took := time.Since(began)
	report := dispatch.Report{Outcome: outcome}
	if outcome == dispatch.Answered && c.route.Kind != catalog.Stream {
		report.Latency = took
	}
	c.reportAs(grant, report, took, status, err)
}

func (c *call) reportAs(grant *dispatch.Grant, report dispatch.Report, took time.Duration, status int, err error) {
	importance := eventlog.Failure
	if report.Outcome == dispatch.Answered || report.Outcome == dispatch.Abandoned {
		importance = eventlog.Routine
	}
	fields := eventlog.Fields{
		"id": c.envelope.ID, "target": grant.Target.ID, "address": grant.Target.Address, "outcome": report.Outcome.String(),
		"status": status, "took_ms": took.Milliseconds(), "send": c.sends, "run": c.runs,
	}
	if report.First > 0 {
		fields["first_ms"] = report.First.Milliseconds()
		fields["longest_pause_ms"] = report.Longest.Milliseconds()
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.gateway.log.Write(importance, eventTried, fields)
	c.gateway.counters.tries.add(report.Outcome.String())
	c.gateway.state.observed(c.service, c.route, grant, report, took)
	c.gateway.state.done(grant.Ticket, report)
}

// countBroken counts a run that broke against the request, here and at the others.
func (c *call) countBroken() {
	news, count := c.gateway.state.broken(c.fingerprint, c.envelope.ID)
	if !news {
		return
	}
	c.gateway.log.Write(eventlog.Failure, eventBroken, eventlog.Fields{"id": c.envelope.ID, "fingerprint": c.fingerprint.String(), "count": count})
	c.gateway.links.tellCrash(c.fingerprint, c.envelope.ID)
}
