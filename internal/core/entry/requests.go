package entry

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/owner"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/core/suspects"
)

const (
	// retrySoon is advised where a short wait is likely to help.
	retrySoon = 500 * time.Millisecond
	// callerGrace is how long a run goes on after its caller left, so that the
	// caller may attach again with its stream token.
	callerGrace = 3 * time.Second
)

// submit takes a request from a caller.
func (e *Entry) submit(req request.Request) {
	tag := owner.Tag(req.Organisation)
	if f := e.flights[req.ID]; f != nil && f.req.Organisation != req.Organisation || !e.ids.Belongs(e.now, req.ID, tag) {
		e.refuseUnseen(&req, anothersID())
		return
	}
	switch admission := e.ids.Admit(e.now, req.ID); admission.Kind {
	case owner.KindNew:
		e.ids.Mark(e.now, req.ID, tag)
		e.accept(req)
	case owner.KindKnown:
		e.joinKnown(&req, admission)
	case owner.KindForeign:
		e.askOwner(req, req.ID, admission.Owner)
	case owner.KindVoided:
		e.askOwner(req, req.ID, admission.Delegate)
	case owner.KindExpired:
		e.refuseUnseen(&req, outcome.Undetermined(outcome.ReasonIDExpired, "the id is older than this entry remembers"))
	case owner.KindLate:
		e.refuseUnseen(&req, outcome.Refused(outcome.ReasonIDExpired, 0, "the id's prefix is no longer good; ask for another"))
	case owner.KindFull:
		e.refuseUnseen(&req, outcome.Refused(outcome.ReasonEntryFull, retrySoon, "the entry remembers no more ids"))
	default:
		e.refuseUnseen(&req, outcome.Refused(outcome.ReasonMalformed, 0, "the request id is malformed"))
	}
}

// anothersID refuses an id that another organisation's request has. It says
// nothing of that request, and is true of this one.
func anothersID() outcome.Status {
	return outcome.Refused(outcome.ReasonMalformed, 0, "the request id names another request")
}

// refuseUnseen answers a request that never became a flight.
func (e *Entry) refuseUnseen(req *request.Request, status outcome.Status) {
	e.tell(req.ID, keyUnread(req, status))
}

// tell gives a caller the final word on an id that is not settled here.
func (e *Entry) tell(id ident.RequestID, status outcome.Status) {
	e.emit(Settle{ID: id, Status: status})
	e.note(Decision{ID: id, Event: EventSettled, Reason: status.Reason, Detail: string(status.Outcome)})
}

// joinKnown answers a re-send of an id that this entry owns.
func (e *Entry) joinKnown(req *request.Request, admission owner.Admission) {
	if f := e.flights[req.ID]; f != nil {
		f.gone = time.Time{}
		if f.verdict.Outcome != "" {
			// Its run was cancelled and has not ended yet; the word is given.
			e.emit(Settle{ID: req.ID, Status: f.verdict})
			return
		}
	}
	if admission.Standing == message.StandingFinished && admission.Status.Outcome != outcome.Answered {
		e.emit(Settle{ID: req.ID, Status: keyUnread(req, admission.Status)})
		return
	}
	e.emit(Join{ID: req.ID, Of: req.ID})
}

// accept begins the life of a request that this entry owns.
func (e *Entry) accept(req request.Request) {
	f := &flight{req: req, subject: req.ID, stage: stageWaiting}
	e.note(Decision{ID: req.ID, Event: EventAccepted, Tier: req.Tier})
	if status, ok := e.admissible(&f.req); !ok {
		e.finish(f, status)
		return
	}
	e.enter(f)
	if claimed(&req) && e.on(guardClaim) {
		e.claim(f)
		return
	}
	e.place(f)
}

// claimed reports whether a request runs under an idempotency key.
func claimed(r *request.Request) bool { return r.Key != "" && !r.Idempotent }

// keyUnread makes "not run" unknown where the log was not asked about the
// request's key. A caller that sends its key again under another id takes the
// word for both, and the earlier one may have run.
func keyUnread(r *request.Request, status outcome.Status) outcome.Status {
	if claimed(r) && status.Outcome == outcome.NotRun && status.Reason != outcome.ReasonDuplicateKey {
		status.Outcome = outcome.Unknown
	}
	return status
}

// enter counts a flight in.
func (e *Entry) enter(f *flight) {
	e.flights[f.req.ID] = f
	e.perOrganisation[f.req.Organisation]++
	e.seats.wait(f)
}

