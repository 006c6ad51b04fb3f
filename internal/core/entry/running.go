package entry

import (
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/owner"
)

// dispatch is the only place that lets a request run. The ids' table says yes
// at most once for an id until the target provably did not take it, so neither
// a second grant nor a woken process can start a second run.
func (e *Entry) dispatch(f *flight, notAfter time.Time) {
	target, known := e.index.Target(f.target)
	if !known || !e.ids.Dispatched(e.now, f.req.ID, f.target) {
		status := e.undispatchable(f)
		e.withdraw(f)
		e.finish(f, status)
		return
	}
	f.stage = stageRunning
	f.dispatched = e.now
	f.wake = time.Time{}
	e.seats.run(f)
	e.router.Dispatched(e.now, f.target, &f.req)
	e.note(Decision{ID: f.req.ID, Event: EventDispatched, Target: f.target, Tier: f.req.Tier})
	e.emit(Dispatch{
		ID: f.req.ID, Target: f.target, Address: target.Address, Kind: f.req.Kind,
		Deadline: f.req.Deadline, NotAfter: notAfter,
	})
	// Tells the scheduler that the grant was used, so that its lapse does not
	// free the place.
	e.sendRunning(f)
}

// undispatchable is the word on a request whose dispatch was turned down. Only an
// id that still waits here, at a target that the document has dropped, provably
// did not run; one that the table does not know as waiting may have run under an
// earlier dispatch, or at the entry to which the id was given up.
func (e *Entry) undispatchable(f *flight) outcome.Status {
	known := e.ids.Standing(e.now, f.req.ID)
	if known.Kind == owner.KindKnown && known.Standing == message.StandingWaiting {
		return outcome.Refused(outcome.ReasonVoided, 0, "the target is no longer configured")
	}
	return outcome.Undetermined(outcome.ReasonVoided, "the request may not run under this id any more")
}

func (e *Entry) sendRunning(f *flight) {
	report := message.Running{Runs: []message.RunningOne{e.running(f)}}
	if f.own {
		e.perform(e.share.Running(e.now, e.cfg.Self.Incarnation, report), fromShare)
	}
	if scheduler := e.schedulerOf(f.target); scheduler != "" {
		e.send(scheduler, report)
	}
}

func (e *Entry) running(f *flight) message.RunningOne {
	return message.RunningOne{Offer: e.offer(f), Tokens: f.tokens, Started: f.started, Age: e.now.Sub(f.dispatched)}
}

// runProgress passes on how far a run is, which preemption weighs.
func (e *Entry) runProgress(p RunProgress) {
	f := e.flights[p.ID]
	if f == nil || f.stage != stageRunning {
		return
	}
	f.tokens = p.Tokens
	if !f.started {
		// The prompt is computed: the scheduler may let the next long one in.
		f.started = true
		e.sendRunning(f)
	}
}

// runEnded settles a run, or moves the request on if it provably did not run.
func (e *Entry) runEnded(end RunEnded) {
	f := e.flights[end.ID]
	if f == nil || f.stage != stageRunning {
		return
	}
	e.sendDone(f, end)
	e.router.Observed(f.target, &f.req, end.Sample, end.Result == message.ResultComplete)
	switch {
	case end.Result == message.ResultComplete:
		e.performSuspects(e.suspects.Completed(e.now, f.req.Fingerprint))
		e.close(f, outcome.Complete())
	case !end.Wrote && (end.Result == message.ResultNotAdmitted || end.Result == message.ResultLeaving):
		e.notTaken(f, end.Result)
	case f.verdict.Outcome != "":
		// Its caller was told when the run was cancelled, however it ended: the
		// target may have died meanwhile.
		e.close(f, f.verdict)
	case end.Result == message.ResultCancelled:
		e.finish(f, outcome.Partial(outcome.ReasonDeadlinePassed, "the deadline passed while the request ran"))
	default:
		status := outcome.Partial(outcome.ReasonTargetFailed, "the target failed while it ran the request")
		if !e.on(guardPartial) {
			status.Outcome = outcome.NotRun
		}
		e.finish(f, status)
	}
}

// notTaken places a request again that its target provably did not take.
func (e *Entry) notTaken(f *flight, result message.Result) {
	e.ids.Undispatched(e.now, f.req.ID)
	e.seats.wait(f)
	f.stage = stageWaiting
	f.started = false
	if f.verdict.Outcome != "" {
		// The caller was told "ran in part" at the cancelling, which stands: it
		// gets one word.
		e.releaseClaim(f)
		e.close(f, f.verdict)
		return
	}
	if result == message.ResultLeaving {
		e.router.Reachable(f.target, false)
	}
	f.tried = append(f.tried, f.target)
	e.place(f)
}

// sendDone frees the place at the scheduler and brings it what was seen.
func (e *Entry) sendDone(f *flight, end RunEnded) {
	done := message.Done{ID: f.req.ID, Target: f.target, Sample: end.Sample, Result: end.Result}
	if f.own {
		e.perform(e.share.Done(e.now, e.cfg.Self.Incarnation, done), fromShare)
	}
	if scheduler := e.schedulerOf(f.target); scheduler != "" {
		e.send(scheduler, done)
	}
}

// preempt cancels a lower run for a higher tier's sake.
func (e *Entry) preempt(f *flight) {
	e.note(Decision{ID: f.req.ID, Event: EventPreempted, Target: f.target, Tier: f.req.Tier})
	e.cancel(f, outcome.Partial(outcome.ReasonPreempted, "a higher tier needed the place"))
}

func (e *Entry) preemptAsked(p message.Preempt) {
	f := e.flights[p.ID]
	if f == nil || f.stage != stageRunning || f.target != p.Target || !preemptible(&f.req) && e.on(guardRepeat) {
		return
	}
	e.preempt(f)
}

// cancel ends a run early; its end arrives as RunEnded.
func (e *Entry) cancel(f *flight, status outcome.Status) {
	if f.verdict.Outcome != "" {
		return
	}
	f.verdict = status
	e.seats.leave(f)
	e.emit(CancelRun{ID: f.req.ID, Status: status})
}
