package entry

import (
	"sycamoretrail/internal/core/outcome"
)

// refuseLate refuses a request that cannot be in time, and tells the cause: only
// a want of places is a refusal for load. After a pause of this process, and
// when the bounds were past at the arrival, an idle target would not help.
func (e *Entry) refuseLate(f *flight, reason outcome.Reason) {
	switch {
	case e.wokeAt.After(f.req.Arrived):
		reason = outcome.ReasonProcessPaused
	case e.arrivedLate(f):
		reason = outcome.ReasonArrivedLate
	}
	e.abandon(f, outcome.Refused(reason, e.jitter(retrySoon), detailOf(reason)))
}

// arrivedLate: less time was left at the arrival than the pool's fastest target
// takes for a single token. No estimate counts here, since those rise with load.
func (e *Entry) arrivedLate(f *flight) bool {
	step := e.fastest[f.req.Pool]
	first := f.req.FirstTokenBy
	return !f.req.Deadline.After(f.req.Arrived.Add(step)) || !first.IsZero() && !first.After(f.req.Arrived.Add(step))
}

func detailOf(reason outcome.Reason) string {
	switch reason {
	case outcome.ReasonDisplaced:
		return "a higher tier needed the place"
	case outcome.ReasonDeadline:
		return "the answer could not be complete by the deadline"
	case outcome.ReasonDeadlinePassed:
		return "the deadline passed before a place was free"
	case outcome.ReasonArrivedLate:
		return "too little time was left when the request arrived"
	case outcome.ReasonProcessPaused:
		return "the entry was paused while the request waited; send again"
	}
	return "every target that could serve the request is full"
}
