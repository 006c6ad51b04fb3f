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
	"sycamoretrail/internal/flight"
)

// Header fields of the targets' interface.
const (
	headerRequestID   = "X-Request-Id"
	headerNotAdmitted = "X-Not-Admitted"
	notAdmittedLeave  = "leaving"
	eventStreamType   = "text/event-stream"
)

// Errors of following an answer.
var (
	errBroken  = errors.New("the answer broke off")
	errNotHeld = errors.New("the target does not hold the stream")
	errTooLong = errors.New("the answer is longer than an entry holds")
	// errOver: the flight ended meanwhile, by cancellation or the core's word.
	errOver = errors.New("the request has ended")
)

// run is one request at one target.
type run struct {
	t        *Targets
	f        *flight.Flight
	target   string
	address  string
	kind     request.Kind
	deadline time.Time
	// notAfter voids a dispatch whose first byte has not left by then.
	notAfter time.Time
	began    time.Time
	// attached: another entry dispatched it; here its stream is only read.
	attached bool
	onEnd    func(message.Result)

	// answered: the target's answer to the dispatch has begun.
	answered  atomic.Bool
	cancelled atomic.Bool
	endOnce   sync.Once

	// rejected is set when the engine answered with an error of the request's own.
	rejected outcome.Reason

	stream streamState
}

// dispatch is the whole life of a run that this entry dispatched.
func (r *run) dispatch() {
	defer r.t.forget(r)
	if r.f.Answer.Ended() != nil {
		r.end(message.ResultNotAdmitted, false)
		return
	}
	result, wrote := r.execute()
	if r.cancelled.Load() && result != message.ResultNotAdmitted && result != message.ResultLeaving {
		// The cancellation ends the run, once the engine has been told.
		if r.kind == request.Engine {
			return
		}
		result = message.ResultCancelled
	}
	r.end(result, wrote)
}

// complete gives the caller the end of its answer.
func (r *run) complete() {
	r.f.Finish(outcome.Status{Outcome: outcome.Answered, Reason: r.rejected})
}

// end tells the core how the run ended, once.
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
	// The grant's end bounds the dispatch only. A stream that runs is resumed long
	// after it, and must not be told that nothing was sent.
	r.notAfter = time.Time{}
	if err != nil {
		return r.unanswered(err)
	}
	r.answered.Store(true)
	if refusal := resp.Header.Peek(headerNotAdmitted); resp.StatusCode() == fasthttp.StatusServiceUnavailable && len(refusal) > 0 {
		_ = resp.CloseBodyStream()
		// The target says that it took nothing of what was sent.
		if string(refusal) == notAdmittedLeave {
			return message.ResultLeaving, false
		}
		return message.ResultNotAdmitted, false
	}
	if r.kind == request.Engine && resp.StatusCode() >= fasthttp.StatusInternalServerError {
		_ = resp.CloseBodyStream()
		return message.ResultFailed, true
	}
	r.t.outbox.put(entry.RunStarted{ID: r.f.ID})
	return r.finish(r.receive(resp)), true
}

// send hands the request to a connection. It goes on to another connection only
// while the last one provably took no byte.
func (r *run) send(req *fasthttp.Request, resp *fasthttp.Response) error {
	client := r.t.client(r.address, r.kind)
	for attempt := 0; ; attempt++ {
		if !r.notAfter.IsZero() && r.t.cfg.Now().After(r.notAfter) {
			// This process stood still after the core's decision. The target may
			// be leaving by now, or its place given to another.
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
		if err == nil || !nothingSent(err) || attempt >= staleAttempts || !errors.Is(err, errStale) {
			return err
		}
	}
}

// staleAttempts bounds how many kept connections that the target closed are
// passed over for one request.
const staleAttempts = 8

// unanswered tells how a request ended that got no answer at all.
func (r *run) unanswered(err error) (message.Result, bool) {
	if nothingSent(err) {
		return message.ResultNotAdmitted, false
	}
	if r.kind == request.Service {
		return message.ResultBroken, true
	}
	// The engine may have taken it. It is never sent again, but the stream can
	// be asked for: if the engine holds it, the caller still gets its answer.
	r.stream.forget()
	return r.finish(r.resume(fmt.Errorf("%w: %w", errBroken, err))), true
}

// finish turns the end of an answer into a result.
func (r *run) finish(err error) message.Result {
	if err == nil {
		return message.ResultComplete
	}
	late := !r.deadline.IsZero() && !r.t.cfg.Now().Before(r.deadline)
	if late || errors.Is(err, errOver) {
		r.cancel()
		return message.ResultCancelled
	}
	return message.ResultBroken
}

// prepare forms the request to the target.
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

// receive follows an answer from its head to its end.
func (r *run) receive(resp *fasthttp.Response) error {
	if r.kind == request.Engine && isEventStream(resp) {
		r.f.Answer.Begin(flight.Head{Status: resp.StatusCode(), ContentType: eventStreamType, Events: true})
		err := r.readEvents(resp)
		if err == nil || errors.Is(err, errOver) {
			return err
		}
		return r.resume(err)
	}
	err := r.readWhole(resp)
	if err == nil || r.kind == request.Service || errors.Is(err, errTooLong) {
		return err
	}
	// Nothing of the broken answer was passed on, so the stream of the same
	// request can take its place.
	return r.resume(err)
}

func isEventStream(resp *fasthttp.Response) bool {
	contentType := resp.Header.ContentType()
	return len(contentType) >= len(eventStreamType) && string(contentType[:len(eventStreamType)]) == eventStreamType
}

// readWhole reads an answer that is not a stream; it is passed on only whole.
func (r *run) readWhole(resp *fasthttp.Response) error {
	defer func() { _ = resp.CloseBodyStream() }()
	body, err := readBody(resp, r.f.MaxAnswer)
	if err != nil {
		return err
	}
	r.f.Answer.Begin(wholeHead(resp))
	if r.kind == request.Engine && resp.StatusCode() >= fasthttp.StatusBadRequest {
		r.rejected = outcome.ReasonTargetRejected
	}
	if len(body) > 0 {
		r.f.Answer.AppendOwned(body)
	}
	r.stream.noteWhole(body)
	r.complete()
	return nil
}

// readBody reads a body of up to limit bytes; 0: no limit.
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

// hopByHop are fields of an answer that belong to one connection, or that the
// callers' edge sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true, "Trailer": true,
	"Upgrade": true, "Proxy-Connection": true, "Content-Type": true, headerRequestID: true,
	"X-Outcome": true, "X-Reason": true, "X-Checksum": true, "X-Stream-Token": true,
}

func wholeHead(resp *fasthttp.Response) flight.Head {
	head := flight.Head{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType())}
	for name, value := range resp.Header.All() {
		if !hopByHop[string(name)] {
			head.Fields = append(head.Fields, flight.Field{Name: string(name), Value: string(value)})
		}
	}
	return head
}

// streamPath is the path of a stream at an engine.
func streamPath(id string) string { return "/streams/" + id }

func resumePath(id string, from int64) string {
	return streamPath(id) + "?from=" + strconv.FormatInt(from, 10)
}
