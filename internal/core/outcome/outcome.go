// Package outcome defines the final outcome of a request: what happened to it, why, and
// when its caller should retry. Every answer to a caller carries one Status, formed
// here, so that "not run" has the same meaning in the whole system.
package outcome

import "time"

// Outcome is what finally happened to a request.
type Outcome string

const (
	// Answered: the complete answer was delivered.
	Answered Outcome = "answered"
	// NotRun: the request was refused; no target began it, and none will.
	NotRun Outcome = "not_run"
	// RanInPart: a target began the request and the answer is incomplete.
	RanInPart Outcome = "ran_in_part"
	// Unknown: no process that can be asked has a record of whether the request ran.
	Unknown Outcome = "unknown"
)

// Reason explains an outcome to callers, logs and metrics.
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
	// ReasonArrivedLate: the deadlines were so close on arrival that not even an idle
	// target could have met them.
	ReasonArrivedLate      Reason = "arrived_too_late"
	ReasonNoTarget         Reason = "no_target"
	ReasonLogUnavailable   Reason = "log_unavailable"
	ReasonDuplicateKey     Reason = "idempotency_key_in_use"
	ReasonQuarantined      Reason = "request_crashes_targets"
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

// CapacityRelated reports whether the reason is a lack of capacity. Only such a refusal
// is bound by the order of tiers: a malformed request may be refused at any time.
func (r Reason) CapacityRelated() bool {
	switch r {
	case ReasonOverload, ReasonDisplaced, ReasonDeadline, ReasonDeadlinePassed, ReasonEntryFull:
		return true
	}
	return false
}

// Status is the final outcome of one request.
type Status struct {
	Outcome Outcome `json:"outcome" cbor:"1,keyasint"`
	Reason  Reason  `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
	// RetryAfter is when the caller should retry; zero: no advice.
	RetryAfter time.Duration `json:"-" cbor:"3,keyasint,omitempty"`
	// Detail is a human-readable sentence. It never has content of a request.
	Detail string `json:"detail,omitempty" cbor:"4,keyasint,omitempty"`
}

// Refused returns the status of a request that did not run and will not.
func Refused(reason Reason, retryAfter time.Duration, detail string) Status {
	return Status{Outcome: NotRun, Reason: reason, RetryAfter: retryAfter, Detail: detail}
}

// Partial returns the status of a request that a target began but did not answer
// completely.
func Partial(reason Reason, detail string) Status {
	return Status{Outcome: RanInPart, Reason: reason, Detail: detail}
}

// Undetermined returns the status of a request for which nothing shows whether it ran.
func Undetermined(reason Reason, detail string) Status {
	return Status{Outcome: Unknown, Reason: reason, Detail: detail}
}

// Complete returns the status of a request whose complete answer was delivered.
func Complete() Status {
	return Status{Outcome: Answered}
}
