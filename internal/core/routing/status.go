package routing

import "sycamoretrail/internal/core/outcome"

// Status says how a choice came out, and why there is none.
type Status uint8

const (
	// Chosen: the target is expected to answer in time.
	Chosen Status = iota
	// ChosenLate: a target is named, but by the owner's stale view its queue
	// makes the answer late. Its scheduler, which knows the tiers, decides.
	ChosenLate
	// UnknownPool: the document has no such pool.
	UnknownPool
	// EmptyPool: the pool has no target of the request's kind.
	EmptyPool
	// NoneAvailable: every target is leaving, unreachable or unavailable.
	NoneAvailable
	// NoneLeft: the caller's exclude turned every available target down.
	NoneLeft
	// NoneInTime: no target could finish by the deadline even with no queue.
	NoneInTime
)

// OK reports whether a target was chosen.
func (s Status) OK() bool { return s == Chosen || s == ChosenLate }

// Reason is what a refusal for this status says; ReasonNone if OK.
func (s Status) Reason() outcome.Reason {
	switch s {
	case Chosen, ChosenLate:
		return outcome.ReasonNone
	case NoneLeft:
		return outcome.ReasonOverload
	case NoneInTime:
		return outcome.ReasonDeadline
	}
	return outcome.ReasonNoTarget
}

// String is the status for logs and explain.
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
	case NoneLeft:
		return "every available target was tried or ruled out"
	case NoneInTime:
		return "no target could finish by the deadline"
	}
	return "unknown status"
}
