package entry

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/scheduler"
)

// withdraw takes back the flight's current offer.
func (e *Entry) withdraw(f *flight) {
	if f.stage != stageOffered {
		return
	}
	withdrawal := message.Withdraw{ID: f.req.ID, Target: f.target}
	if f.onShare {
		e.perform(e.shareScheduler.Withdraw(e.now, e.cfg.Self.Incarnation, withdrawal), fromShare)
	} else {
		e.send(f.scheduler, withdrawal)
	}
	f.stage = stageWaiting
}

// queued records that the scheduler has the offer in its queue.
func (e *Entry) queued(from ident.Incarnation, q message.Queued) {
	f := e.flights[q.ID]
	if f == nil || f.stage != stageOffered || f.target != q.Target || f.scheduler != from {
		return
	}
	f.acknowledged = true
}

// granted dispatches a flight if the grant is still valid.
func (e *Entry) granted(from ident.Incarnation, g message.Grant, onShare bool) {
	f := e.flights[g.ID]
	if f == nil || f.stage != stageOffered || f.target != g.Target || f.onShare != onShare {
		// The grant comes from a previous scheduler or for a withdrawn offer.
		// Its slot is returned at once; otherwise it stays unused until the
		// grant expires.
		e.giveBack(from, message.Withdraw{ID: g.ID, Target: g.Target}, onShare, f, g.Target)
		return
	}
	sent, known := f.sentAt(g.OfferSeq)
	until := sent.Add(g.Valid - grantMargin)
	if !known || !e.now.Before(until) {
		// The grant expired on the way, or this process was paused. The target
		// may be leaving or full by now, so a new grant is needed.
		e.withdraw(f)
		e.offerAt(f, f.target)
		return
	}
	e.dispatch(f, until)
}

// giveBack returns an unused slot, unless the flight runs at that target.
func (e *Entry) giveBack(to ident.Incarnation, w message.Withdraw, onShare bool, f *flight, target string) {
	if f != nil && f.stage == stageRunning && f.target == target {
		return
	}
	if onShare {
		e.perform(e.shareScheduler.Withdraw(e.now, e.cfg.Self.Incarnation, w), fromShare)
		return
	}
	e.send(to, w)
}

// refused handles a scheduler's refusal of an offer.
func (e *Entry) refused(from ident.Incarnation, r message.Refuse, onShare bool) {
	f := e.flights[r.ID]
	if f == nil || f.stage != stageOffered || f.target != r.Target || f.onShare != onShare {
		return
	}
	if !onShare && f.scheduler != from {
		return
	}
	f.stage = stageWaiting
	switch {
	case r.PoolWide && (r.Reason == outcome.ReasonDeadline || r.Reason == outcome.ReasonDeadlinePassed):
		e.refusePastDeadline(f, r.Reason)
	case r.PoolWide:
		e.abandon(f, outcome.Refused(r.Reason, r.RetryAfter, detailOf(r.Reason)))
	case scheduler.Moved(r):
		e.wakeAt(f, e.now.Add(placementRetryWait))
	case r.Alternative != "":
		e.offerAt(f, r.Alternative)
	default:
		f.tried = append(f.tried, f.target)
		e.place(f)
	}
}
