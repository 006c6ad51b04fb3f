package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/memory"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/eventstream"
	"sycamoretrail/internal/ingress"
	"sycamoretrail/internal/upstream"
)

const (
	// extraSends is the number of sends beyond the route's attempts that are allowed after
	// targets declared that they did not run the request.
	extraSends = 2
	// maxDrainBytes and maxDrainTime bound the reading of a body that is not passed on, which only
	// serves to keep the connection.
	maxDrainBytes = 64 << 10
	maxDrainTime  = 50 * time.Millisecond
	// minTry and tryShare bound the time of one try of an idempotent request that may still be
	// sent to another target, so that a hanging target does not use up all of the time.
	minTry   = 300 * time.Millisecond
	tryShare = 0.55
	// maxIdleUnrepeatable is the longest idle time of a connection that carries a request
	// which may not be repeated. Targets close idle connections without notice, and the
	// request would be lost.
	maxIdleUnrepeatable = 4 * time.Second
)

// run sends the request to targets until there is an answer or no further try is possible.
func (c *call) run() {
	counted := false
	for {
		if c.shouldHandOff() && c.handOff() {
			return
		}
		if !counted {
			counted = true
			c.gateway.state.countRequest(c.service)
		}
		grant, reply := c.acquireSlot()
		if reply == isolatedWhileWaiting {
			continue
		}
		if reply != nil {
			c.giveUp(reply)
			return
		}
		if reply := c.maySend(); reply != nil {
			c.gateway.state.release(grant.Ticket, dispatch.Report{Outcome: dispatch.Abandoned})
			c.giveUp(reply)
			return
		}
		if c.try(grant) {
			return
		}
	}
}

// maySend returns the reply to a request that must not be sent to a target now, or nil.
func (c *call) maySend() *reply {
	if !c.mayPassOn() {
		return entryStopping
	}
	if reply := c.claimRun(); reply != nil {
		return reply
	}
	if !c.enter(memory.Running) {
		return noMemoryToWait()
	}
	if c.sends > 0 && !c.gateway.state.mayRepeat(c.envelope.ID, c.service) {
		return notRun("retry_budget", time.Second)
	}
	return nil
}

// giveUp ends a request that has no successful answer. It passes on a target's error answer if
// there is one, and otherwise refuses with r; if the request may have run, the reply does not
// claim the opposite.
func (c *call) giveUp(r *reply) {
	switch {
	case c.failure != nil:
		c.sendAnswer(c.failure)
	case c.runs > 0 && r.guaranteesNotRun():
		c.refuse(targetAborted)
	default:
		c.refuse(r)
	}
}

// try sends the request to one target. It returns false if the request should go to another.
func (c *call) try(grant *dispatch.Grant) bool {
	began := time.Now()
	answer, head, err := c.send(grant)
	if err != nil {
		if !errors.Is(err, upstream.ErrNotSent) {
			c.runs++
		}
		return c.handleFailure(grant, began, err)
	}
	if head.NotRun && answer.Status != http.StatusBadRequest {
		return c.handleRejection(grant, began, answer, head)
	}
	c.runs++
	if c.route.Kind == catalog.Stream && answer.Status == http.StatusOK {
		return c.forwardStream(grant, began, answer)
	}
	return c.forwardBuffered(grant, began, answer)
}

// errContradictory is returned for an answer that is no failure and declares that the request was not run.
var errContradictory = fmt.Errorf("%w: no failure, but declares that the request was not run", upstream.ErrInvalidAnswer)

// send gets a connection, sends the request and reads the head of the answer.
func (c *call) send(grant *dispatch.Grant) (*upstream.Answer, AnswerHead, error) {
	c.ending, c.use, c.kept, c.declaredNotRun = nil, nil, false, false
	maxAge := time.Hour
	if !c.route.Idempotent() {
		maxAge = maxIdleUnrepeatable
	}
	conn, err := c.connect(c.gateway.pool, grant.Target.Address, maxAge)
	if err != nil {
		c.noteUnreached(grant, err)
		return nil, AnswerHead{}, err
	}
	if !c.setSending(conn) {
		_ = conn.Close()
		return nil, AnswerHead{}, upstream.ErrNotSent
	}
	c.sends++
	c.countSent()
	exchange := c.exchangeWith(&grant.Target)
	sent := time.Now()
	answer, err := c.gateway.pool.Send(conn, exchange)
	c.use = &exchange.Use
	if err != nil {
		c.setSending(nil)
		if errors.Is(err, upstream.ErrNotSent) {
			c.sends--
			c.countUnsent()
		}
		c.noteUnreached(grant, err)
		return nil, AnswerHead{}, err
	}
	c.gateway.isolation.recordContact()
	c.gateway.state.recordLife(grant.Target.Incarnation(), sent)
	head := c.gateway.platform.ReadAnswerHead(answer.Status, answer.Header)
	c.declaredNotRun = head.NotRun
	c.applyAnswerHead(grant, head)
	if head.NotRun && answer.Status < http.StatusBadRequest {
		c.closeAnswer(answer)
		return nil, head, errContradictory
	}
	return answer, head, nil
}