// admissible applies the rules that need no target.
func (e *Entry) admissible(req *request.Request) (outcome.Status, bool) {
	if e.ids.Overdue(e.now, req.Arrived) {
		// The process was paused with the request in its ring. Nothing has been
		// decided, so refusing is safe, and the caller may long have gone on.
		return outcome.Refused(outcome.ReasonProcessPaused, retrySoon, "the entry was paused; send again"), false
	}
	if !e.drain.Takes() {
		return outcome.Refused(outcome.ReasonDraining, retrySoon, "the entry is stopping; ask which to use"), false
	}
	if e.doc == nil || e.state == message.Starting || e.state == message.Stopped {
		return outcome.Refused(outcome.ReasonNotReady, retrySoon, "the entry holds no configuration yet"), false
	}
	if !e.now.Before(req.Deadline) {
		return outcome.Refused(outcome.ReasonDeadlinePassed, 0, "the deadline has passed"), false
	}
	if e.suspects.Judge(e.now, req.Fingerprint) == suspects.Convicted {
		return outcome.Refused(outcome.ReasonConvicted, 0, "targets died each time that they ran this request"), false
	}
	if limit := e.organisationLimit(req.Organisation); limit > 0 && e.perOrganisation[req.Organisation] >= limit {
		return outcome.Refused(outcome.ReasonOrganisationLimit, retrySoon, "the organisation has as many requests in flight as it may"), false
	}
	if len(e.flights) >= e.doc.Limits.InFlight && !e.makeRoom(req.Tier) {
		return outcome.Refused(outcome.ReasonEntryFull, retrySoon, "the entry holds as many requests as it may"), false
	}
	return outcome.Status{}, true
}

// makeRoom lets a lower request make way when the entry is full, so that a full
// entry does not refuse a higher tier while it works for a lower one.
func (e *Entry) makeRoom(tier request.Tier) bool {
	f := e.seats.yielding(tier)
	if f == nil {
		return false
	}
	if f.stage == stageRunning {
		e.preempt(f)
		return true
	}
	e.abandon(f, outcome.Refused(outcome.ReasonDisplaced, e.jitter(retrySoon), "a higher tier needed the place"))
	return true
}

// attend looks at a flight whose time has come.
func (e *Entry) attend(f *flight) {
	switch f.stage {
	case stageAsking:
		e.attendAsking(f)
	case stageSeeking:
		e.settleForeign(f, f.doubt)
	case stageClaiming:
		e.attendClaiming(f)
	case stageWaiting:
		e.place(f)
	case stageOffered:
		e.attendOffered(f)
	case stageRunning:
		e.attendRunning(f)
	case stageEnded:
	}
}

// callerGone is told when nobody waits for a request any more.
func (e *Entry) callerGone(id ident.RequestID) {
	f := e.flights[id]
	if f == nil {
		return
	}
	if f.stage != stageRunning {
		e.abandon(f, outcome.Refused(outcome.ReasonCallerGone, 0, "the caller left before the request ran"))
		return
	}
	if preemptible(&f.req) {
		f.gone = e.now
		e.wakeAt(f, e.now.Add(callerGrace))
	}
}

// attendRunning cancels a run that nobody has waited for since the grace began.
func (e *Entry) attendRunning(f *flight) {
	if f.gone.IsZero() {
		return
	}
	if until := f.gone.Add(callerGrace); e.now.Before(until) {
		e.wakeAt(f, until)
		return
	}
	e.cancel(f, outcome.Partial(outcome.ReasonCallerGone, "the caller left"))
}

// abandon settles a flight that is not running, and takes its offer back.
func (e *Entry) abandon(f *flight, status outcome.Status) {
	if f.stage == stageAsking || f.stage == stageSeeking {
		// The id is another entry's, where it may run: only the owner could say
		// that it does not.
		e.settleForeign(f, outcome.Undetermined(status.Reason, status.Detail))
		return
	}
	e.withdraw(f)
	e.releaseClaim(f)
	e.finish(f, status)
}

// finish settles a flight that is not running, for good.
func (e *Entry) finish(f *flight, status outcome.Status) {
	if !f.keyRead {
		status = keyUnread(&f.req, status)
	}
	e.close(f, status)
	e.emit(Settle{ID: f.req.ID, Status: status})
}

// close records the final status and forgets the flight; the caller is told
// separately, since the edge already carries the status of an ended run.
func (e *Entry) close(f *flight, status outcome.Status) {
	e.ids.Finish(e.now, f.req.ID, status)
	e.note(Decision{
		ID: f.req.ID, Event: EventSettled, Tier: f.req.Tier, Target: f.target,
		Reason: status.Reason, Detail: string(status.Outcome),
	})
	e.leave(f)
}

// leave counts a flight out.
func (e *Entry) leave(f *flight) {
	f.stage = stageEnded
	if e.flights[f.req.ID] != f {
		return
	}
	delete(e.flights, f.req.ID)
	e.seats.leave(f)
	e.perOrganisation[f.req.Organisation]--
	if e.perOrganisation[f.req.Organisation] <= 0 {
		delete(e.perOrganisation, f.req.Organisation)
	}
}
