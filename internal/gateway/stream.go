package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/streams"
	"sycamoretrail/internal/eventstream"
	"sycamoretrail/internal/upstream"
)

// headerProxyChallenge is a proxy's request for credentials, which concerns the next hop only.
const headerProxyChallenge = "Proxy-Authenticate"

// copyHead copies the status and headers of a target or another entry to the answer for the caller.
func (c *call) copyHead(status int, header http.Header) {
	response := &c.ctx.Response
	c.resetResponse()
	response.SetStatusCode(status)
	response.Header.SetNoDefaultContentType(true)
	named := ConnectionNames(header["Connection"]...)
	for name, values := range header {
		if ConcernsConnection(name, named) || handoffHeaders[name] || name == headerProxyChallenge {
			continue
		}
		for _, value := range values {
			response.Header.Add(name, value)
		}
	}
	c.setHandoffHeaders()
}

// forwardStream passes the events of an answer on as they arrive. It returns true if the call
// has an answer, which the server continues to send after the handler has returned.
func (c *call) forwardStream(grant *dispatch.Grant, began time.Time, answer *upstream.Answer) bool {
	s := &eventStream{call: c, grant: grant, began: began, answer: answer}
	first, err := s.next()
	if err != nil && !errors.Is(err, io.EOF) {
		c.closeAnswer(answer)
		s.releaseEvent()
		return c.handleFailure(grant, began, err)
	}
	c.firstAt = time.Now()
	c.recordOrigin(streams.Origin{Service: c.service, Version: grant.Target.Version}, true)
	c.answeredBy = fromTarget
	c.copyHead(answer.Status, answer.Header)
	if c.handedOff {
		c.ctx.Response.Header.Set(HeaderHandoffOrigin, encodeOrigin(c.origin))
	}
	s.ready = first
	s.complete = errors.Is(err, io.EOF)
	c.ctx.Response.SetBodyStream(s, -1)
	return true
}

// eventStream is the body of a streamed answer. It passes on complete events only, so that the
// answer can continue at another target after any of them.
type eventStream struct {
	call   *call
	grant  *dispatch.Grant
	began  time.Time
	answer *upstream.Answer
	// raw is what has been read after the last complete event. reserved is the memory that it holds of
	// that for buffered answers.
	raw      []byte
	reserved int
	// ended is the error that ended the target's answer; io.EOF: its framing ended regularly.
	ended error
	// ready is what can be passed on.
	ready []byte
	// complete: the target's answer has ended regularly.
	complete bool
	closed   bool
	// events counts the events of the current target after its first, which came at firstAt.
	events  int
	firstAt time.Time
	lastAt  time.Time
	// longest is the longest pause between the current target's events.
	longest time.Duration
	// latencyObserved: the latency of the first events has been reported to the scheduler.
	latencyObserved bool
}

