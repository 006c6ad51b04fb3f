package entry

import "time"

const (
	// patiencePart of a request's time may pass before its owner asks for the
	// last word.
	patiencePart = 0.85
	// pauseLeast and pauseMost bound the pauses between rounds of offers.
	pauseLeast = 50 * time.Millisecond
	pauseMost  = 400 * time.Millisecond
)

// patient reports whether a request that was turned down by a few targets may
// wait at its owner. The top tier never does: higher tiers leave it no reason to.
//
// Failure: a burst of a higher tier raises a floor of a second. Symptom: all
// lower work that comes meanwhile is refused, though much time is left to it and
// targets are idle after the burst. Waiting here, not in a target's queue,
// keeps the rule that nothing lower waits at a target while higher work is
// refused, and costs no exchange between schedulers.
func (e *Entry) patient(f *flight) bool {
	if e.cfg.Policy != PolicyScheduler || f.req.Tier == 0 || f.own || f.final {
		return false
	}
	return e.now.Before(f.patience())
}

// patience is when the last word is asked for.
func (f *flight) patience() time.Time {
	bound := f.req.Deadline
	if first := f.req.FirstTokenBy; !first.IsZero() && first.Before(bound) {
		bound = first
	}
	return f.req.Arrived.Add(time.Duration(patiencePart * float64(bound.Sub(f.req.Arrived))))
}

// rest ends a round of offers: the next one begins after a pause that doubles,
// at the latest when the last word is due.
func (e *Entry) rest(f *flight) {
	f.pause = min(max(2*f.pause, pauseLeast), pauseMost)
	f.tried = f.tried[:0]
	f.stage = stageWaiting
	e.wakeAt(f, earlier(e.now.Add(e.jitter(f.pause)), f.patience()))
}
