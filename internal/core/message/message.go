// Package message defines what entries say to each other. Times are durations
// that remain, never clock readings, since clocks of instances differ.
package message

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// Version is the version of the peer protocol; the hello refuses another.
const Version = 1

// Message is one of the types of this package.
type Message interface{ message() }

// State is the stage of life of an entry.
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
	// PeerAddress is where peers connect, CallerAddress where callers do.
	PeerAddress   string `cbor:"4,keyasint"`
	CallerAddress string `cbor:"5,keyasint"`
}

// Heartbeat says that its sender lives, and what peers must know of it.
type Heartbeat struct {
	Seq   uint64 `cbor:"1,keyasint"`
	State State  `cbor:"2,keyasint"`
	// ConfigVersion is the log offset of the document in force there.
	ConfigVersion int64 `cbor:"3,keyasint"`
	// InFlight is the number of requests that the entry owns and has not settled.
	InFlight int `cbor:"4,keyasint"`
	// Digests tell of the targets that the sender schedules.
	Digests []Digest `cbor:"5,keyasint,omitempty"`
	// Echo is the Seq of the last heartbeat received from the addressee, so
	// that a link cut in one direction is seen at both ends.
	Echo uint64 `cbor:"6,keyasint,omitempty"`
}

// Digest is the state of one target as its scheduler sees it.
type Digest struct {
	Target string `cbor:"1,keyasint"`
	// Limit is how many requests it may hold now, InFlight how many it holds.
	Limit    int `cbor:"2,keyasint"`
	InFlight int `cbor:"3,keyasint"`
	Queued   int `cbor:"4,keyasint"`
	// QueuedPrefill is prompt tokens granted and not yet computed.
	QueuedPrefill int `cbor:"5,keyasint"`
	// PrefillRate in tokens per second and StepTime are the learned estimates.
	PrefillRate float64       `cbor:"6,keyasint"`
	StepTime    time.Duration `cbor:"7,keyasint"`
	// Available: neither leaving, nor dead, nor excluded as a straggler.
	Available bool `cbor:"8,keyasint"`
	// LowestTier is the least important tier that it holds, for preemption.
	LowestTier request.Tier `cbor:"9,keyasint"`
	// Wait is the estimated wait for a place of a request of the lowest tier.
	Wait time.Duration `cbor:"10,keyasint"`
	// WaitingPrefill is prompt tokens of the offers that wait for a place; short
	// prompts pass long ones, so only a long one counts them as ahead.
	WaitingPrefill int `cbor:"11,keyasint,omitempty"`
	// Waits is the estimated wait for a place by tier, the top tier first; Wait
	// holds for tiers beyond.
	Waits []time.Duration `cbor:"12,keyasint,omitempty"`
}

// Offer asks a target's scheduler for a place. Sent again to refresh it.
type Offer struct {
	// Ask numbers the owner's offers; a grant quotes it, and its validity
	// counts from when the owner sent that ask.
	Ask          uint64              `cbor:"1,keyasint"`
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
	// Remaining is the time to the deadline, FirstToken to the first token's.
	Remaining  time.Duration `cbor:"12,keyasint"`
	FirstToken time.Duration `cbor:"13,keyasint,omitempty"`
	// Alone: a suspect; it may run only where no other suspect runs.
	Alone bool `cbor:"14,keyasint,omitempty"`
	// Final: the owner has no other target to try, so a refusal is the last word.
	Final bool `cbor:"15,keyasint,omitempty"`
}

// Withdraw takes an offer back, or gives an unused grant back.
type Withdraw struct {
	ID     ident.RequestID `cbor:"1,keyasint"`
	Target string          `cbor:"2,keyasint"`
}

// Grant gives a place. It is void once Valid has passed since the owner sent Ask.
type Grant struct {
	Ask    uint64          `cbor:"1,keyasint"`
	ID     ident.RequestID `cbor:"2,keyasint"`
	Target string          `cbor:"3,keyasint"`
	Valid  time.Duration   `cbor:"4,keyasint"`
}

// Queued says that an offer waits, and how long by estimate.
type Queued struct {
	Ask    uint64          `cbor:"1,keyasint"`
	ID     ident.RequestID `cbor:"2,keyasint"`
	Target string          `cbor:"3,keyasint"`
	Wait   time.Duration   `cbor:"4,keyasint"`
}

