// Package outcome holds the final word on a request: what became of it, why,
// and when its caller should come back. Every answer to a caller carries one
// Status, formed here, so that "not run" has one meaning in the whole system.
package outcome

import "time"

// Outcome says what became of a request.
type Outcome string

const (
	// Answered: the whole answer was delivered.
	Answered Outcome = "answered"
	// NotRun: refused; no target began it, and none will.
	NotRun Outcome = "not_run"
	// RanInPart: a target began it and the answer is incomplete.
	RanInPart Outcome = "ran_in_part"
	// Unknown: nobody who can be asked knows whether it ran.
	Unknown Outcome = "unknown"
)

// Reason says why, for callers, logs and metrics.
type Reason string

const (
	// ReasonNone accompanies Answered.
	ReasonNone Reason = ""

	ReasonMalformed         Reason = "malformed"
	ReasonTooLarge          Reason = "too_large"
	ReasonUnauthorised      Reason = "unauthorised"
	ReasonUnknownModel      Reason = "unknown_model"
	ReasonUnknownService    Reason = "unknown_service"
	ReasonTierNotAllowed    Reason = "tier_not_allowed"
	ReasonOrganisationLimit Reason = "organisation_limit"
	ReasonNotReady          Reason = "not_ready"
	ReasonDraining          Reason = "draining"
	ReasonEntryFull         Reason = "entry_full"
	ReasonOverload          Reason = "overload"
	ReasonDisplaced         Reason = "displaced_by_higher_tier"
	ReasonDeadline          Reason = "deadline_cannot_be_met"
	ReasonDeadlinePassed    Reason = "deadline_passed"
	// ReasonArrivedLate: its bounds were as good as past when it arrived, so
	// that no target, idle or not, could have kept them.
	ReasonArrivedLate      Reason = "arrived_too_late"
	ReasonNoTarget         Reason = "no_target"
	ReasonLogUnavailable   Reason = "log_unavailable"
	ReasonDuplicateKey     Reason = "idempotency_key_in_use"
	ReasonConvicted        Reason = "request_crashes_targets"
	ReasonProcessPaused    Reason = "process_was_paused"
	ReasonVoided           Reason = "request_id_voided"
	ReasonPreempted        Reason = "preempted_by_higher_tier"
	ReasonTargetFailed     Reason = "target_failed"
	ReasonTargetRejected   Reason = "target_rejected"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonOwnerUnreachable Reason = "owner_unreachable"
	ReasonOwnerReplaced    Reason = "owner_replaced"
	ReasonIDExpired        Reason = "request_id_expired"
	ReasonAnswerNotHeld    Reason = "answer_no_longer_held"
	ReasonStopped          Reason = "entry_stopped"
)

// Load reports whether the reason is a want of capacity. Only such a refusal
// is bound by the order of tiers: a malformed request may be refused at any time.
func (r Reason) Load() bool {
	switch r {
	case ReasonOverload, ReasonDisplaced, ReasonDeadline, ReasonDeadlinePassed, ReasonEntryFull:
		return true
	}
	return false
}

// Status is the final word on one request.
type Status struct {
	Outcome Outcome `json:"outcome" cbor:"1,keyasint"`
	Reason  Reason  `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
	// RetryAfter tells the caller when to come back; zero: no advice.
	RetryAfter time.Duration `json:"-" cbor:"3,keyasint,omitempty"`
	// Detail is a sentence for a person; never content of a request.
	Detail string `json:"detail,omitempty" cbor:"4,keyasint,omitempty"`
}

// Refused forms the status of a request that did not and will not run.
func Refused(reason Reason, retryAfter time.Duration, detail string) Status {
	return Status{Outcome: NotRun, Reason: reason, RetryAfter: retryAfter, Detail: detail}
}

// Partial forms the status of a request that a target began.
func Partial(reason Reason, detail string) Status {
	return Status{Outcome: RanInPart, Reason: reason, Detail: detail}
}

// Undetermined forms the status of a request of which nobody can say whether it ran.
func Undetermined(reason Reason, detail string) Status {
	return Status{Outcome: Unknown, Reason: reason, Detail: detail}
}

// Complete is the status of a request whose whole answer was delivered.
func Complete() Status {
	return Status{Outcome: Answered}
}
