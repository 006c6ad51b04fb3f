package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/memory"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/upstream"
)

// A request that this entry cannot bring to any target is handed off: it is sent to another entry
// as its caller sent it, and that entry's answer is passed on. Handed-off requests are received on
// an address of their own, and are not handed off again.

const (
	// HeaderHandoffRuns is the number of targets that may have run a request: before it was handed
	// off and, in the answer, up to then.
	HeaderHandoffRuns = "X-Handoff-Runs"
	// HeaderHandoffVersion is the version of the configuration by which a request was accepted.
	// An entry with an older one might refuse it.
	HeaderHandoffVersion = "X-Handoff-Version"
	// HeaderHandoffOrigin is the service and version that began a stream, in requests that
	// continue it and in answers that begin one.
	HeaderHandoffOrigin = "X-Handoff-Origin"
	// HeaderHandoffSend identifies one send of a request to another entry, and is returned with the
	// answer to it.
	HeaderHandoffSend = "X-Handoff-Send"
	// headerHandoffDeclined marks a reply to a handed-off request that another entry may be
	// able to serve.
	headerHandoffDeclined = "X-Handoff-Declined"

	// maxUnreached is the number of targets that a request may fail to reach before it is
	// handed off, although this entry does not count as isolated.
	maxUnreached = 2
	// maxHandoffs bounds the entries that are asked for one request.
	maxHandoffs = 3
)

// handoffHeaders are set by entries only. In the answer of a target they mean nothing.
var handoffHeaders = map[string]bool{
	HeaderHandoffRuns: true, HeaderHandoffVersion: true, HeaderHandoffOrigin: true, HeaderHandoffSend: true, headerHandoffDeclined: true,
}

// shouldHandOff reports whether the request should go through another entry.
func (c *call) shouldHandOff() bool {
	return c.gateway.settings.Load.HandOff && !c.handedOff && (c.unreached >= maxUnreached || c.gateway.isolation.isolated())
}

// handOff hands the request off. It returns false if no entry has taken it.
func (c *call) handOff() bool {
	for range maxHandoffs {
		if c.hasCallerLeft() || !time.Now().Before(c.expires) {
			return false
		}
		peer, found := c.gateway.handoffs.choose()
		if !found {
			return false
		}
		if reply := c.mayHandOff(); reply != nil {
			c.giveUp(reply)
			return true
		}
		answer, err := c.handOffTo(peer)
		if errors.Is(err, errDeclined) {
			continue
		}
		if c.hasCallerLeft() {
			c.refuse(callerDisconnected)
			return true
		}
		if err != nil {
			c.runs++
			if c.retryOrEnd(replyFor(err)) {
				return true
			}
			continue
		}
		if c.forwardHandedOff(peer, answer) {
			return true
		}
	}
	return false
}

// mayHandOff returns the reply to a request that must not be handed off, or nil. The entry that takes
// it decides itself whether its first run may crash a target.
func (c *call) mayHandOff() *reply {
	switch {
	case !c.mayPassOn():
		return entryStopping
	case !c.enter(memory.Running):
		return noMemoryToWait()
	case c.runs == 0 && c.sends == 0:
		return nil
	case !c.mayRunAgain():
		return crashingPart
	case !c.gateway.state.mayRepeat(c.envelope.ID, c.service):
		return notRun("retry_budget", time.Second)
	default:
		return nil
	}
}

// errDeclined is returned if an entry has not taken a request: it was not reached, or declined.
var errDeclined = errors.New("the entry has not taken the request")

// handOffTo sends the request to another entry and reads the head of its answer.
func (c *call) handOffTo(peer peerset.Entry) (*upstream.Answer, error) {
	began := time.Now()
	c.withdrawQuota()
	c.use, c.kept = nil, false
	answer, err := c.sendToPeer(peer)
	outcome := "answered"
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		outcome, err = "unreachable", errDeclined
	case errors.Is(err, upstream.ErrInvalidAnswer):
		outcome = "invalid"
	case err != nil:
		outcome = "broken"
		c.connectionBroke = true
	case answer.Header.Get(headerHandoffDeclined) != "":
		answer.Drain(maxDrainBytes, maxDrainTime)
		c.closeAnswer(answer)
		outcome, err = "declined", errDeclined
	}
	fields := eventlog.Fields{
		"id": c.envelope.ID, "peer": peer.Name, "outcome": outcome, "took_ms": time.Since(began).Milliseconds(),
		"unreached": c.unreached, "runs": c.runs,
	}
	if answer != nil {
		fields["status"] = answer.Status
	}
	c.addUse(fields)
	importance := eventlog.Routine
	if err != nil {
		importance = eventlog.Failure
		fields["error"] = err.Error()
	}
	c.gateway.log.Write(importance, eventHandedOff, fields)
	c.gateway.counters.handoffs.add(outcome)
	if err != nil {
		c.gateway.handoffs.avoid(peer.Name)
	}
	return answer, err
}