// exchangeWith returns the request as it is sent to a target.
func (c *call) exchangeWith(target *catalog.Target) *upstream.Exchange {
	request := &c.ctx.Request
	body := c.body
	return &upstream.Exchange{
		ID: c.envelope.ID, Expires: c.expires,
		Method: string(request.Header.Method()),
		Body:   body,
		Head: c.gateway.platform.AppendHead(nil, &request.Header, ForwardInfo{
			Remaining: time.Until(c.expires), Organisation: c.organisation, Target: target.ID,
			LastEvent: c.lastEvent, BodyLength: len(body),
		}),
		Deadline: c.tryDeadline(),
		Matches: func(h http.Header) bool {
			return c.gateway.platform.ReadAnswerHead(0, h).ID == c.envelope.ID && h.Get("Content-Encoding") == ""
		},
		Identity: c.identityOf(target),
	}
}

// identityOf returns how a target is told from another process at its address; nil: it has no health path.
func (c *call) identityOf(target *catalog.Target) *upstream.Identity {
	path := c.config.HealthPath(target.Service)
	if path == "" {
		return nil
	}
	translate := c.gateway.platform
	return &upstream.Identity{
		Head:     func() []byte { return translate.AppendHealthHead(nil, path, target) },
		Confirms: func(h http.Header) bool { return translate.ReadAnswerHead(0, h).Target == target.ID },
	}
}

// connect returns a connection to a target or another entry. After one has broken, idle ones may be
// broken too without having shown it; a request lost on one would use up an attempt.
func (c *call) connect(pool *upstream.Pool, address string, maxAge time.Duration) (*upstream.Conn, error) {
	if c.connectionBroke {
		return pool.GetNew(address)
	}
	return pool.Get(address, c.envelope.ID, maxAge)
}

// noteUnreached records that the connection to a target failed, unless the caller has ended the
// request or the target is merely slow.
func (c *call) noteUnreached(grant *dispatch.Grant, err error) {
	switch {
	case errors.Is(err, upstream.ErrInvalidAnswer):
		c.gateway.isolation.recordContact()
		return
	case ingress.ShortOfDescriptors(err):
		return
	}
	slow := errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, upstream.ErrNotSent)
	if !slow && !c.hasCallerLeft() {
		c.gateway.isolation.recordFailure(grant.Target.Incarnation(), err)
	}
}

// fromAnswer is the log value for an announcement that came in the target's own answer.
const fromAnswer = "answer"

// applyAnswerHead passes on what the head of an answer declares about the target.
func (c *call) applyAnswerHead(grant *dispatch.Grant, head AnswerHead) {
	if head.Replaced {
		return
	}
	c.gateway.state.observeLimit(grant.Ticket, head.Limit)
	c.applyBrittleness(grant, head.Brittleness)
	if head.Pause > 0 {
		c.gateway.log.Write(eventlog.StateChange, eventPause, eventlog.Fields{
			"id": c.envelope.ID, "target": grant.Target.ID, "pause_ms": head.Pause.Milliseconds(),
		})
		c.gateway.state.observePause(grant.Ticket, head.Pause)
	}
	if head.Leaving && c.gateway.feeds.applyDeparture(grant.Target, fromAnswer) {
		c.gateway.links.announceDeparture(grant.Target)
	}
}

func (c *call) applyBrittleness(grant *dispatch.Grant, brittleness dispatch.Brittleness) {
	if brittleness.Malformed {
		c.gateway.counters.malformed.add(c.service)
	}
	if !c.gateway.state.observeBrittleness(grant.Ticket, brittleness) {
		return
	}
	c.gateway.log.Write(eventlog.StateChange, eventBrittle, eventlog.Fields{
		"target": grant.Target.ID, "brittle": brittleness.Declared, "rejections": brittleness.Rejections, "malformed": brittleness.Malformed,
	})
}

// closeAnswer returns the connection to the pool. It clears c.sending first, since a
// disconnect of the caller must not close a connection that may already carry another request.
func (c *call) closeAnswer(answer *upstream.Answer) {
	c.setSending(nil)
	c.kept = answer.Close()
}

// tryDeadline returns the time by which this try must be answered.
func (c *call) tryDeadline() time.Time {
	if c.route.Kind == catalog.Safe && c.runs+1 < c.route.Attempts {
		left := time.Until(c.expires)
		return time.Now().Add(min(left, max(minTry, time.Duration(float64(left)*tryShare))))
	}
	return c.expires
}

// handleFailure handles a try without a complete answer or, for streams, without a first
// event.
func (c *call) handleFailure(grant *dispatch.Grant, began time.Time, err error) bool {
	if c.hasCallerLeft() {
		c.report(grant, began, dispatch.Abandoned, 0, err)
		c.refuse(callerDisconnected)
		return true
	}
	if errors.Is(err, upstream.ErrNotSent) {
		c.report(grant, began, c.countUnreached(err), 0, err)
		return c.endIfExpired()
	}
	c.tried = append(c.tried, grant.Target.Incarnation())
	c.report(grant, began, outcomeOf(err), 0, err)
	c.noteBrokenRun(grant, began, err)
	return c.retryOrEnd(replyFor(err))
}

