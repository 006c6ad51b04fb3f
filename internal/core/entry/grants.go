package entry

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/scheduler"
)

// withdraw takes the present offer back.
func (e *Entry) withdraw(f *flight) {
	if f.stage != stageOffered {
		return
	}
	withdrawal := message.Withdraw{ID: f.req.ID, Target: f.target}
	if f.own {
		e.perform(e.share.Withdraw(e.now, e.cfg.Self.Incarnation, withdrawal), fromShare)
	} else {
		e.send(f.scheduler, withdrawal)
	}
	f.stage = stageWaiting
}

// queued notes that the scheduler has the offer in its queue.
func (e *Entry) queued(from ident.Incarnation, q message.Queued) {
	f := e.flights[q.ID]
	if f == nil || f.stage != stageOffered || f.target != q.Target || f.scheduler != from {
		return
	}
	f.heard = true
}

// granted dispatches a flight, if the grant is still good.
func (e *Entry) granted(from ident.Incarnation, g message.Grant, own bool) {
	f := e.flights[g.ID]
	if f == nil || f.stage != stageOffered || f.target != g.Target || f.own != own {
		// A grant of a former scheduler or for an offer taken back. The place
		// must be given back at once, or it stands empty until it lapses.
		e.giveBack(from, message.Withdraw{ID: g.ID, Target: g.Target}, own, f, g.Target)
		return
	}
	sent, known := f.sentAt(g.Ask)
	until := sent.Add(g.Valid - grantMargin)
	if !known || !e.now.Before(until) {
		// The grant spent its validity on the way, or this process slept. The
		// target may be leaving or full by now: only a fresh grant counts.
		e.withdraw(f)
		e.offerAt(f, f.target)
		return
	}
	e.dispatch(f, until)
}

// giveBack returns an unwanted place, unless the flight runs at that target.
func (e *Entry) giveBack(to ident.Incarnation, w message.Withdraw, own bool, f *flight, target string) {
	if f != nil && f.stage == stageRunning && f.target == target {
		return
	}
	if own {
		e.perform(e.share.Withdraw(e.now, e.cfg.Self.Incarnation, w), fromShare)
		return
	}
	e.send(to, w)
}

// refused moves a flight on after a scheduler turned it down.
func (e *Entry) refused(from ident.Incarnation, r message.Refuse, own bool) {
	f := e.flights[r.ID]
	if f == nil || f.stage != stageOffered || f.target != r.Target || f.own != own {
		return
	}
	if !own && f.scheduler != from {
		return
	}
	f.stage = stageWaiting
	switch {
	case r.Settled && (r.Reason == outcome.ReasonDeadline || r.Reason == outcome.ReasonDeadlinePassed):
		e.refuseLate(f, r.Reason)
	case r.Settled:
		e.abandon(f, outcome.Refused(r.Reason, r.RetryAfter, detailOf(r.Reason)))
	case scheduler.Moved(r):
		e.wakeAt(f, e.now.Add(replaceWait))
	case r.Elsewhere != "":
		e.offerAt(f, r.Elsewhere)
	default:
		f.tried = append(f.tried, f.target)
		e.place(f)
	}
}
