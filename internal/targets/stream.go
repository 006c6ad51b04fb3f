package targets

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/flight"
)

var (
	doneMark  = []byte("[DONE]")
	usageMark = []byte(`"usage":{`)
)

// streamState is how far a run's stream has come.
type streamState struct {
	// id is the request id under which the engine knows the stream.
	id ident.RequestID
	// nextID is the engine's number of the next token; unnumbered counts events
	// without a number. Their sum is the number of the next chunk.
	nextID     int64
	unnumbered int
	usage      *usage

	first, last time.Duration // since the run began
	events      int
	progressAt  time.Duration
}

// usage is the engine's account at the end of an answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// forget starts the count anew, for a stream that is read from its beginning.
func (s *streamState) forget() { s.nextID, s.unnumbered = 0, 0 }

// sample is what the run showed of its target's speed.
func (s *streamState) sample(f *flight.Flight) message.Sample {
	sample := message.Sample{PromptTokens: f.PromptTokens, FirstToken: s.first, Tokens: s.events}
	if s.events > 1 {
		sample.StepTime = (s.last - s.first) / time.Duration(s.events-1)
	}
	if s.usage != nil {
		sample.Tokens = s.usage.CompletionTokens
		sample.CachedTokens = s.usage.Details.CachedTokens
		if s.usage.PromptTokens > 0 {
			sample.PromptTokens = s.usage.PromptTokens
		}
	}
	return sample
}

// noteUsage reads the account that the last event, or a whole answer, carries.
func (s *streamState) noteUsage(data []byte) {
	var answer struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(data, &answer) == nil && answer.Usage != nil {
		s.usage = answer.Usage
	}
}

func (s *streamState) noteWhole(body []byte) {
	if bytes.Contains(body, []byte(`"usage"`)) {
		s.noteUsage(body)
	}
}

// readEvents passes a stream's events on until its end mark. It returns nil
// only after [DONE].
func (r *run) readEvents(resp *fasthttp.Response) error {
	defer func() { _ = resp.CloseBodyStream() }()
	var src io.Reader = resp.BodyStream()
	if src == nil {
		src = bytes.NewReader(resp.Body())
	}
	events := newEventReader(src)
	for {
		ev, err := events.next()
		if err != nil {
			return fmt.Errorf("%w: %w", errBroken, err)
		}
		if bytes.Equal(ev.data, doneMark) {
			r.complete()
			drain(src)
			return nil
		}
		if err := r.take(ev); err != nil {
			return err
		}
	}
}

// drain reads what follows an end mark, so that the connection can be used
// again; the caller has its answer already.
func drain(src io.Reader) {
	_, _ = io.CopyN(io.Discard, src, maxDrain)
}

// maxDrain is the most that is read after an end mark before the connection is
// given up.
const maxDrain = 4 << 10

// take passes one event on, and drops it when it came before.
func (r *run) take(ev event) error {
	s := &r.stream
	last := bytes.Contains(ev.data, usageMark)
	if ev.id < 0 {
		// The account at the end has no number at some engines; after a
		// resumption it would come twice.
		if last && s.usage != nil {
			return nil
		}
		if err := r.append(int(s.nextID)+s.unnumbered, ev.data); err != nil {
			return err
		}
		s.unnumbered++
	} else {
		if ev.id < s.nextID {
			return nil
		}
		if ev.id > s.nextID {
			return fmt.Errorf("%w: token %d came in place of %d", errBroken, ev.id, s.nextID)
		}
		if err := r.append(int(ev.id)+s.unnumbered, ev.data); err != nil {
			return err
		}
		s.nextID++
	}
	if last {
		s.noteUsage(ev.data)
	}
	r.noteToken()
	return nil
}

func (r *run) append(index int, data []byte) error {
	if r.f.Answer.Append(index, data) == flight.Refused {
		return errOver
	}
	return nil
}

// noteToken keeps the times of the run and tells the core now and then.
func (r *run) noteToken() {
	s := &r.stream
	age := r.t.cfg.Now().Sub(r.began)
	s.events++
	s.last = age
	if s.events == 1 {
		s.first = age
	}
	if r.attached || s.events > 1 && age-s.progressAt < r.t.cfg.ProgressEvery {
		return
	}
	s.progressAt = age
	r.t.outbox.put(entry.RunProgress{ID: r.f.ID, Tokens: s.events})
}

// resume asks for a stream that broke off from its next token on, until its
// end. It gives up when the target is gone, does not hold the stream, or brings
// no new token several times in a row.
func (r *run) resume(cause error) error {
	for vain := 0; vain < r.t.cfg.ResumeAttempts; vain++ {
		if r.over() {
			return errOver
		}
		if vain > 0 {
			time.Sleep(time.Duration(vain) * r.t.cfg.ResumePause)
		}
		before := r.stream.events
		err := r.resumeOnce()
		if err == nil || errors.Is(err, errOver) {
			return err
		}
		if nothingSent(err) && !errors.Is(err, errStale) {
			return fmt.Errorf("%w, and the target can't be reached: %w", cause, err)
		}
		// A dispatch that was cut off early, or is on its way from another
		// entry, may reach the engine a moment after this question.
		if errors.Is(err, errNotHeld) && r.stream.events > 0 {
			return fmt.Errorf("%w: %w", cause, err)
		}
		if r.stream.events > before {
			vain = -1
		}
		cause = err
	}
	return cause
}

// over reports whether nobody needs the rest of the answer.
func (r *run) over() bool {
	if r.cancelled.Load() || r.f.Answer.Ended() != nil {
		return true
	}
	return !r.deadline.IsZero() && !r.t.cfg.Now().Before(r.deadline)
}

func (r *run) resumeOnce() error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + r.address + resumePath(string(r.stream.id), r.stream.nextID))
	resp.StreamBody = true
	if err := r.send(req, resp); err != nil {
		return err
	}
	if resp.StatusCode() == fasthttp.StatusNotFound {
		_ = resp.CloseBodyStream()
		return errNotHeld
	}
	if resp.StatusCode() != fasthttp.StatusOK || !isEventStream(resp) {
		_ = resp.CloseBodyStream()
		return fmt.Errorf("%w: the resumption was answered with status %d", errBroken, resp.StatusCode())
	}
	r.answered.Store(true)
	r.f.Answer.Begin(flight.Head{Status: fasthttp.StatusOK, ContentType: eventStreamType, Events: true})
	return r.readEvents(resp)
}

// attach is the whole life of a run that another entry dispatched. The stream
// is read from its beginning, so that count and checksum cover all of it.
func (r *run) attach() {
	err := r.resume(errBroken)
	status, result := outcome.Complete(), message.ResultComplete
	if err != nil {
		status, result = r.lostStatus(err), message.ResultBroken
	}
	r.f.Finish(status)
	r.onEnd(result)
}

// lostStatus says what is known of a request whose stream can't be followed.
func (r *run) lostStatus(err error) outcome.Status {
	if r.stream.events > 0 {
		return outcome.Partial(outcome.ReasonTargetFailed, "the target cut the answer")
	}
	if errors.Is(err, errNotHeld) {
		return outcome.Undetermined(outcome.ReasonAnswerNotHeld, "the target does not hold the stream")
	}
	return outcome.Undetermined(outcome.ReasonTargetFailed, "the target can't be reached")
}
