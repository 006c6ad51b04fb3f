package entry

import (
	"sycamoretrail/internal/core/outcome"
)

// refusePastDeadline refuses a request that cannot meet its deadline, with the
// cause as reason: only a lack of free slots counts as a refusal for load.
// After a pause of this process, or if too little time was left on arrival, an
// idle target would not help.
func (e *Entry) refusePastDeadline(f *flight, reason outcome.Reason) {
	switch {
	case e.resumedAt.After(f.req.Arrived):
		reason = outcome.ReasonProcessPaused
	case e.arrivedLate(f):
		reason = outcome.ReasonArrivedLate
	}
	e.abandon(f, outcome.Refused(reason, e.jitter(retrySoon), detailOf(reason)))
}

// arrivedLate reports whether the time left on arrival was less than the pool's
// fastest target takes for one token. Estimates are not used because they rise
// with load.
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
