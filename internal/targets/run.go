package targets

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/eventstream"
	"sycamoretrail/internal/inflight"
)

// Header fields of the protocol with targets.
const (
	headerRequestID   = "X-Request-Id"
	headerNotAdmitted = "X-Not-Admitted"
	notAdmittedLeave  = "leaving"
)

// Errors that end the reading of an answer.
var (
	errBroken  = errors.New("the answer broke off")
	errNotHeld = errors.New("the target does not hold the stream")
	errTooLong = errors.New("the answer is longer than an entry holds")
	// errEnded means that the flight has been ended by a cancellation or by the core.
	errEnded = errors.New("the request has ended")
)

// run is one request at one target.
type run struct {
	t        *Targets
	f        *inflight.Flight
	target   string
	address  string
	kind     request.Kind
	deadline time.Time
	// notAfter is the time after which the dispatch must not send its first byte.
	notAfter time.Time
	began    time.Time
	// attached is set if another entry dispatched the request and this entry only reads
	// its stream.
	attached bool
	onEnd    func(message.Result)

	// answered is set once the target's answer to the dispatch has begun.
	answered  atomic.Bool
	cancelled atomic.Bool
	endOnce   sync.Once

	// rejected is set if the engine answered with a client error (status 4xx).
	rejected outcome.Reason

	stream streamState
}

// dispatch performs a run that this entry dispatches.
func (r *run) dispatch() {
	defer r.t.forget(r)
	if r.f.Answer.Ended() != nil {
		r.end(message.ResultNotAdmitted, false)
		return
	}
	result, wrote := r.execute()
	if r.cancelled.Load() && result != message.ResultNotAdmitted && result != message.ResultLeaving {
		// The cancellation ends the run once it has reached the engine.
		if r.kind == request.Engine {
			return
		}
		result = message.ResultCancelled
	}
	r.end(result, wrote)
}

// complete ends the caller's answer.
func (r *run) complete() {
	r.f.Finish(outcome.Status{Outcome: outcome.Answered, Reason: r.rejected})
}

// end reports the result of the run to the core, once.
func (r *run) end(result message.Result, wrote bool) {
	r.endOnce.Do(func() {
		r.t.outbox.put(entry.RunEnded{ID: r.f.ID, Result: result, Sample: r.stream.sample(r.f), Wrote: wrote})
	})
}

// execute sends the request once and follows the answer to its end.
func (r *run) execute() (result message.Result, wrote bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r.prepare(req)
	resp.StreamBody = true
	err := r.send(req, resp)
	// The end of the grant bounds only the dispatch. A running stream may be resumed long
	// after it, and must then not fail as if nothing had been sent.
	r.notAfter = time.Time{}
	if err != nil {
		return r.recoverUnanswered(err)
	}
	if !belongsTo(resp, string(r.f.ID)) {
		discard(resp)
		return r.recoverUnanswered(errForeign)
	}
	r.answered.Store(true)
	if refusal := resp.Header.Peek(headerNotAdmitted); resp.StatusCode() == fasthttp.StatusServiceUnavailable && len(refusal) > 0 {
		discard(resp)
		// The target reports that it has not admitted the request.
		if string(refusal) == notAdmittedLeave {
			return message.ResultLeaving, false
		}
		return message.ResultNotAdmitted, false
	}
	if r.kind == request.Engine && resp.StatusCode() >= fasthttp.StatusInternalServerError {
		discard(resp)
		return message.ResultFailed, true
	}
	r.t.outbox.put(entry.RunStarted{ID: r.f.ID})
	return r.resultOf(r.receive(resp)), true
}

// send sends the request on a connection. It tries another connection only if no byte
// has been sent on the last one.
func (r *run) send(req *fasthttp.Request, resp *fasthttp.Response) error {
	client := r.t.client(r.address, r.kind)
	for attempt := 0; ; attempt++ {
		if !r.notAfter.IsZero() && r.t.cfg.Now().After(r.notAfter) {
			// This process was suspended after the core's decision. By now the target
			// may be departing, or its slot may have been granted to another request.
			return fmt.Errorf("%w: the grant has lapsed", errNothingSent)
		}
		if !r.deadline.IsZero() {
			remaining := r.deadline.Sub(r.t.cfg.Now())
			if remaining <= 0 {
				return fmt.Errorf("%w: the deadline has passed", errNothingSent)
			}
			req.SetTimeout(remaining)
		}
		err := client.Do(req, resp)
		r.t.noteInvalid(r.address, err)
		if err == nil || !nothingSent(err) || attempt >= maxStaleRetries || !errors.Is(err, errStale) {
			return err
		}
	}
}

// maxStaleRetries bounds the kept-alive connections that are skipped for one request because
// the target has closed them.
const maxStaleRetries = 8