func (c *call) sendToPeer(peer peerset.Entry) (*upstream.Answer, error) {
	maxAge := time.Hour
	if !c.route.Idempotent() {
		maxAge = maxIdleUnrepeatable
	}
	pool := c.gateway.handoffs.pool
	conn, err := c.connect(pool, peer.Links, maxAge)
	if err != nil {
		return nil, err
	}
	if !c.setSending(conn) {
		_ = conn.Close()
		return nil, upstream.ErrNotSent
	}
	request := &c.ctx.Request
	body := c.body
	send := strconv.FormatUint(rand.Uint64(), 16)
	exchange := &upstream.Exchange{
		ID: c.envelope.ID, Expires: c.expires,
		Method: string(request.Header.Method()),
		Body:   body,
		Head: c.gateway.platform.AppendHandoffHead(nil, &request.Header, HandoffInfo{
			Remaining: time.Until(c.expires), LastEvent: c.lastEvent, BodyLength: len(body), Runs: c.runs,
			Version: c.config.Version, Origin: encodeOrigin(c.origin), Send: send,
		}),
		Deadline: c.expires,
		Matches:  func(h http.Header) bool { return h.Get(HeaderHandoffSend) == send },
	}
	answer, err := pool.Send(conn, exchange)
	c.use = &exchange.Use
	if err != nil {
		c.setSending(nil)
		return nil, err
	}
	answer.Header.Del(HeaderHandoffSend)
	return answer, nil
}

// withdrawQuota stops counting the request as waiting here: the entry that takes it counts it. If no
// entry does, countSent counts it.
func (c *call) withdrawQuota() {
	if c.reserved {
		c.charge((*quota.Limiter).Withdraw)
		c.reserved = false
	}
}

// forwardHandedOff passes on another entry's answer. It returns false if the request should go
// to another entry.
func (c *call) forwardHandedOff(peer peerset.Entry, answer *upstream.Answer) bool {
	c.target = peer.Name
	if c.route.Kind == catalog.Stream && answer.Status == http.StatusOK {
		c.runs++
		return c.forwardHandedOffStream(answer)
	}
	kept := c.answerBytes()
	body, err := c.readBody(answer)
	c.closeAnswer(answer)
	switch {
	case c.hasCallerLeft():
		c.refuse(callerDisconnected)
		return true
	case err != nil:
		c.releaseAnswerBeyond(kept)
		c.runs++
		return c.retryOrEnd(replyFor(err))
	case c.runs > 0 && promisesNoRun(answer.Status):
		// The promise holds for what the other entry did only.
		c.giveUp(targetAborted)
		return true
	default:
		if mayHaveRunElsewhere(answer.Header) {
			c.runs++
		}
		c.sendAnswer(&bufferedAnswer{from: fromPeer, status: answer.Status, header: answer.Header, body: body})
		return true
	}
}

// mayHaveRunElsewhere reports whether a target may have run a request according to the answer of the entry to
// which it was handed off. Entries of earlier releases don't say, and pass on failures of targets whatever
// these promise.
func mayHaveRunElsewhere(header http.Header) bool { return header.Get(HeaderHandoffRuns) != "0" }

func (c *call) forwardHandedOffStream(answer *upstream.Answer) bool {
	s := &eventStream{call: c, began: time.Now(), answer: answer}
	first, err := s.next()
	if err != nil && !errors.Is(err, io.EOF) {
		c.closeAnswer(answer)
		s.releaseEvent()
		return c.retryOrEnd(replyFor(err))
	}
	if origin := decodeOrigin(answer.Header.Get(HeaderHandoffOrigin)); origin != nil {
		c.recordOrigin(*origin, false) // the other entry has waited
	}
	c.answeredBy = fromPeer
	c.firstAt = time.Now()
	c.copyHead(answer.Status, answer.Header)
	s.ready, s.complete = first, errors.Is(err, io.EOF)
	c.ctx.Response.SetBodyStream(s, -1)
	return true
}

// resumeHandedOff continues the stream through another entry.
func (s *eventStream) resumeHandedOff() bool {
	c := s.call
	if c.mayHandOff() != nil {
		return false
	}
	for range maxHandoffs {
		peer, found := c.gateway.handoffs.choose()
		if !found || c.hasCallerLeft() || !time.Now().Before(c.expires) || c.runs >= c.route.Attempts {
			return false
		}
		answer, err := c.handOffTo(peer)
		if errors.Is(err, errDeclined) {
			continue
		}
		c.runs++
		if err != nil {
			continue
		}
		if answer.Status != http.StatusOK {
			c.closeAnswer(answer)
			continue
		}
		*s = eventStream{call: c, began: time.Now(), answer: answer}
		return true
	}
	return false
}

// serveHandedOff is the handler of requests that other entries hand off.
func (g *Gateway) serveHandedOff(ctx *fasthttp.RequestCtx) {
	c := g.newCall(ctx)
	c.handedOff = true
	c.handoffSend = string(ctx.Request.Header.Peek(HeaderHandoffSend))
	if runs, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderHandoffRuns))); err == nil {
		c.runs = max(0, runs)
	}
	if version, err := strconv.ParseInt(string(ctx.Request.Header.Peek(HeaderHandoffVersion)), 10, 64); err == nil {
		c.requiredVersion = version
	}
	c.origin = decodeOrigin(string(ctx.Request.Header.Peek(HeaderHandoffOrigin)))
	if g.isolation.isolated() {
		c.refuse(notReachable)
		return
	}
	c.serve()
}

// declines reports whether a reply to a handed-off request leaves it to another entry.
func (c *call) declines(r *reply) bool {
	return c.handedOff && (r == notReachable || r == outdated || r == entryStopping || r == notReady ||
		r.reason == reasonNoMemoryToReceive || r.reason == reasonNoMemoryToWait)
}

// outdated declines a request that was accepted by a later configuration than this entry's,
// notReachable one that this entry can bring to no target either.
var (
	outdated     = &reply{fasthttp.StatusServiceUnavailable, "outdated", "a later configuration is not known yet; the request was not run", dispatch.MinRetryAfter}
	notReachable = &reply{fasthttp.StatusServiceUnavailable, "isolated", "no target can be reached; the request was not run", dispatch.MinRetryAfter}
)
