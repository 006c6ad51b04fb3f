// Package inflight holds the requests in flight at the edges of one entry: the
// request to send to a target, and the answer as it arrives, for any number of
// readers. The core refers to a request by its id only; the bytes are held here.
package inflight

import (
	"sync"
	"sync/atomic"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// Flight is one request in flight. The exported fields are set before it is put
// into a Registry and never change.
type Flight struct {
	ID           ident.RequestID
	Organisation string
	Fingerprint  request.Fingerprint
	Kind         request.Kind
	// Method and Path (with query) are those of the target's interface.
	Method, Path string
	// Header is forwarded to the target, in addition to the fields that the edge sets.
	Header []Field
	// Stream is set if the caller asked for server-sent events.
	Stream bool
	// PromptTokens is the estimate that was submitted to the core.
	PromptTokens int
	// MaxAnswer bounds a complete answer, in bytes.
	MaxAnswer int

	// Answer is set by New.
	Answer *Buffer

	body      atomic.Pointer[[]byte]
	target    atomic.Pointer[Target]
	readers   atomic.Int32
	following atomic.Bool

	mu       sync.Mutex
	submits  int
	joins    int
	done     bool
	registry *Registry
	ended    time.Time
}

// Finish closes the flight's answer with its final status; its registry keeps it
// for re-reading for a while. An answer has one end: only the first call
// counts, and it reports whether this was the first.
func (f *Flight) Finish(status outcome.Status) bool {
	return f.close(End{Status: status})
}

func (f *Flight) close(end End) bool {
	if !f.Answer.close(end) {
		return false
	}
	f.body.Store(nil)
	f.mu.Lock()
	registry := f.registry
	f.mu.Unlock()
	if registry != nil {
		registry.retain(f)
	}
	return true
}

// InDoubt reports whether the flight ended with an unknown outcome; the core may be
// able to determine the outcome by now.
//
// After the owner of an id could not be reached, the caller received "unknown" and
// may resend the id. If the flight were kept, the caller would receive the same
// "unknown" for as long as answers are retained, and the owner would never be queried
// again. Put therefore replaces such a flight, so that the core decides again. The
// core's table of ids prevents a second run, and repeats the outcome of an id that
// this entry owns.
func (f *Flight) InDoubt() bool {
	end := f.Answer.Ended()
	return end != nil && end.Referral == nil && end.Status.Outcome == outcome.Unknown
}

// Target is where a request was dispatched.
type Target struct {
	Name, Address string
	// Stream is the request id under which the target holds the stream.
	Stream ident.RequestID
}

// New initialises a flight whose answer may hold up to answerBytes for re-reading.
func New(f *Flight, body []byte, answerBytes int) *Flight {
	f.Answer = newBuffer(answerBytes)
	f.body.Store(&body)
	return f
}

// Body returns the request's body; nil once the flight has ended.
func (f *Flight) Body() []byte {
	if body := f.body.Load(); body != nil {
		return *body
	}
	return nil
}

// SetTarget records where the request was dispatched, and under which id.
func (f *Flight) SetTarget(t Target) { f.target.Store(&t) }

// Target returns where the request was last dispatched; false if it was not.
func (f *Flight) Target() (Target, bool) {
	if t := f.target.Load(); t != nil {
		return *t, true
	}
	return Target{}, false
}

// Enter adds a reader.
func (f *Flight) Enter() { f.readers.Add(1) }

// Leave removes a reader and reports whether an answer that is still open has no
// reader left.
func (f *Flight) Leave() bool {
	return f.readers.Add(-1) == 0 && f.Answer.Ended() == nil
}

// Follow reports whether the calling goroutine must follow the stream at its
// target; it returns false if another one does already.
func (f *Flight) Follow() bool { return f.following.CompareAndSwap(false, true) }

// AddSubmission counts a submission to the core; it is called before the submission.
func (f *Flight) AddSubmission() {
	f.mu.Lock()
	f.submits++
	f.mu.Unlock()
}

// SubmitFailed reverts AddSubmission for a submission that the core did not accept.
// It reports whether the core has accepted no submission of this flight at all.
func (f *Flight) SubmitFailed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.submits--
	return f.submits == 0
}

// countJoin counts a decision of the core to join the existing run of the same id,
// and reports whether every submission of this flight got that decision. If so, the
// run belongs to an earlier flight, whose answer is no longer held.
func (f *Flight) countJoin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.joins++
	return f.joins >= f.submits
}

// answerNotHeld returns the status of a request that ran under this id and whose
// answer has been dropped since.
func answerNotHeld() outcome.Status {
	return outcome.Undetermined(outcome.ReasonAnswerNotHeld, "the request ran here earlier; its answer is no longer held")
}