// recoverUnanswered returns the result of a request that got no answer from the dispatch.
func (r *run) recoverUnanswered(err error) (message.Result, bool) {
	if nothingSent(err) {
		return message.ResultNotAdmitted, false
	}
	if r.kind == request.Service {
		return message.ResultAborted, true
	}
	// The engine may have received the request, so it is not sent again. But its stream
	// can be requested: if the engine holds it, the caller still gets the answer.
	r.stream.restart()
	return r.resultOf(r.resume(fmt.Errorf("%w: %w", errBroken, err))), true
}

// resultOf returns the result for the error with which the reading of an answer ended, and
// cancels the run if the answer is no longer needed.
func (r *run) resultOf(err error) message.Result {
	if err == nil {
		return message.ResultComplete
	}
	pastDeadline := !r.deadline.IsZero() && !r.t.cfg.Now().Before(r.deadline)
	if pastDeadline || errors.Is(err, errEnded) {
		r.cancel()
		return message.ResultCancelled
	}
	return message.ResultAborted
}

// prepare fills in the request to the target.
func (r *run) prepare(req *fasthttp.Request) {
	f := r.f
	req.URI().DisablePathNormalizing = true
	req.SetRequestURI("http://" + r.address + f.Path)
	req.Header.SetMethod(f.Method)
	for _, field := range f.Header {
		req.Header.Add(field.Name, field.Value)
	}
	req.Header.Set(headerRequestID, string(f.ID))
	if body := f.Body(); len(body) > 0 {
		req.SetBodyRaw(body)
	}
}

// receive reads an answer from its head to its end.
func (r *run) receive(resp *fasthttp.Response) error {
	if r.kind == request.Engine && isEventStream(resp) {
		r.f.Answer.Begin(inflight.Head{Status: resp.StatusCode(), ContentType: eventstream.ContentType, Events: true})
		err := r.readEvents(resp)
		if err == nil || errors.Is(err, errEnded) {
			return err
		}
		return r.resume(err)
	}
	err := r.readComplete(resp)
	if err == nil || r.kind == request.Service || errors.Is(err, errTooLong) {
		return err
	}
	// Nothing of the truncated answer was passed on, so it can be replaced by the stream
	// of the same request.
	return r.resume(err)
}

func isEventStream(resp *fasthttp.Response) bool {
	return eventstream.HasContentType(string(resp.Header.ContentType()))
}

// readComplete reads an answer that is not a stream. It is passed on only if it is complete.
func (r *run) readComplete(resp *fasthttp.Response) error {
	defer func() { _ = resp.CloseBodyStream() }()
	body, err := readBody(resp, r.f.MaxAnswer)
	if err != nil {
		discard(resp)
		return err
	}
	if isEventStream(resp) && eventstream.EndsInside(body) {
		return fmt.Errorf("%w: the stream ended inside an event", errBroken)
	}
	if endsWithConnection(resp) && !r.t.accepts(r.address) {
		return fmt.Errorf("%w: the target ended with its answer", errBroken)
	}
	r.f.Answer.Begin(headOf(resp))
	if r.kind == request.Engine && resp.StatusCode() >= fasthttp.StatusBadRequest {
		r.rejected = outcome.ReasonTargetRejected
	}
	if len(body) > 0 {
		r.f.Answer.AppendOwned(body)
	}
	r.stream.noteUsageOf(body)
	r.complete()
	return nil
}

// lengthUntilClose is fasthttp's ContentLength of a body that has neither a length nor chunks.
const lengthUntilClose = -2

func endsWithConnection(resp *fasthttp.Response) bool {
	return resp.Header.ContentLength() == lengthUntilClose
}

// readBody reads a body of up to limit bytes; 0 means no limit.
func readBody(resp *fasthttp.Response, limit int) ([]byte, error) {
	src := resp.BodyStream()
	if src == nil {
		return append([]byte(nil), resp.Body()...), nil
	}
	if limit > 0 {
		src = io.LimitReader(src, int64(limit)+1)
	}
	body, err := io.ReadAll(src)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBroken, err)
	}
	if limit > 0 && len(body) > limit {
		return nil, errTooLong
	}
	return body, nil
}

// hopByHop contains the fields of an answer that apply to one connection only, or that the
// server for callers sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true, "Trailer": true,
	"Upgrade": true, "Proxy-Connection": true, "Content-Type": true, headerRequestID: true,
	"X-Outcome": true, "X-Reason": true, "X-Checksum": true, "X-Stream-Token": true,
}

func headOf(resp *fasthttp.Response) inflight.Head {
	head := inflight.Head{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType())}
	for name, value := range resp.Header.All() {
		if !hopByHop[string(name)] {
			head.Fields = append(head.Fields, inflight.Field{Name: string(name), Value: string(value)})
		}
	}
	return head
}

// streamPath returns the path of a stream at an engine.
func streamPath(id string) string { return "/streams/" + id }

func resumePath(id string, from int64) string {
	return streamPath(id) + "?from=" + strconv.FormatInt(from, 10)
}