// Read returns what is ready, or waits for the next event. The server calls it after the
// handler has returned.
func (s *eventStream) Read(p []byte) (int, error) {
	for len(s.ready) == 0 {
		if s.complete {
			s.finish(dispatch.Answered, nil)
			return 0, io.EOF
		}
		ready, err := s.next()
		s.ready = ready
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			s.complete = true
			continue
		}
		if !s.resume(err) {
			return 0, err
		}
	}
	n := copy(p, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// Close is called when the answer has been sent completely, or sending has failed.
func (s *eventStream) Close() error {
	s.finish(dispatch.Abandoned, nil)
	return nil
}

const readSize = 4 << 10

// next returns the next complete events. With io.EOF it returns the rest of a complete body.
func (s *eventStream) next() ([]byte, error) {
	for {
		if s.ended != nil {
			return s.end()
		}
		known := len(s.raw)
		chunk := make([]byte, readSize)
		n, err := s.answer.Read(chunk)
		s.raw = append(s.raw, chunk[:n]...)
		s.ended = err
		if events := s.takeEvents(known); len(events) > 0 {
			return events, nil
		}
		if err := s.checkLength(); err != nil {
			return nil, err
		}
	}
}

// lineEndsLen is the length of the longest sequence that ends an event.
const lineEndsLen = len("\r\n\r\n")

// takeEvents removes and returns the complete events. The first known bytes hold the end of none.
func (s *eventStream) takeEvents(known int) []byte {
	from := max(0, known-lineEndsLen)
	n := eventstream.CompleteLen(s.raw[from:])
	if n == 0 {
		return nil
	}
	end := from + n
	events := s.raw[:end:end]
	s.raw = append([]byte(nil), s.raw[end:]...)
	s.releaseEvent()
	s.noteEvents(events)
	return events
}

// checkLength returns an error if the event that has begun is too long, or an answer that is no
// stream of events.
func (s *eventStream) checkLength() error {
	length := len(s.raw)
	switch {
	case length > maxEvent && !s.isOtherContent():
		return errEventTooLong
	case length > maxBufferedAnswer:
		return errAnswerTooLong
	case length <= max(freeEvent, s.reserved):
		return nil
	}
	if err := s.call.reserveAnswer(2*length - s.reserved); err != nil {
		return err
	}
	s.reserved = 2 * length
	return nil
}

func (s *eventStream) releaseEvent() {
	if s.reserved > 0 {
		s.call.unreserveAnswer(s.reserved)
		s.reserved = 0
	}
}

// end returns the rest of a body after its last complete event. It fails if the body is truncated.
func (s *eventStream) end() ([]byte, error) {
	s.call.ending = &answerEnding{framing: s.answer.Framing, unfinished: len(s.raw)}
	if !errors.Is(s.ended, io.EOF) {
		if s.grant != nil {
			s.call.noteUnreached(s.grant, s.ended)
		}
		return nil, s.ended
	}
	if err := s.checkComplete(); err != nil {
		return nil, err
	}
	rest := s.raw
	s.raw = nil
	s.noteEvents(rest)
	return rest, io.EOF
}

// Errors of streams that are truncated although their framing ended regularly.
var (
	errInsideEvent = fmt.Errorf("%w: the stream ended inside an event", upstream.ErrBroken)
	errNoEvent     = fmt.Errorf("%w: the stream ended before its first event", upstream.ErrBroken)
)

// checkComplete returns an error if a body whose framing ended regularly is a truncated stream: it
// ended inside an event, or its connection was closed before the first one.
func (s *eventStream) checkComplete() error {
	if s.isOtherContent() {
		return nil
	}
	if eventstream.EndsInside(s.raw) {
		return errInsideEvent
	}
	begun := !s.call.lastEventAt.IsZero() || s.call.envelope.LastEvent != ""
	if s.answer.Framing == upstream.FramedByClose && !begun {
		return errNoEvent
	}
	return nil
}

// isOtherContent reports whether the target declares that its answer is not an event stream.
func (s *eventStream) isOtherContent() bool {
	declared := s.answer.Header.Get("Content-Type")
	return declared != "" && !eventstream.HasContentType(declared)
}

// noteEvents records the id of the last event and when events arrived.
func (s *eventStream) noteEvents(events []byte) {
	for line := range eventstream.Lines(events) {
		if bytes.HasPrefix(line, []byte("id:")) {
			s.events++
			s.call.events++
		}
	}
	if id, numbered, ok := eventstream.Position(events); ok {
		s.call.lastEvent, s.call.positionUnknown = id, !numbered
	}
	if len(events) > 0 {
		s.observe(time.Now())
	}
}

// observe records when events arrived, and reports the first event and the latency to the
// scheduler.
func (s *eventStream) observe(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
		s.events = 0
		if s.grant != nil {
			s.call.gateway.state.observeFirstEvent(s.grant.Ticket)
		}
	} else {
		s.longest = max(s.longest, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.call.notePause(now)
	if s.grant == nil {
		return
	}
	s.call.gateway.isolation.recordContact()
	if s.events >= earlyEvents && !s.latencyObserved {
		s.latencyObserved = true
		s.call.gateway.state.observeLatency(s.grant.Ticket, s.latency())
	}
}

// notePause updates the longest pause between events as the caller sees them.
func (c *call) notePause(now time.Time) {
	if !c.lastEventAt.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// earlyEvents is the number of events after which a stream's latency is first reported: enough
// that a single prompt processed at the same time does not dominate it.
const earlyEvents = 6

// latency returns the mean pause between events.
func (s *eventStream) latency() time.Duration {
	if s.events == 0 {
		return 0
	}
	return s.lastAt.Sub(s.firstAt) / time.Duration(s.events)
}

// resume continues the stream at another target after the last event that was passed on.
func (s *eventStream) resume(cause error) bool {
	c := s.call
	c.closeAnswer(s.answer)
	s.releaseEvent()
	outcome := outcomeOf(cause)
	switch {
	case c.hasCallerLeft(), !time.Now().Before(c.expires):
		outcome = dispatch.Abandoned
	case errors.Is(cause, os.ErrDeadlineExceeded):
		outcome = dispatch.Failed
	case s.grant != nil:
		c.noteBrokenRun(s.grant, s.began, cause)
	default:
		c.connectionBroke = true
	}
	if s.grant != nil {
		c.tried = append(c.tried, s.grant.Target.Incarnation())
	}
	s.release(outcome, cause)
	if outcome == dispatch.Abandoned || !c.route.Resumable || c.positionUnknown || !time.Now().Before(c.expires) {
		return false
	}
	for c.runs < c.route.Attempts && c.sends < c.route.Attempts+extraSends {
		if c.shouldHandOff() && s.resumeHandedOff() {
			return true
		}
		grant, refused := c.acquireSlot()
		if refused == isolatedWhileWaiting {
			continue
		}
		if refused != nil {
			return false
		}
		if c.claimRun() != nil || !c.gateway.state.mayRepeat(c.envelope.ID, c.service) {
			c.gateway.state.release(grant.Ticket, dispatch.Report{Outcome: dispatch.Abandoned})
			return false
		}
		if s.resumeAt(grant) {
			return true
		}
		if c.hasCallerLeft() || !time.Now().Before(c.expires) {
			return false
		}
	}
	return false
}

// resumeAt sends the request to one more target.
func (s *eventStream) resumeAt(grant *dispatch.Grant) bool {
	c := s.call
	began := time.Now()
	answer, head, err := c.send(grant)
	if err != nil {
		outcome := outcomeOf(err)
		if errors.Is(err, upstream.ErrNotSent) {
			outcome = c.countUnreached(err)
		} else {
			c.runs++
			c.tried = append(c.tried, grant.Target.Incarnation())
			c.noteBrokenRun(grant, began, err)
		}
		c.report(grant, began, outcome, 0, err)
		return false
	}
	if head.NotRun || answer.Status != http.StatusOK {
		if head.NotRun {
			c.countUnsent()
		}
		c.closeAnswer(answer)
		c.tried = append(c.tried, grant.Target.Incarnation())
		outcome := dispatch.Rejected
		if !head.NotRun {
			c.runs++
			outcome = dispatch.Failed
		}
		c.report(grant, began, outcome, answer.Status, nil)
		return false
	}
	c.runs++
	*s = eventStream{call: c, grant: grant, began: began, answer: answer}
	return true
}

// finish ends the stream and the call; later calls do nothing.
func (s *eventStream) finish(outcome dispatch.Outcome, cause error) {
	if s.closed {
		return
	}
	s.close(outcome, cause)
	if outcome == dispatch.Answered {
		s.call.end(s.answer.Status, "answered")
		return
	}
	reason := "cut"
	if s.call.hasCallerLeft() {
		reason = "caller_left"
	}
	s.call.end(s.answer.Status, reason)
}

func (s *eventStream) close(outcome dispatch.Outcome, cause error) {
	s.closed = true
	s.call.closeAnswer(s.answer)
	s.releaseEvent()
	s.release(outcome, cause)
}

// release releases the slot; later calls do nothing.
func (s *eventStream) release(outcome dispatch.Outcome, cause error) {
	if s.grant == nil {
		return
	}
	report := dispatch.Report{Outcome: outcome, Latency: s.latency()}
	if outcome == dispatch.Answered {
		report.First = s.firstAt.Sub(s.began)
		report.Rest = s.lastAt.Sub(s.firstAt)
		report.LongestPause = s.longest
	}
	grant := s.grant
	s.grant = nil
	s.call.reportAttempt(grant, report, time.Since(s.began), s.answer.Status, cause)
}
