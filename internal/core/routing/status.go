package routing

import "sycamoretrail/internal/core/outcome"

// Status is the result of a choice, or the reason why no target was chosen.
type Status uint8

const (
	// Chosen: the target is expected to answer in time.
	Chosen Status = iota
	// ChosenLate: a target was chosen, but by the owner's stale view its queue makes
	// the answer late. The target's scheduler decides, because it has the queues by
	// tier.
	ChosenLate
	// UnknownPool: the document has no such pool.
	UnknownPool
	// EmptyPool: the pool has no target of the request's kind.
	EmptyPool
	// NoneAvailable: every target is leaving, unreachable or unavailable.
	NoneAvailable
	// AllExcluded: the caller excluded every available target.
	AllExcluded
	// NoneInTime: no target could finish by the deadline even with no queue.
	NoneInTime
)

// OK reports whether a target was chosen.
func (s Status) OK() bool { return s == Chosen || s == ChosenLate }

// Reason returns the reason of a refusal for this status; ReasonNone if OK.
func (s Status) Reason() outcome.Reason {
	switch s {
	case Chosen, ChosenLate:
		return outcome.ReasonNone
	case AllExcluded:
		return outcome.ReasonOverload
	case NoneInTime:
		return outcome.ReasonDeadline
	}
	return outcome.ReasonNoTarget
}

// String returns the status as text for logs and explanations.
func (s Status) String() string {
	switch s {
	case Chosen:
		return "chosen"
	case ChosenLate:
		return "chosen, late by estimate"
	case UnknownPool:
		return "no such pool"
	case EmptyPool:
		return "pool has no target of this kind"
	case NoneAvailable:
		return "no target of the pool is available"
	case AllExcluded:
		return "every available target was tried or ruled out"
	case NoneInTime:
		return "no target could finish by the deadline"
	}
	return "unknown status"
}
