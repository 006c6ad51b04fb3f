package virtual

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// flight is a request in flight at one entry.
type flight struct {
	host          *host
	id            ident.RequestID
	request       request.Request
	crashesTarget bool
	waiters       []*attempt
	// stream is the connection to the target, or nil.
	stream *stream
	// tokens is the number of tokens received, which are retained for callers that
	// join later.
	tokens int
	status *outcome.Status
}

// flight returns the flight of an id and creates it if there is none.
func (h *host) flight(id ident.RequestID) *flight {
	f := h.flights[id]
	if f == nil {
		f = &flight{host: h, id: id}
		h.flights[id] = f
	}
	return f
}

// submit handles a request of a caller.
func (h *host) submit(a *attempt, r request.Request) {
	if h.view == nil || h.view.Document == nil || h.view.State == message.Starting {
		a.settle(outcome.Refused(outcome.ReasonNotReady, time.Second, ""), 0)
		return
	}
	f := h.flight(r.ID)
	f.waiters = append(f.waiters, a)
	f.crashesTarget = a.call.crashesTarget
	if f.stream == nil {
		f.request = r
	}
	h.step(entry.Submit{Request: r})
}

// resume handles a caller that attaches with a stream token.
func (h *host) resume(a *attempt, id ident.RequestID, target string) {
	f := h.flight(id)
	f.waiters = append(f.waiters, a)
	switch {
	case f.status != nil:
		f.joinWaiting()
		a.settle(*f.status, f.tokens)
	case f.stream != nil:
		f.joinWaiting()
	default:
		h.attach(entry.Attach{ID: id, Target: target})
	}
}

// join makes callers of one id read the answer of another one: that of the first
// request with their idempotency key.
func (h *host) join(o entry.Join) {
	f := h.flight(o.Of)
	if o.Of != o.ID {
		from := h.flight(o.ID)
		f.waiters = append(f.waiters, from.waiters...)
		from.waiters = nil
	}
	f.joinWaiting()
}

// redirect redirects the callers to the entry that has the answer.
func (f *flight) redirect(o entry.SeeOther) {
	waiting := f.waiters
	f.waiters = nil
	for _, a := range waiting {
		f.host.world.after(callerDelay, func() { a.redirected(o) })
	}
}

// joinWaiting delivers the retained tokens and outcome to callers that join later.
func (f *flight) joinWaiting() {
	for _, a := range f.waiters {
		a.started(f)
		for index := a.call.next; index < f.tokens; index++ {
			a.token(index)
		}
	}
	if f.status != nil {
		f.settle(*f.status)
	}
}

// settle delivers the final outcome to all waiting callers.
func (f *flight) settle(status outcome.Status) {
	f.status = &status
	waiting := f.waiters
	f.waiters = nil
	for _, a := range waiting {
		a.settle(status, f.tokens)
	}
}

// removeWaiter removes a caller and reports CallerLeft to the core after the last one.
func (f *flight) removeWaiter(a *attempt) {
	f.waiters = slices.DeleteFunc(f.waiters, func(other *attempt) bool { return other == a })
	if len(f.waiters) == 0 && f.status == nil {
		f.host.input(entry.CallerLeft{ID: f.id})
	}
}

// stream is a connection from an entry to a target, for one request.
type stream struct {
	host   *host
	flight *flight
	target *target
	// attached streams follow a run that another entry dispatched. They are not
	// reported to the core.
	attached bool
	began    time.Time
	first    time.Time
	last     time.Time
	tokens   int
	cached   int
	reported time.Time
	closed   bool
}

func (h *host) dispatch(o entry.Dispatch) {
	w := h.world
	f := h.flight(o.ID)
	t := w.byName[o.Target]
	s := &stream{host: h, flight: f, target: t, began: w.now}
	f.stream = s
	if t == nil {
		w.after(targetDelay, func() { h.deliver(func() { s.end(message.ResultNotAdmitted, false) }) })
		return
	}
	r, crashes := f.request, f.crashesTarget
	w.after(targetDelay, func() { t.submit(s, &r, crashes) })
	w.at(o.Deadline, func() { h.deliver(s.expire) })
}

// expire cancels a run whose deadline has passed.
func (s *stream) expire() {
	if !s.closed {
		s.cancel()
	}
}

func (s *stream) cancel() {
	s.host.world.after(targetDelay, func() { s.target.cancel(s) })
}

func (h *host) cancelRun(o entry.CancelRun) {
	f := h.flight(o.ID)
	f.settle(o.Status)
	if f.stream != nil && !f.stream.closed {
		f.stream.cancel()
	}
}

func (h *host) attach(o entry.Attach) {
	w := h.world
	f := h.flight(o.ID)
	t := w.byName[o.Target]
	s := &stream{host: h, flight: f, target: t, attached: true, began: w.now, tokens: f.tokens}
	f.stream = s
	of := o.Of
	if of == "" {
		of = o.ID
	}
	if t == nil {
		s.lost()
		return
	}
	w.after(targetDelay, func() { t.attach(s, string(of)) })
}

// started handles the acceptance of the request by the target.
func (s *stream) started() {
	for _, a := range s.flight.waiters {
		a.started(s.flight)
	}
	if !s.attached {
		s.host.step(entry.RunStarted{ID: s.flight.id})
	}
}

// token forwards one token of the target to the callers.
func (s *stream) token(index, cached int) {
	now := s.host.world.now
	if s.closed || index != s.tokens {
		return
	}
	if index == 0 {
		s.cached = cached
	}
	if s.first.IsZero() {
		s.first = now
	}
	s.last = now
	s.tokens++
	s.flight.tokens = s.tokens
	for _, a := range s.flight.waiters {
		a.token(index)
	}
	if !s.attached && now.Sub(s.reported) >= progressEvery {
		s.reported = now
		s.host.step(entry.RunProgress{ID: s.flight.id, Tokens: s.tokens})
	}
}

// end closes the stream. A complete answer has its own outcome; in all other
// cases the core decides on the outcome.
func (s *stream) end(result message.Result, wrote bool) {
	if s.closed {
		return
	}
	s.closed = true
	f := s.flight
	if f.stream == s && (result == message.ResultNotAdmitted || result == message.ResultLeaving) {
		f.stream = nil
	}
	if result == message.ResultComplete {
		f.settle(outcome.Complete())
	}
	if s.attached {
		if result != message.ResultComplete {
			f.settle(outcome.Partial(outcome.ReasonTargetFailed, ""))
		}
		return
	}
	s.host.step(entry.RunEnded{ID: f.id, Result: result, Sample: s.sample(), Wrote: wrote})
}

// lost handles a target that does not have the stream to attach to.
func (s *stream) lost() {
	s.closed = true
	s.flight.stream = nil
	s.flight.settle(outcome.Undetermined(outcome.ReasonAnswerNotHeld, ""))
}

func (s *stream) sample() message.Sample {
	sample := message.Sample{PromptTokens: s.flight.request.PromptTokens, CachedTokens: s.cached, Tokens: s.tokens}
	if s.first.IsZero() {
		return sample
	}
	sample.FirstToken = s.first.Sub(s.began)
	if s.tokens > 1 {
		sample.StepTime = s.last.Sub(s.first) / time.Duration(s.tokens-1)
	}
	return sample
}
