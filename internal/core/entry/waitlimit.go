package entry

import "time"

const (
	// waitFraction is the part of a request's time that may pass before its
	// owner sends a final offer.
	waitFraction = 0.85
	// minPause and maxPause bound the pauses between rounds of offers.
	minPause = 50 * time.Millisecond
	maxPause = 400 * time.Millisecond
)

// mayWait reports whether a request that a few targets have refused may wait at
// its owner. A request of the top tier never waits, because no higher tier can
// take its capacity.
//
// A burst of a higher tier raises a floor for a second. Without the wait, all
// lower work that arrives in that second is refused, even if it has much time
// left and targets are idle after the burst. Waiting here and not in a target's
// queue keeps the rule that nothing lower waits at a target while higher work
// is refused, and needs no messages between schedulers.
func (e *Entry) mayWait(f *flight) bool {
	if e.cfg.Policy != PolicyScheduler || f.req.Tier == 0 || f.onShare || f.final {
		return false
	}
	return e.now.Before(f.waitLimit())
}

// waitLimit returns when the final offer is due.
func (f *flight) waitLimit() time.Time {
	bound := f.req.Deadline
	if first := f.req.FirstTokenBy; !first.IsZero() && first.Before(bound) {
		bound = first
	}
	return f.req.Arrived.Add(time.Duration(waitFraction * float64(bound.Sub(f.req.Arrived))))
}

// pauseOffers ends a round of offers. The next round starts after a pause that
// doubles each time, at the latest when the final offer is due.
func (e *Entry) pauseOffers(f *flight) {
	f.lastPause = min(max(2*f.lastPause, minPause), maxPause)
	f.tried = f.tried[:0]
	f.stage = stageWaiting
	e.wakeAt(f, earlier(e.now.Add(e.jitter(f.lastPause)), f.waitLimit()))
}
