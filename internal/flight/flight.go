// Package flight holds the requests in flight at the edges of one entry: what
// is to be sent to a target, and the answer as it arrives, for any number of
// readers. The core knows a request only by its id; the bytes live here.
package flight

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
	// Header is passed on to the target, besides what the edge sets itself.
	Header []Field
	// Stream: the caller asked for server-sent events.
	Stream bool
	// PromptTokens is the estimate that the core was given.
	PromptTokens int
	// MaxAnswer bounds a whole answer, in bytes.
	MaxAnswer int

	// Answer is set by New.
	Answer *Buffer

	body      atomic.Pointer[[]byte]
	target    atomic.Pointer[Target]
	readers   atomic.Int32
	following atomic.Bool

	mu      sync.Mutex
	submits int
	joins   int
	done    bool
	home    *Registry
	ended   time.Time
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
	home := f.home
	f.mu.Unlock()
	if home != nil {
		home.retain(f)
	}
	return true
}

// InDoubt reports whether the flight ended without a word on its request, which
// the core may know by now.
//
// Failure: the entry that owns an id could not be reached, and its caller, told
// "unknown", sends the id again. Symptom, were the flight kept: the old "unknown"
// for as long as answers are retained, and the owner is never asked again. Such
// a flight is put aside, so that the core decides anew; its table of ids lets
// nothing run twice, and repeats its word on an id of its own.
func (f *Flight) InDoubt() bool {
	end := f.Answer.Ended()
	return end != nil && end.See == nil && end.Status.Outcome == outcome.Unknown
}

// Target is where a request was dispatched.
type Target struct {
	Name, Address string
	// Stream is the request id under which the target knows the stream.
	Stream ident.RequestID
}

// New readies a flight whose answer may hold up to answerBytes for re-reading.
func New(f *Flight, body []byte, answerBytes int) *Flight {
	f.Answer = newBuffer(answerBytes)
	f.body.Store(&body)
	return f
}

// Body is the request's body; nil once the flight has ended.
func (f *Flight) Body() []byte {
	if body := f.body.Load(); body != nil {
		return *body
	}
	return nil
}

// SetTarget notes where the request was dispatched, and under which id.
func (f *Flight) SetTarget(t Target) { f.target.Store(&t) }

// Target is where it was dispatched last; false before that.
func (f *Flight) Target() (Target, bool) {
	if t := f.target.Load(); t != nil {
		return *t, true
	}
	return Target{}, false
}

// Enter counts a reader in.
func (f *Flight) Enter() { f.readers.Add(1) }

// Leave counts a reader out and reports whether nobody is left to read an
// answer that is still open.
func (f *Flight) Leave() bool {
	return f.readers.Add(-1) == 0 && f.Answer.Ended() == nil
}

// Follow reports whether the caller is the one to follow the stream at its
// target; false when somebody does already.
func (f *Flight) Follow() bool { return f.following.CompareAndSwap(false, true) }

// Submitting counts a submission to the core; called before it is made.
func (f *Flight) Submitting() {
	f.mu.Lock()
	f.submits++
	f.mu.Unlock()
}

// SubmitFailed takes back a Submitting whose submission the core did not get.
// It reports whether the core was given no submission at all.
func (f *Flight) SubmitFailed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.submits--
	return f.submits == 0
}

// joined counts an answer "joins what stands here" of the core and reports
// whether every submission of this flight got that answer: then the run that it
// should join belongs to a former flight, whose answer is no longer held.
func (f *Flight) joined() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.joins++
	return f.joins >= f.submits
}

// noAnswer is the status of a request that ran under this id when its answer
// has been dropped since.
func noAnswer() outcome.Status {
	return outcome.Undetermined(outcome.ReasonAnswerNotHeld, "the request ran here earlier; its answer is no longer held")
}
