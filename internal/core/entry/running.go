package entry

import (
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/owner"
	"sycamoretrail/internal/core/quarantine"
)

// dispatch is the only function that starts a run. The table of ids permits
// another dispatch of an id only after the previous target provably did not
// take it, so neither a second grant nor a process resuming from a pause can
// start a second run.
func (e *Entry) dispatch(f *flight, notAfter time.Time) {
	if status, quarantined := e.quarantined(&f.req); quarantined {
		// The quarantine began while the request waited.
		e.abandon(f, status)
		return
	}
	target, known := e.index.Target(f.target)
	if !known || !e.ids.RecordDispatch(e.now, f.req.ID, f.target) {
		status := e.undispatchable(f)
		e.withdraw(f)
		e.finish(f, status)
		return
	}
	f.stage = stageRunning
	f.dispatched = e.now
	f.wake = time.Time{}
	e.evictable.addRunning(f)
	e.router.Dispatched(e.now, f.target, &f.req)
	e.recordDecision(Decision{ID: f.req.ID, Event: EventDispatched, Target: f.target, Tier: f.req.Tier})
	e.emit(Dispatch{
		ID: f.req.ID, Target: f.target, Address: target.Address, Kind: f.req.Kind,
		Deadline: f.req.Deadline, NotAfter: notAfter,
	})
	// Report to the scheduler that the grant was used, so that the expiry of
	// the grant does not free the slot.
	e.sendRunning(f)
}

// undispatchable returns the status of a request whose dispatch was denied.
// Only an id that is still waiting here, for a target that the document has
// dropped, provably did not run. An id that the table does not list as waiting
// may have run under an earlier dispatch, or at the entry to which it was
// handed over.
func (e *Entry) undispatchable(f *flight) outcome.Status {
	known := e.ids.State(e.now, f.req.ID)
	if known.Kind == owner.KindKnown && known.State == message.IDWaiting {
		return outcome.Refused(outcome.ReasonVoided, 0, "the target is no longer configured")
	}
	return outcome.Undetermined(outcome.ReasonVoided, "the request may not run under this id any more")
}

func (e *Entry) sendRunning(f *flight) {
	report := message.Running{Runs: []message.Run{e.running(f)}}
	if f.onShare {
		e.perform(e.shareScheduler.Running(e.now, e.cfg.Self.Incarnation, report), fromShare)
	}
	if scheduler := e.schedulerOf(f.target); scheduler != "" {
		e.send(scheduler, report)
	}
}

func (e *Entry) running(f *flight) message.Run {
	return message.Run{Offer: e.offer(f), Tokens: f.tokens, Started: f.started, Age: e.now.Sub(f.dispatched)}
}

// runProgress records the tokens of a run, which preemption compares, and
// reports the first of them.
func (e *Entry) runProgress(p RunProgress) {
	f := e.flights[p.ID]
	if f == nil || f.stage != stageRunning {
		return
	}
	f.tokens = p.Tokens
	if !f.started {
		// The prompt is computed: the scheduler may admit the next long one.
		f.started = true
		e.sendRunning(f)
	}
}

// runEnded settles a run, or places the request again if it provably did not
// run.
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
		e.prefixesAnswered(&f.req)
		e.close(f, outcome.Complete())
	case !end.Wrote && (end.Result == message.ResultNotAdmitted || end.Result == message.ResultLeaving):
		e.notAdmitted(f, end.Result)
	case f.cancelStatus.Outcome != "":
		// The caller got its status when the run was cancelled. It stays the
		// same however the run ended: the target may have crashed in the
		// meantime.
		e.close(f, f.cancelStatus)
	case end.Result == message.ResultCancelled:
		e.finish(f, outcome.Partial(outcome.ReasonDeadlinePassed, "the deadline passed while the request ran"))
	default:
		status := outcome.Partial(outcome.ReasonTargetFailed, "the target failed while it ran the request")
		if !e.enabled(guardPartial) {
			status.Outcome = outcome.NotRun
		}
		e.finish(f, status)
	}
}

// notAdmitted places a request again after its target provably did not take it.
func (e *Entry) notAdmitted(f *flight, result message.Result) {
	e.ids.RevertDispatch(e.now, f.req.ID)
	e.evictable.addWaiting(f)
	f.stage = stageWaiting
	f.started = false
	if f.cancelStatus.Outcome != "" {
		// The caller already got "ran in part" at the cancellation. That status
		// stays: each request gets exactly one.
		e.releaseClaim(f)
		e.close(f, f.cancelStatus)
		return
	}
	if result == message.ResultLeaving {
		e.router.SetAvailable(f.target, false)
	}
	f.tried = append(f.tried, f.target)
	e.place(f)
}

// sendDone frees the slot at the scheduler and reports the observed speed.
func (e *Entry) sendDone(f *flight, end RunEnded) {
	done := message.Done{ID: f.req.ID, Target: f.target, Sample: end.Sample, Result: end.Result}
	if end.Result == message.ResultAborted {
		done.Prefixes = quarantine.FingerprintsOf(f.req.Prefixes)
	}
	if f.onShare {
		e.perform(e.shareScheduler.Done(e.now, e.cfg.Self.Incarnation, done), fromShare)
	}
	if scheduler := e.schedulerOf(f.target); scheduler != "" {
		e.send(scheduler, done)
	}
}

// preempt cancels a run in favor of a higher tier.
func (e *Entry) preempt(f *flight) {
	e.recordDecision(Decision{ID: f.req.ID, Event: EventPreempted, Target: f.target, Tier: f.req.Tier})
	e.cancel(f, outcome.Partial(outcome.ReasonPreempted, "a higher tier needed the place"))
}

func (e *Entry) preemptRequested(p message.Preempt) {
	f := e.flights[p.ID]
	if f == nil || f.stage != stageRunning || f.target != p.Target || !preemptible(&f.req) && e.enabled(guardRepeat) {
		return
	}
	e.preempt(f)
}

// cancel ends a run early. The end of the run arrives as RunEnded.
func (e *Entry) cancel(f *flight, status outcome.Status) {
	if f.cancelStatus.Outcome != "" {
		return
	}
	f.cancelStatus = status
	e.evictable.remove(f)
	e.emit(CancelRun{ID: f.req.ID, Status: status})
}
