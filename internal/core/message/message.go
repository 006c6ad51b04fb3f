// Package message defines the messages of the peer protocol between entries.
// Times are remaining durations, never clock readings, because the clocks of
// instances differ.
package message

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// Version is the version of the peer protocol. The hello rejects any other.
const Version = 1

// Message is implemented by the message types of this package.
type Message interface{ message() }

// State is the lifecycle state of an entry.
type State uint8

const (
	Starting State = iota
	Ready
	Draining
	Stopped
)

// String returns the state's name for status pages and logs.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	}
	return "stopped"
}

// Member describes an entry process to its peers.
type Member struct {
	Name        string            `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	Zone        string            `cbor:"3,keyasint"`
	// PeerAddress accepts connections of peers, CallerAddress those of callers.
	PeerAddress   string `cbor:"4,keyasint"`
	CallerAddress string `cbor:"5,keyasint"`
}

// Heartbeat announces that its sender is alive, and reports its state to peers.
type Heartbeat struct {
	Seq   uint64 `cbor:"1,keyasint"`
	State State  `cbor:"2,keyasint"`
	// ConfigVersion is the log offset of the document in force at the sender.
	ConfigVersion int64 `cbor:"3,keyasint"`
	// InFlight is the number of requests that the sender owns and has not settled.
	InFlight int `cbor:"4,keyasint"`
	// Digests describe the targets that the sender schedules.
	Digests []Digest `cbor:"5,keyasint,omitempty"`
	// Echo is the Seq of the last heartbeat received from the addressee, so
	// that both ends detect a link that is broken in one direction.
	Echo uint64 `cbor:"6,keyasint,omitempty"`
}

// Digest is the state of one target according to its scheduler.
type Digest struct {
	Target string `cbor:"1,keyasint"`
	// Limit is the current maximum of requests in flight at the target, InFlight
	// their number.
	Limit    int `cbor:"2,keyasint"`
	InFlight int `cbor:"3,keyasint"`
	Queued   int `cbor:"4,keyasint"`
	// QueuedPrefill is the number of prompt tokens granted and not yet computed.
	QueuedPrefill int `cbor:"5,keyasint"`
	// PrefillRate, in tokens per second, and StepTime are estimates from
	// observed runs.
	PrefillRate float64       `cbor:"6,keyasint"`
	StepTime    time.Duration `cbor:"7,keyasint"`
	// Available reports that the target is not leaving, not down and not
	// excluded as a straggler.
	Available bool `cbor:"8,keyasint"`
	// LowestTier is the least important tier in flight at the target, for
	// preemption.
	LowestTier request.Tier `cbor:"9,keyasint"`
	// Wait is the estimated wait for a slot of a request of the lowest tier.
	Wait time.Duration `cbor:"10,keyasint"`
	// WaitingPrefill is the number of prompt tokens of the offers that wait for
	// a slot. Short prompts overtake long ones, so only a long one counts them
	// as ahead of it.
	WaitingPrefill int `cbor:"11,keyasint,omitempty"`
	// Waits is the estimated wait for a slot by tier, the top tier first. Wait
	// applies to the tiers that it does not include.
	Waits []time.Duration `cbor:"12,keyasint,omitempty"`
}

// Offer requests a slot from a target's scheduler. The owner sends it again to
// refresh it.
type Offer struct {
	// Seq is the sequence number of the owner's offer. A grant repeats it, and
	// its validity counts from when the owner sent that offer.
	Seq          uint64              `cbor:"1,keyasint"`
	ID           ident.RequestID     `cbor:"2,keyasint"`
	Target       string              `cbor:"3,keyasint"`
	Organisation string              `cbor:"4,keyasint"`
	Tier         request.Tier        `cbor:"5,keyasint"`
	Kind         request.Kind        `cbor:"6,keyasint"`
	PromptTokens int                 `cbor:"7,keyasint"`
	MaxTokens    int                 `cbor:"8,keyasint"`
	Prefixes     []uint64            `cbor:"9,keyasint,omitempty"`
	Idempotent   bool                `cbor:"10,keyasint"`
	Fingerprint  request.Fingerprint `cbor:"11,keyasint"`
	// Remaining is the time to the deadline, FirstToken the time to the
	// deadline of the first token.
	Remaining  time.Duration `cbor:"12,keyasint"`
	FirstToken time.Duration `cbor:"13,keyasint,omitempty"`
	// Isolated marks a suspect, which may run only at a target with no other
	// suspect.
	Isolated bool `cbor:"14,keyasint,omitempty"`
	// Final reports that the owner has no other target to try, so a refusal is
	// the final outcome.
	Final bool `cbor:"15,keyasint,omitempty"`
}

// Withdraw withdraws an offer, or returns an unused grant.
type Withdraw struct {
	ID     ident.RequestID `cbor:"1,keyasint"`
	Target string          `cbor:"2,keyasint"`
}

// Grant assigns a slot. It expires when Valid has passed since the owner sent
// the offer with the sequence number OfferSeq.
type Grant struct {
	OfferSeq uint64          `cbor:"1,keyasint"`
	ID       ident.RequestID `cbor:"2,keyasint"`
	Target   string          `cbor:"3,keyasint"`
	Valid    time.Duration   `cbor:"4,keyasint"`
}

// Queued reports that an offer is queued, with the estimated wait.
type Queued struct {
	OfferSeq uint64          `cbor:"1,keyasint"`
	ID       ident.RequestID `cbor:"2,keyasint"`
	Target   string          `cbor:"3,keyasint"`
	Wait     time.Duration   `cbor:"4,keyasint"`
}

// Refuse rejects an offer at this target. PoolWide reports that no target of the
// pool can accept it according to the exchange of tier floors, so the owner
// refuses the request. A tier floor is the lowest tier that a pool admits.
type Refuse struct {
	ID         ident.RequestID `cbor:"1,keyasint"`
	Target     string          `cbor:"2,keyasint"`
	Reason     outcome.Reason  `cbor:"3,keyasint"`
	RetryAfter time.Duration   `cbor:"4,keyasint,omitempty"`
	PoolWide   bool            `cbor:"5,keyasint,omitempty"`
	// Alternative is a target whose scheduler reported that it can accept the
	// request.
	Alternative string `cbor:"6,keyasint,omitempty"`
}

// Preempt requests that the owner cancel a run in favour of a higher tier.
type Preempt struct {
	ID     ident.RequestID `cbor:"1,keyasint"`
	Target string          `cbor:"2,keyasint"`
}

// Done reports the end of a run to the target's scheduler, with what was
// measured.
type Done struct {
	ID     ident.RequestID `cbor:"1,keyasint"`
	Target string          `cbor:"2,keyasint"`
	Sample Sample          `cbor:"3,keyasint"`
	// Result is how the run ended. It contributes to the target's health.
	Result Result `cbor:"4,keyasint"`
	// Prefixes are the beginnings of the prompt, if the run was aborted; see quarantine.FingerprintsOf.
	Prefixes []request.Fingerprint `cbor:"5,keyasint,omitempty"`
}

// Result is how a run at a target ended.
type Result uint8

const (
	ResultComplete Result = iota
	// ResultNotAdmitted means that the target provably did not accept the request.
	ResultNotAdmitted
	// ResultLeaving means not admitted because the target is leaving.
	ResultLeaving
	// ResultAborted means that the target crashed or aborted the answer.
	ResultAborted
	// ResultCancelled means that the owner cancelled the run.
	ResultCancelled
	// ResultFailed means that the target is up and answered with an error of its
	// own.
	ResultFailed
)

// Sample is the measurement of a target's speed in one run.
type Sample struct {
	PromptTokens int           `cbor:"1,keyasint"`
	CachedTokens int           `cbor:"2,keyasint,omitempty"`
	FirstToken   time.Duration `cbor:"3,keyasint"`
	Tokens       int           `cbor:"4,keyasint"`
	// StepTime is the mean time between tokens.
	StepTime time.Duration `cbor:"5,keyasint"`
	// Batch is the scheduler's in-flight count at the grant, 0 if unknown.
	Batch int `cbor:"6,keyasint,omitempty"`
	// QueuedPrefill is the number of prompt tokens of other runs that were
	// granted and not yet computed at the time of the grant, according to the
	// scheduler; 0 if unknown.
	QueuedPrefill int `cbor:"7,keyasint,omitempty"`
}

// Running lists runs of an entry at targets that the addressee schedules: all
// of them (Full) after a takeover, otherwise one that has just
// been dispatched or has begun to answer.
type Running struct {
	Full bool  `cbor:"1,keyasint,omitempty"`
	Runs []Run `cbor:"2,keyasint"`
	// TakenOver lists the targets whose takeover caused a full report.
	TakenOver []string `cbor:"3,keyasint,omitempty"`
}

// Run is one run at a target.
type Run struct {
	Offer Offer `cbor:"1,keyasint"`
	// Tokens is the number of tokens generated so far. Started reports that the
	// first token was received.
	Tokens  int           `cbor:"2,keyasint"`
	Started bool          `cbor:"3,keyasint"`
	Age     time.Duration `cbor:"4,keyasint"`
}

// FloorRequest requests a promise from the schedulers of a pool: to serve nothing
// below Tier for the duration For. Need describes the request that found no slot.
type FloorRequest struct {
	Seq  uint64        `cbor:"1,keyasint"`
	Pool string        `cbor:"2,keyasint"`
	Tier request.Tier  `cbor:"3,keyasint"`
	For  time.Duration `cbor:"4,keyasint"`
	Need Offer         `cbor:"5,keyasint"`
	// Final reports that the requester will refuse as soon as the floor is in
	// force, so the addressee must preempt the lower runs that may be cancelled.
	Final bool `cbor:"6,keyasint,omitempty"`
	// MissesFirstToken reports that the request can still get a complete answer
	// and would miss only the deadline of its first token, so runs that have cost
	// far more are spared.
	MissesFirstToken bool `cbor:"7,keyasint,omitempty"`
}

// FloorReply answers a FloorRequest: either FreeTarget is a target that can accept
// the request now, or the sender promises the floor until Valid has passed since
// the requester sent the FloorRequest with the same Seq.
type FloorReply struct {
	Seq        uint64        `cbor:"1,keyasint"`
	Pool       string        `cbor:"2,keyasint"`
	Tier       request.Tier  `cbor:"3,keyasint"`
	FreeTarget string        `cbor:"4,keyasint,omitempty"`
	Valid      time.Duration `cbor:"5,keyasint,omitempty"`
	// LowerRuns reports that runs below Tier at the sender's targets cannot be
	// cancelled. The requester waits for their end as long as the deadline of
	// its request allows.
	LowerRuns bool `cbor:"6,keyasint,omitempty"`
	// PreemptionCost is the cost so far, in tokens and at least 1, of the run that
	// must be preempted to free a slot at FreeTarget; 0 if none must.
	PreemptionCost int `cbor:"7,keyasint,omitempty"`
	// Preempting reports that lower runs are being preempted there and end shortly.
	Preempting bool `cbor:"8,keyasint,omitempty"`
	// Spared reports that lower runs were spared there because of
	// MissesFirstToken.
	Spared bool `cbor:"9,keyasint,omitempty"`
}

// OwnerRequest requests the state of an id from its owner. An owner that has never
// received the id transfers it to the requester permanently.
type OwnerRequest struct {
	Seq uint64          `cbor:"1,keyasint"`
	ID  ident.RequestID `cbor:"2,keyasint"`
	// StateOnly marks a query for the state only: the requester never runs the
	// request, and the id is not transferred.
	StateOnly bool `cbor:"3,keyasint,omitempty"`
	// OwnerDeparted reports that the owner has departed. The scheduler of the
	// target of its run answers instead.
	OwnerDeparted bool `cbor:"5,keyasint,omitempty"`
	// Tag identifies the organisation that sent the id to the requester; see
	// owner.Tag.
	Tag uint32 `cbor:"4,keyasint,omitempty"`
}

// IDState is the state of an id at its owner.
type IDState uint8

const (
	// IDVoided means never received by the owner; only the requester may run it
	// from now on.
	IDVoided IDState = iota
	// IDWaiting means accepted and not dispatched yet.
	IDWaiting
	// IDRunning means dispatched. Target is where its stream can be attached to.
	IDRunning
	// IDFinished means that Status is final.
	IDFinished
	// IDTransferred means transferred earlier to Delegate, which must be queried
	// instead.
	IDTransferred
	// IDExpired means that the id is too old to be remembered; its outcome is
	// unknown.
	IDExpired
)

// String returns the state's name for operators.
func (s IDState) String() string {
	switch s {
	case IDVoided:
		return "voided"
	case IDWaiting:
		return "waiting"
	case IDRunning:
		return "running"
	case IDFinished:
		return "finished"
	case IDTransferred:
		return "elsewhere"
	}
	return "not remembered"
}

// OwnerReply answers an OwnerRequest.
type OwnerReply struct {
	Seq      uint64            `cbor:"1,keyasint"`
	ID       ident.RequestID   `cbor:"2,keyasint"`
	State    IDState           `cbor:"3,keyasint"`
	Status   outcome.Status    `cbor:"4,keyasint"`
	Delegate ident.Incarnation `cbor:"5,keyasint,omitempty"`
	// Target is where the request runs or ran, to attach to its stream.
	Target string `cbor:"6,keyasint,omitempty"`
}

// ClaimRequest requests a claim of a key for a request from the coordinator of the
// key's partition.
type ClaimRequest struct {
	Key request.KeyHash `cbor:"1,keyasint"`
	ID  ident.RequestID `cbor:"2,keyasint"`
}

// ClaimReply is the coordinator's decision, read back from the log.
type ClaimReply struct {
	Key request.KeyHash `cbor:"1,keyasint"`
	ID  ident.RequestID `cbor:"2,keyasint"`
	// Winner holds the key: ID itself, or the request that came first. It is
	// empty if there is no decision.
	Winner ident.RequestID `cbor:"3,keyasint,omitempty"`
	// Unread reports that there is no decision and that the coordinator could
	// not read the partition, so another request with the key may have run earlier.
	Unread bool `cbor:"4,keyasint,omitempty"`
}

// ClaimRelease requests from the coordinator the release of a claim whose
// request did not run.
type ClaimRelease struct {
	Key request.KeyHash `cbor:"1,keyasint"`
	ID  ident.RequestID `cbor:"2,keyasint"`
}

// Suspicion reports what is known of a request that may crash targets.
type Suspicion struct {
	Fingerprint request.Fingerprint `cbor:"1,keyasint"`
	// Crashes are the crashes of targets that were running the request, each as
	// the target with the id of the crash.
	Crashes     []string `cbor:"2,keyasint"`
	Quarantined bool     `cbor:"3,keyasint"`
	Cleared     bool     `cbor:"4,keyasint,omitempty"`
	// Prefixes, if there are any, are beginnings of prompts to which this applies in place of
	// Fingerprint, which is 0: one more crash, of Target, or an answer (Cleared).
	Prefixes []request.Fingerprint `cbor:"5,keyasint,omitempty"`
	Target   string                `cbor:"6,keyasint,omitempty"`
}

// DocumentRequest requests the document in force at a peer.
type DocumentRequest struct{}

// DocumentReply contains the accepted document and its version.
type DocumentReply struct {
	Version int64  `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint"`
}

func (Heartbeat) message()       {}
func (Offer) message()           {}
func (Withdraw) message()        {}
func (Grant) message()           {}
func (Queued) message()          {}
func (Refuse) message()          {}
func (Preempt) message()         {}
func (Done) message()            {}
func (Running) message()         {}
func (FloorRequest) message()    {}
func (FloorReply) message()      {}
func (OwnerRequest) message()    {}
func (OwnerReply) message()      {}
func (ClaimRequest) message()    {}
func (ClaimReply) message()      {}
func (ClaimRelease) message()    {}
func (Suspicion) message()       {}
func (DocumentRequest) message() {}
func (DocumentReply) message()   {}
