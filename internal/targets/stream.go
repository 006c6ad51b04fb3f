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
	"sycamoretrail/internal/eventstream"
	"sycamoretrail/internal/inflight"
)

var (
	doneMarker  = []byte("[DONE]")
	usageMarker = []byte(`"usage":{`)
)

// streamState is the progress of a run's stream.
type streamState struct {
	// id is the request id under which the engine holds the stream.
	id ident.RequestID
	// nextID is the engine's number of the next token. unnumbered counts events without
	// a number. Their sum is the index of the next chunk.
	nextID     int64
	unnumbered int
	usage      *usage

	first, last time.Duration // since the run began
	events      int
	progressAt  time.Duration
}

// usage is the token usage that an engine reports at the end of an answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// restart resets the position, so that the stream is read from its beginning.
func (s *streamState) restart() { s.nextID, s.unnumbered = 0, 0 }

// sample returns the speed of the target as measured on the run.
func (s *streamState) sample(f *inflight.Flight) message.Sample {
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

// parseUsage reads the token usage from the last event or from a complete answer.
func (s *streamState) parseUsage(data []byte) {
	var answer struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(data, &answer) == nil && answer.Usage != nil {
		s.usage = answer.Usage
	}
}

func (s *streamState) noteUsageOf(body []byte) {
	if bytes.Contains(body, []byte(`"usage"`)) {
		s.parseUsage(body)
	}
}

// readEvents passes on a stream's events. It returns nil only after the end marker,
// [DONE].
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
			discard(resp)
			return fmt.Errorf("%w: %w", errBroken, err)
		}
		if bytes.Equal(ev.data, doneMarker) {
			r.complete()
			drain(src)
			return nil
		}
		if err := r.passOn(ev); err != nil {
			return err
		}
	}
}

// drain reads the rest of a stream after its end marker, so that the connection can be
// reused. The caller already has its answer.
func drain(src io.Reader) {
	_, _ = io.CopyN(io.Discard, src, maxDrain)
}

// maxDrain bounds the bytes that are read after an end marker to reuse the connection.
const maxDrain = 4 << 10

// passOn passes on one event, or drops it if it has been passed on before.
func (r *run) passOn(ev event) error {
	s := &r.stream
	last := bytes.Contains(ev.data, usageMarker)
	if ev.id < 0 {
		// Some engines send the usage in an event without a number. After a
		// resumption it would be passed on twice.
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
		s.parseUsage(ev.data)
	}
	r.noteToken()
	return nil
}

func (r *run) append(index int, data []byte) error {
	if r.f.Answer.Append(index, data) == inflight.Refused {
		return errEnded
	}
	return nil
}

// noteToken records the times of the run and reports progress to the core at intervals.
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

// resume requests a truncated stream from its next token on, until the end of the stream.
// It gives up if the target can't be reached, does not hold the stream, or sends no new
// token several times in a row.
func (r *run) resume(cause error) error {
	for withoutProgress := 0; withoutProgress < r.t.cfg.ResumeAttempts; withoutProgress++ {
		if r.abandoned() {
			return errEnded
		}
		if withoutProgress > 0 {
			time.Sleep(time.Duration(withoutProgress) * r.t.cfg.ResumePause)
		}
		before := r.stream.events
		err := r.resumeOnce()
		if err == nil || errors.Is(err, errEnded) {
			return err
		}
		if nothingSent(err) && !errors.Is(err, errStale) {
			return fmt.Errorf("%w, and the target can't be reached: %w", cause, err)
		}
		// Without any token yet, a dispatch whose connection broke, or one from another
		// entry, may reach the engine a moment after this request. So it is tried again.
		if errors.Is(err, errNotHeld) && r.stream.events > 0 {
			return fmt.Errorf("%w: %w", cause, err)
		}
		if r.stream.events > before {
			withoutProgress = -1
		}
		cause = err
	}
	return cause
}

// abandoned reports whether the rest of the answer is no longer needed: the request has
// been cancelled, has ended or is past its deadline.
func (r *run) abandoned() bool {
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
	if !belongsTo(resp, string(r.stream.id)) {
		discard(resp)
		return errForeign
	}
	if resp.StatusCode() == fasthttp.StatusNotFound {
		discard(resp)
		return errNotHeld
	}
	if resp.StatusCode() != fasthttp.StatusOK || !isEventStream(resp) {
		discard(resp)
		return fmt.Errorf("%w: the resumption was answered with status %d", errBroken, resp.StatusCode())
	}
	r.answered.Store(true)
	r.f.Answer.Begin(inflight.Head{Status: fasthttp.StatusOK, ContentType: eventstream.ContentType, Events: true})
	return r.readEvents(resp)
}

// attach follows a run that another entry dispatched. The stream is read from its
// beginning, so that the chunk count and the checksum cover all of it.
func (r *run) attach() {
	err := r.resume(errBroken)
	status, result := outcome.Complete(), message.ResultComplete
	if err != nil {
		status, result = r.lostStatus(err), message.ResultAborted
	}
	r.f.Finish(status)
	r.onEnd(result)
}

// lostStatus returns the final outcome of a request whose stream can't be followed.
func (r *run) lostStatus(err error) outcome.Status {
	if r.stream.events > 0 {
		return outcome.Partial(outcome.ReasonTargetFailed, "the target cut the answer")
	}
	if errors.Is(err, errNotHeld) {
		return outcome.Undetermined(outcome.ReasonAnswerNotHeld, "the target does not hold the stream")
	}
	return outcome.Undetermined(outcome.ReasonTargetFailed, "the target can't be reached")
}