// Refuse turns an offer down at this target. Settled: no target of the pool
// can take it, by the floors' exchange; the owner refuses the request.
type Refuse struct {
	ID         ident.RequestID `cbor:"1,keyasint"`
	Target     string          `cbor:"2,keyasint"`
	Reason     outcome.Reason  `cbor:"3,keyasint"`
	RetryAfter time.Duration   `cbor:"4,keyasint,omitempty"`
	Settled    bool            `cbor:"5,keyasint,omitempty"`
	// Elsewhere names a target whose scheduler said that it can take it.
	Elsewhere string `cbor:"6,keyasint,omitempty"`
}

// Preempt tells an owner to cancel what it runs, for a higher tier's sake.
type Preempt struct {
	ID     ident.RequestID `cbor:"1,keyasint"`
	Target string          `cbor:"2,keyasint"`
}

// Done tells a scheduler that a run ended, and what was seen of it.
type Done struct {
	ID     ident.RequestID `cbor:"1,keyasint"`
	Target string          `cbor:"2,keyasint"`
	Sample Sample          `cbor:"3,keyasint"`
	// Result says how it ended, for the target's health.
	Result Result `cbor:"4,keyasint"`
}

// Result is how a run at a target ended.
type Result uint8

const (
	ResultComplete Result = iota
	// ResultNotAdmitted: the target provably did not take it.
	ResultNotAdmitted
	// ResultLeaving: not admitted because the target is leaving.
	ResultLeaving
	// ResultBroken: the target died or cut the answer.
	ResultBroken
	// ResultCancelled: we cancelled it.
	ResultCancelled
	// ResultFailed: the target lives and answered with an error of its own.
	ResultFailed
)

// Sample is what one run showed of its target's speed.
type Sample struct {
	PromptTokens int           `cbor:"1,keyasint"`
	CachedTokens int           `cbor:"2,keyasint,omitempty"`
	FirstToken   time.Duration `cbor:"3,keyasint"`
	Tokens       int           `cbor:"4,keyasint"`
	// StepTime is the mean time between tokens.
	StepTime time.Duration `cbor:"5,keyasint"`
	// Batch is the scheduler's in-flight count at the grant, 0 if not known.
	Batch int `cbor:"6,keyasint,omitempty"`
	// QueuedPrefill is prompt tokens of other runs that were granted and not
	// yet computed at the grant, by the scheduler's count; 0 if not known.
	QueuedPrefill int `cbor:"7,keyasint,omitempty"`
}

// Running lists what an entry has running at targets that the addressee
// schedules: all of it (Full) after a takeover, else the change in progress.
type Running struct {
	Full bool         `cbor:"1,keyasint,omitempty"`
	Runs []RunningOne `cbor:"2,keyasint"`
	// Moved names the targets for whose takeover a full report is sent.
	Moved []string `cbor:"3,keyasint,omitempty"`
}

// RunningOne is one run at a target.
type RunningOne struct {
	Offer Offer `cbor:"1,keyasint"`
	// Tokens generated so far; Started: the first token was seen.
	Tokens  int           `cbor:"2,keyasint"`
	Started bool          `cbor:"3,keyasint"`
	Age     time.Duration `cbor:"4,keyasint"`
}

// FloorAsk asks the schedulers of a pool for a promise: serve nothing below
// Tier for the time For. Need describes the request that could not be placed.
type FloorAsk struct {
	Seq  uint64        `cbor:"1,keyasint"`
	Pool string        `cbor:"2,keyasint"`
	Tier request.Tier  `cbor:"3,keyasint"`
	For  time.Duration `cbor:"4,keyasint"`
	Need Offer         `cbor:"5,keyasint"`
	// Last: the asker will refuse as soon as the floor stands, so lower runs that
	// may be cancelled must be.
	Last bool `cbor:"6,keyasint,omitempty"`
	// Late: the asker's request can still have a whole answer, only its first
	// token would be late, so runs that have cost far more are spared.
	Late bool `cbor:"7,keyasint,omitempty"`
}

// FloorReply answers a FloorAsk: either Room names a target that can take the
// request now, or the sender promises the floor until Valid has passed since
// the asker sent Seq.
type FloorReply struct {
	Seq   uint64        `cbor:"1,keyasint"`
	Pool  string        `cbor:"2,keyasint"`
	Tier  request.Tier  `cbor:"3,keyasint"`
	Room  string        `cbor:"4,keyasint,omitempty"`
	Valid time.Duration `cbor:"5,keyasint,omitempty"`
	// Lower: work below Tier still runs there and cannot be cancelled; the
	// asker waits for its end as long as its request's deadline allows.
	Lower bool `cbor:"6,keyasint,omitempty"`
	// Cost is what the run has cost that must be cancelled to make Room, in
	// tokens and at least 1; 0: none must.
	Cost int `cbor:"7,keyasint,omitempty"`
	// Cutting: lower runs are being cancelled there; they are gone in a moment.
	Cutting bool `cbor:"8,keyasint,omitempty"`
	// Dear: lower runs were spared there for an ask that is Late.
	Dear bool `cbor:"9,keyasint,omitempty"`
}