// countUnreached counts a target that was not reached, and returns the outcome. That this process has no
// descriptor left says nothing about the target.
func (c *call) countUnreached(err error) dispatch.Outcome {
	if ingress.ShortOfDescriptors(err) {
		return dispatch.Abandoned
	}
	c.unreached++
	return dispatch.Unreachable
}

// outcomeOf returns the outcome of a try that ended with an error after it was sent.
func outcomeOf(err error) dispatch.Outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return dispatch.TimedOut
	case errors.Is(err, errNoMemory):
		return dispatch.Abandoned
	case errors.Is(err, upstream.ErrHeadTooLong):
		// A body or an event may also be too long because the request asks for much, so that no
		// request can take sound targets out of use for long.
		return dispatch.Oversized
	default:
		return dispatch.Broken
	}
}

// replyFor returns the reply to a request whose last try ended with an error after it was sent.
func replyFor(err error) *reply {
	switch {
	case errors.Is(err, errNoMemory):
		return noMemory
	case errors.Is(err, upstream.ErrTooLong):
		return answerTooLong
	case errors.Is(err, upstream.ErrInvalidAnswer):
		return invalidAnswer
	default:
		return targetAborted
	}
}

// noteBrokenRun counts a run whose connection broke, as it does when the target crashes.
func (c *call) noteBrokenRun(grant *dispatch.Grant, began time.Time, err error) {
	if outcomeOf(err) != dispatch.Broken || errors.Is(err, upstream.ErrInvalidAnswer) {
		return
	}
	c.connectionBroke = true
	c.countBrokenRun(grant, began)
}

// endIfExpired ends a request whose time is up. It returns false if the request goes on.
func (c *call) endIfExpired() bool {
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

// retryOrEnd returns false if the request may run again, and otherwise ends it.
func (c *call) retryOrEnd(r *reply) bool {
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

// handleRejection handles an answer which declares that the request was not run.
func (c *call) handleRejection(grant *dispatch.Grant, began time.Time, answer *upstream.Answer, head AnswerHead) bool {
	c.countUnsent()
	answer.Drain(maxDrainBytes, maxDrainTime)
	c.closeAnswer(answer)
	if head.Replaced {
		c.tried = append(c.tried, grant.Target.Incarnation())
		c.report(grant, began, dispatch.Replaced, answer.Status, nil)
	} else {
		c.report(grant, began, dispatch.Rejected, answer.Status, nil)
	}
	if c.sends >= c.route.Attempts+extraSends {
		c.giveUp(notRun("rejected", time.Second))
		return true
	}
	return c.endIfExpired()
}

// bufferedAnswer is an answer that has been read to its end.
type bufferedAnswer struct {
	from   answerSource
	status int
	header http.Header
	body   []byte
}

// forwardBuffered reads an answer to its end before it passes it on, so that a truncated
// answer can be retried or at least reported as a failure.
func (c *call) forwardBuffered(grant *dispatch.Grant, began time.Time, answer *upstream.Answer) bool {
	kept := c.answerBytes() // a failure that may still be passed on
	body, err := c.readBody(answer)
	c.ending = &answerEnding{framing: answer.Framing}
	c.closeAnswer(answer)
	if err == nil && eventstream.HasContentType(answer.Header.Get("Content-Type")) && eventstream.EndsInside(body) {
		err = errInsideEvent
	}
	if err != nil {
		c.releaseAnswerBeyond(kept)
		return c.handleFailure(grant, began, err)
	}
	if c.hasCallerLeft() {
		c.report(grant, began, dispatch.Abandoned, answer.Status, nil)
		c.refuse(callerDisconnected)
		return true
	}
	buffered := &bufferedAnswer{from: fromTarget, status: answer.Status, header: answer.Header, body: body}
	if answer.Status < http.StatusInternalServerError {
		c.report(grant, began, dispatch.Answered, answer.Status, nil)
		c.sendAnswer(buffered)
		return true
	}
	c.report(grant, began, dispatch.Failed, answer.Status, nil)
	c.tried = append(c.tried, grant.Target.Incarnation())
	c.failure = buffered
	return c.retryOrEnd(targetAborted)
}

// sendAnswer passes a complete answer on unchanged, unless its status would promise what isn't known.
func (c *call) sendAnswer(a *bufferedAnswer) {
	if c.contradicts(a.status) {
		c.refuse(unconfirmedRefusal(a.status))
		return
	}
	c.firstAt = time.Now()
	c.answeredBy = a.from
	c.copyHead(a.status, a.header)
	c.enter(memory.Delivering)
	c.ctx.Response.SetBodyRaw(a.body)
	c.end(a.status, "answered")
}
