package entry

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// Input is something that happened. Each is delivered once, in order, by the
// entry's core loop.
type Input interface{ input() }

// Output is something to be done. Outputs of one step are carried out in order.
type Output interface{ output() }

// Submit brings a request from a caller. If its id is known here the request
// joins what is there; if its id names another owner, that owner is asked.
type Submit struct {
	Request request.Request
}

// CallerGone says that nobody waits for the request's answer any more.
type CallerGone struct{ ID ident.RequestID }

// PeerUp says that a link to a peer stands, and who it is.
type PeerUp struct{ Member message.Member }

// PeerDown says that a link broke. Refused: the peer's address refuses
// connections or answers as another incarnation, so that process is gone.
type PeerDown struct {
	Incarnation ident.Incarnation
	Refused     bool
}

// FromPeer brings a message over a peer link.
type FromPeer struct {
	From    ident.Incarnation
	Message message.Message
}

// RunStarted: the target took the request.
type RunStarted struct{ ID ident.RequestID }

// RunProgress reports tokens received so far; sent at most every 100 ms a run.
type RunProgress struct {
	ID     ident.RequestID
	Tokens int
}

// RunEnded: the run at the target is over.
type RunEnded struct {
	ID     ident.RequestID
	Result message.Result
	Sample message.Sample
	// Wrote: part of the request may have reached the target.
	Wrote bool
}

// TargetState is a finding of a target's readiness probe or load report.
type TargetState struct {
	Target string
	// Reachable is false after the probe failed; Leaving when it says so.
	Reachable bool
	Leaving   bool
	// Load fields are stale by the engine's lag.
	Running, Waiting int
	CachedTokens     int
	// Model, Version and Adapters say what the target holds now.
	Model    string
	Version  string
	Adapters []string
}

// LogRecord brings one record of a followed stream, in offset order.
type LogRecord struct {
	Stream record.Stream
	Offset int64
	// Age is how long ago the log took it, by the log's clock.
	Age  time.Duration
	Data []byte
}

// LogCaughtUp: every record of the stream below Offset, as of a read begun at
// the instant Since, has been delivered.
type LogCaughtUp struct {
	Stream record.Stream
	Offset int64
	Since  time.Time
}

// LogAppended answers an Append output.
type LogAppended struct {
	Tag    uint64
	Offset int64
	// Failed: the log said no. Neither Failed nor an offset ≥ 0: not known.
	Failed bool
}

// LogDown says that a stream cannot be read; the next LogCaughtUp of the
// stream ends the outage.
type LogDown struct{ Stream record.Stream }

// InstanceList is the platform's list, which lags.
type InstanceList struct {
	Instances []Instance
}

// Instance is one row of the platform's list.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Role is "entry" or "target".
	Role    string `json:"role"`
	Leaving bool   `json:"leaving"`
}

// OrderDone answers an Order output.
type OrderDone struct {
	Target string
	// Refused: the target holds a higher fencing number.
	Refused bool
	// Failed: not known whether it took effect.
	Failed bool
}

// Answering says how many answers have not left to their callers yet, as of
// now. A drain waits for them; edges that finish them after Drained need not tell.
type Answering struct{ Open int }

// DrainStart is an operator's or SIGTERM's wish to stop.
type DrainStart struct{}

// Tick lets time pass; delivered at least every 20 ms.
type Tick struct{}

func (Submit) input()       {}
func (CallerGone) input()   {}
func (PeerUp) input()       {}
func (PeerDown) input()     {}
func (FromPeer) input()     {}
func (RunStarted) input()   {}
func (RunProgress) input()  {}
func (RunEnded) input()     {}
func (TargetState) input()  {}
func (LogRecord) input()    {}
func (LogCaughtUp) input()  {}
func (LogAppended) input()  {}
func (LogDown) input()      {}
func (InstanceList) input() {}
func (OrderDone) input()    {}
func (Answering) input()    {}
func (DrainStart) input()   {}
func (Tick) input()         {}

// Dispatch sends the request to a target: the one point at which a request
// may begin to run. It is put out at most once for an id, unless the former
// attempt ended with ResultNotAdmitted or ResultLeaving.
type Dispatch struct {
	ID      ident.RequestID
	Target  string
	Address string
	Kind    request.Kind
	// Deadline ends the run; past it the stream is cancelled.
	Deadline time.Time
	// NotAfter voids the dispatch: a process that was paused between the core's
	// decision and the first byte must answer RunEnded{ResultNotAdmitted}.
	NotAfter time.Time
}

// CancelRun cancels the run at its target and gives its caller Status.
type CancelRun struct {
	ID     ident.RequestID
	Status outcome.Status
}

// Settle gives the caller its final status where no run's answer carries it.
type Settle struct {
	ID     ident.RequestID
	Status outcome.Status
}

// Join attaches a caller's request ID to the flight Of at this entry: the same
// id sent again, or another id with the same idempotency key.
type Join struct {
	ID ident.RequestID
	Of ident.RequestID
}

// SeeOther sends the caller to the entry that holds the answer of Of, which may
// still be coming (HTTP 303 to /v1/streams/{token} at Address).
type SeeOther struct {
	ID      ident.RequestID
	Of      ident.RequestID
	Target  string
	Address string
}

// Attach follows the stream Of, which another entry dispatched, at its target.
type Attach struct {
	ID      ident.RequestID
	Of      ident.RequestID
	Target  string
	Address string
}

// Send puts a message on the link to a peer; dropped if there is none.
type Send struct {
	To      ident.Incarnation
	Message message.Message
}

// Append writes a record to a stream; answered by LogAppended with the same Tag.
type Append struct {
	Tag    uint64
	Stream record.Stream
	Data   []byte
}

// Follow begins to read a stream from records no older than Back, and goes on
// with LogRecord and LogCaughtUp until Unfollow.
type Follow struct {
	Stream record.Stream
	Back   time.Duration
}

// Unfollow ends the reading of a stream.
type Unfollow struct{ Stream record.Stream }

// Order tells a target what to hold; answered by OrderDone.
type Order struct {
	Target   string
	Address  string
	Fencing  int64
	Model    string
	Version  string
	Adapters []string
}

// Drained says that nothing is in flight any more and the process may exit.
type Drained struct{}

func (Dispatch) output()  {}
func (CancelRun) output() {}
func (Settle) output()    {}
func (Join) output()      {}
func (SeeOther) output()  {}
func (Attach) output()    {}
func (Send) output()      {}
func (Append) output()    {}
func (Order) output()     {}
func (Publish) output()   {}
func (Follow) output()    {}
func (Unfollow) output()  {}
func (Decision) output()  {}
func (Drained) output()   {}
