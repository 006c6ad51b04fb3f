package entry

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// Input is an event. The core loop of the entry delivers each event once, in
// order.
type Input interface{ input() }

// Output is an action to carry out. The outputs of a step are carried out in
// order.
type Output interface{ output() }

// Submit delivers a request from a caller. If the entry knows the id, the
// request joins the existing one; if the id names another owner, that owner is
// queried.
type Submit struct {
	Request request.Request
}

// CallerLeft reports that the last caller waiting for the request has
// disconnected.
type CallerLeft struct{ ID ident.RequestID }

// PeerUp reports that a link to a peer is established, and the peer's identity.
type PeerUp struct{ Member message.Member }

// PeerDown reports that a link broke. Refused: the peer's address refuses
// connections or answers as another incarnation, so that process has ended.
type PeerDown struct {
	Incarnation ident.Incarnation
	Refused     bool
}

// FromPeer delivers a message from a peer link.
type FromPeer struct {
	From    ident.Incarnation
	Message message.Message
}

// RunStarted reports that the target accepted the request.
type RunStarted struct{ ID ident.RequestID }

// RunProgress reports the tokens received so far, at most every 100 ms per run.
type RunProgress struct {
	ID     ident.RequestID
	Tokens int
}

// RunEnded reports the end of a run at its target.
type RunEnded struct {
	ID     ident.RequestID
	Result message.Result
	Sample message.Sample
	// Wrote is true if part of the request may have reached the target.
	Wrote bool
}

// TargetState is the result of a target's readiness probe or load report.
type TargetState struct {
	Target string
	// Reachable is false after a failed probe. Leaving is true if the target
	// reports that it is leaving.
	Reachable bool
	Leaving   bool
	// The load fields lag by the engine's reporting delay.
	Running, Waiting int
	CachedTokens     int
	// Model, Version and Adapters describe what the target currently holds.
	Model    string
	Version  string
	Adapters []string
}

// LogRecord delivers one record of a followed stream, in offset order.
type LogRecord struct {
	Stream record.Stream
	Offset int64
	// Age is the time since the log stored the record, by the log's clock.
	Age  time.Duration
	Data []byte
}

// LogCaughtUp reports that every record of the stream below Offset has been
// delivered, as of a read that began at Since.
type LogCaughtUp struct {
	Stream record.Stream
	Offset int64
	Since  time.Time
}

// LogAppended answers an Append output.
type LogAppended struct {
	Tag    uint64
	Offset int64
	// Failed is true if the log rejected the record. Without Failed, an Offset
	// below 0 means that the outcome is unknown.
	Failed bool
}

// LogDown reports that a stream cannot be read. The next LogCaughtUp of the
// stream ends the outage.
type LogDown struct{ Stream record.Stream }

// InstanceList is the platform's list of instances, which lags.
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
	// Refused is true if the target holds a higher fencing number.
	Refused bool
	// Failed is true if it is unknown whether the order took effect.
	Failed bool
}

// OpenAnswers reports the number of answers that have not been fully sent to
// their callers. A drain waits for them. After Drained the edges need not
// report it any more.
type OpenAnswers struct{ Open int }

// DrainStart requests a planned stop, from an operator or by SIGTERM.
type DrainStart struct{}

// Tick advances the time. It is delivered at least every 20 ms.
type Tick struct{}

func (Submit) input()       {}
func (CallerLeft) input()   {}
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
func (OpenAnswers) input()  {}
func (DrainStart) input()   {}
func (Tick) input()         {}

// Dispatch sends the request to a target. It is the only output after which a
// request may start to run. It is emitted at most once per id, unless the
// previous attempt ended with ResultNotAdmitted or ResultLeaving.
type Dispatch struct {
	ID      ident.RequestID
	Target  string
	Address string
	Kind    request.Kind
	// Deadline ends the run: the stream is cancelled then.
	Deadline time.Time
	// NotAfter is when the dispatch expires. A process that was paused between
	// the core's decision and the first byte must answer
	// RunEnded{ResultNotAdmitted}.
	NotAfter time.Time
}

// CancelRun cancels the run at its target and gives Status to the caller.
type CancelRun struct {
	ID     ident.RequestID
	Status outcome.Status
}

// Settle gives the caller the final status where no run's answer carries it.
type Settle struct {
	ID     ident.RequestID
	Status outcome.Status
}

// Join attaches the caller of request ID to the flight Of at this entry: the
// same id, resent, or another id with the same idempotency key.
type Join struct {
	ID ident.RequestID
	Of ident.RequestID
}

// SeeOther redirects the caller to the entry that holds the answer of Of, which
// may still be arriving (HTTP 303 to /v1/streams/{token} at Address).
type SeeOther struct {
	ID      ident.RequestID
	Of      ident.RequestID
	Target  string
	Address string
}

// Attach follows the stream of Of, which another entry dispatched, at its
// target.
type Attach struct {
	ID      ident.RequestID
	Of      ident.RequestID
	Target  string
	Address string
}

// Send sends a message over the link to a peer. It is dropped if there is no
// link.
type Send struct {
	To      ident.Incarnation
	Message message.Message
}

// Append writes a record to a stream. LogAppended with the same Tag answers it.
type Append struct {
	Tag    uint64
	Stream record.Stream
	Data   []byte
}

// Follow starts reading a stream from records no older than Back. LogRecord and
// LogCaughtUp follow until Unfollow.
type Follow struct {
	Stream record.Stream
	Back   time.Duration
}

// Unfollow stops reading a stream.
type Unfollow struct{ Stream record.Stream }

// Order instructs a target which model to hold. OrderDone answers it.
type Order struct {
	Target   string
	Address  string
	Fencing  int64
	Model    string
	Version  string
	Adapters []string
}

// Drained reports that nothing is in flight and the process may exit.
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