// OwnerAsk asks the owner of an id what became of it; if the owner has never
// seen it, the owner gives it up to the asker for good.
type OwnerAsk struct {
	Seq uint64          `cbor:"1,keyasint"`
	ID  ident.RequestID `cbor:"2,keyasint"`
	// Known: the asker only wants to know what became of it, and never to run it.
	Known bool `cbor:"3,keyasint,omitempty"`
	// Orphan: the owner is gone; whoever schedules the target of its run answers.
	Orphan bool `cbor:"5,keyasint,omitempty"`
	// Tag tells which organisation brought the id to the asker; see owner.Tag.
	Tag uint32 `cbor:"4,keyasint,omitempty"`
}

// Standing is what an owner says of an id.
type Standing uint8

const (
	// StandingVoided: never seen here; the asker alone may run it now.
	StandingVoided Standing = iota
	// StandingWaiting: accepted and not dispatched yet.
	StandingWaiting
	// StandingRunning: dispatched; Token attaches to its stream.
	StandingRunning
	// StandingFinished: Status is final.
	StandingFinished
	// StandingElsewhere: given up to Delegate earlier; ask there.
	StandingElsewhere
	// StandingExpired: the id is too old to be remembered; unknown.
	StandingExpired
)

// String returns the standing's name for operators.
func (s Standing) String() string {
	switch s {
	case StandingVoided:
		return "voided"
	case StandingWaiting:
		return "waiting"
	case StandingRunning:
		return "running"
	case StandingFinished:
		return "finished"
	case StandingElsewhere:
		return "elsewhere"
	}
	return "not remembered"
}

// OwnerReply answers an OwnerAsk.
type OwnerReply struct {
	Seq      uint64            `cbor:"1,keyasint"`
	ID       ident.RequestID   `cbor:"2,keyasint"`
	Standing Standing          `cbor:"3,keyasint"`
	Status   outcome.Status    `cbor:"4,keyasint"`
	Delegate ident.Incarnation `cbor:"5,keyasint,omitempty"`
	// Target at which it runs or ran, to attach to its stream there.
	Target string `cbor:"6,keyasint,omitempty"`
}

// ClaimAsk asks the home of a key's partition to claim it for a request.
type ClaimAsk struct {
	Key request.KeyHash `cbor:"1,keyasint"`
	ID  ident.RequestID `cbor:"2,keyasint"`
}

// ClaimReply is the home's verdict, read back from the log.
type ClaimReply struct {
	Key request.KeyHash `cbor:"1,keyasint"`
	ID  ident.RequestID `cbor:"2,keyasint"`
	// Winner holds the key: ID itself, or the request that came first.
	// Empty: the log gave no verdict.
	Winner ident.RequestID `cbor:"3,keyasint,omitempty"`
	// Unread: no verdict, and the home could not read the partition, so another
	// request of the key may have run earlier.
	Unread bool `cbor:"4,keyasint,omitempty"`
}

// ClaimRelease asks the home to give up a claim whose request did not run.
type ClaimRelease struct {
	Key request.KeyHash `cbor:"1,keyasint"`
	ID  ident.RequestID `cbor:"2,keyasint"`
}

// Suspicion shares what is known of a request that may crash targets.
type Suspicion struct {
	Fingerprint request.Fingerprint `cbor:"1,keyasint"`
	// Deaths are targets that died while they ran it, with the death's id.
	Deaths    []string `cbor:"2,keyasint"`
	Convicted bool     `cbor:"3,keyasint"`
	Cleared   bool     `cbor:"4,keyasint,omitempty"`
}

// DocumentAsk asks a peer for the document in force there.
type DocumentAsk struct{}

// DocumentReply carries the accepted document with its version.
type DocumentReply struct {
	Version int64  `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint"`
}

func (Heartbeat) message()     {}
func (Offer) message()         {}
func (Withdraw) message()      {}
func (Grant) message()         {}
func (Queued) message()        {}
func (Refuse) message()        {}
func (Preempt) message()       {}
func (Done) message()          {}
func (Running) message()       {}
func (FloorAsk) message()      {}
func (FloorReply) message()    {}
func (OwnerAsk) message()      {}
func (OwnerReply) message()    {}
func (ClaimAsk) message()      {}
func (ClaimReply) message()    {}
func (ClaimRelease) message()  {}
func (Suspicion) message()     {}
func (DocumentAsk) message()   {}
func (DocumentReply) message() {}
