package entry

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/owner"
	"sycamoretrail/internal/core/quarantine"
	"sycamoretrail/internal/core/request"
)

const (
	// retrySoon is the retry advice where a short wait is likely to help.
	retrySoon = 500 * time.Millisecond
	// callerGrace is how long a run continues after its caller disconnected, so
	// that the caller can reattach with its stream token.
	callerGrace = 3 * time.Second
)

// submit handles a request from a caller.
func (e *Entry) submit(req request.Request) {
	tag := owner.Tag(req.Organisation)
	if f := e.flights[req.ID]; f != nil && f.req.Organisation != req.Organisation || !e.ids.Accessible(e.now, req.ID, tag) {
		e.refuseUntracked(&req, idTaken())
		return
	}
	switch admission := e.ids.Admit(e.now, req.ID); admission.Kind {
	case owner.KindNew:
		e.ids.SetTag(e.now, req.ID, tag)
		e.accept(req)
	case owner.KindKnown:
		e.joinKnown(&req, admission)
	case owner.KindRemote:
		e.queryOwner(req, req.ID, admission.Owner)
	case owner.KindVoided:
		e.queryOwner(req, req.ID, admission.Delegate)
	case owner.KindExpired:
		e.refuseUntracked(&req, outcome.Undetermined(outcome.ReasonIDExpired, "the id is older than this entry remembers"))
	case owner.KindPrefixExpired:
		e.refuseUntracked(&req, outcome.Refused(outcome.ReasonIDExpired, 0, "the id's prefix is no longer good; ask for another"))
	case owner.KindFull:
		e.refuseUntracked(&req, outcome.Refused(outcome.ReasonEntryFull, retrySoon, "the entry remembers no more ids"))
	default:
		e.refuseUntracked(&req, outcome.Refused(outcome.ReasonMalformed, 0, "the request id is malformed"))
	}
}

// idTaken is the status for an id that another organisation's request already
// uses. It discloses nothing about that request.
func idTaken() outcome.Status {
	return outcome.Refused(outcome.ReasonMalformed, 0, "the request id names another request")
}

// refuseUntracked settles a request that never became a flight.
func (e *Entry) refuseUntracked(req *request.Request, status outcome.Status) {
	e.settleUntracked(req.ID, withKeyUnread(req, status))
}

// settleUntracked gives a caller the final status of an id without recording it
// in the table of ids.
func (e *Entry) settleUntracked(id ident.RequestID, status outcome.Status) {
	e.emit(Settle{ID: id, Status: status})
	e.recordDecision(Decision{ID: id, Event: EventSettled, Reason: status.Reason, Detail: string(status.Outcome)})
}

// joinKnown handles a resent id that this entry owns.
func (e *Entry) joinKnown(req *request.Request, admission owner.Admission) {
	if f := e.flights[req.ID]; f != nil {
		f.callerLeftAt = time.Time{}
		if f.cancelStatus.Outcome != "" {
			// The run was cancelled and has not ended yet, but its final status
			// is already settled.
			e.emit(Settle{ID: req.ID, Status: f.cancelStatus})
			return
		}
	}
	if admission.State == message.IDFinished && admission.Status.Outcome != outcome.Answered {
		e.emit(Settle{ID: req.ID, Status: withKeyUnread(req, admission.Status)})
		return
	}
	e.emit(Join{ID: req.ID, Of: req.ID})
}

// accept starts tracking a request that this entry owns.
func (e *Entry) accept(req request.Request) {
	f := &flight{req: req, subject: req.ID, stage: stageWaiting}
	e.recordDecision(Decision{ID: req.ID, Event: EventAccepted, Tier: req.Tier})
	if status, ok := e.admissible(&f.req); !ok {
		e.finish(f, status)
		return
	}
	e.addFlight(f)
	if claimed(&req) && e.enabled(guardClaim) {
		e.claim(f)
		return
	}
	e.place(f)
}

// claimed reports whether a request runs under an idempotency key.
func claimed(r *request.Request) bool { return r.Key != "" && !r.Idempotent }

// withKeyUnread changes "not run" to unknown if the log has not been read for
// the request's key. A caller that resends its key under another id applies the
// status to both requests, and the earlier one may have run.
func withKeyUnread(r *request.Request, status outcome.Status) outcome.Status {
	if claimed(r) && status.Outcome == outcome.NotRun && status.Reason != outcome.ReasonDuplicateKey {
		status.Outcome = outcome.Unknown
	}
	return status
}

// addFlight starts tracking a flight.
func (e *Entry) addFlight(f *flight) {
	e.flights[f.req.ID] = f
	e.perOrganisation[f.req.Organisation]++
	e.evictable.addWaiting(f)
}

// admissible checks the admission rules that do not depend on a target.
func (e *Entry) admissible(req *request.Request) (outcome.Status, bool) {
	if e.ids.Overdue(e.now, req.Arrived) {
		// The process was paused while the request was queued. Nothing has been
		// decided, so refusing is safe, and the caller may have left long ago.
		return outcome.Refused(outcome.ReasonProcessPaused, retrySoon, "the entry was paused; send again"), false
	}
	if !e.drain.AcceptsRequests() {
		return outcome.Refused(outcome.ReasonDraining, retrySoon, "the entry is stopping; ask which to use"), false
	}
	if e.doc == nil || e.state == message.Starting || e.state == message.Stopped {
		return outcome.Refused(outcome.ReasonNotReady, retrySoon, "the entry holds no configuration yet"), false
	}
	if !e.now.Before(req.Deadline) {
		return outcome.Refused(outcome.ReasonDeadlinePassed, 0, "the deadline has passed"), false
	}
	if status, quarantined := e.quarantined(req); quarantined {
		return status, false
	}
	if limit := e.organisationLimit(req.Organisation); limit > 0 && e.perOrganisation[req.Organisation] >= limit {
		return outcome.Refused(outcome.ReasonOrganisationLimit, retrySoon, "the organisation has as many requests in flight as it may"), false
	}
	if len(e.flights) >= e.doc.Limits.InFlight && !e.evictFor(req.Tier) {
		return outcome.Refused(outcome.ReasonEntryFull, retrySoon, "the entry holds as many requests as it may"), false
	}
	return outcome.Status{}, true
}

// quarantined returns the status of a request that crashes targets, or whose prompt begins like others that do.
func (e *Entry) quarantined(req *request.Request) (outcome.Status, bool) {
	if e.suspects.Check(e.now, req.Fingerprint) == quarantine.Quarantined {
		return outcome.Refused(outcome.ReasonQuarantined, 0, "targets died each time that they ran this request"), true
	}
	if left := e.refusedForPrefix(req); left > 0 {
		return outcome.Refused(outcome.ReasonQuarantined, left, "engines crashed on prompts that begin like this one"), true
	}
	return outcome.Status{}, false
}

// evictFor evicts a request of a lower tier when the entry is full, so that a
// full entry does not refuse a higher tier while it works for a lower one. It
// reports whether one was evicted.
func (e *Entry) evictFor(tier request.Tier) bool {
	f := e.evictable.lowestBelow(tier)
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

// handleTimer advances a flight whose timer has fired.
func (e *Entry) handleTimer(f *flight) {
	switch f.stage {
	case stageQuerying:
		e.handleQueryTimer(f)
	case stageSearching:
		e.settleRemote(f, f.fallbackStatus)
	case stageClaiming:
		e.handleClaimTimer(f)
	case stageWaiting:
		e.place(f)
	case stageOffered:
		e.handleOfferTimer(f)
	case stageRunning:
		e.handleRunTimer(f)
	case stageEnded:
	}
}

// callerLeft handles the disconnection of a request's last caller.
func (e *Entry) callerLeft(id ident.RequestID) {
	f := e.flights[id]
	if f == nil {
		return
	}
	if f.stage != stageRunning {
		e.abandon(f, outcome.Refused(outcome.ReasonCallerGone, 0, "the caller left before the request ran"))
		return
	}
	if preemptible(&f.req) {
		f.callerLeftAt = e.now
		e.wakeAt(f, e.now.Add(callerGrace))
	}
}

// handleRunTimer cancels a run once no caller has been connected for
// callerGrace.
func (e *Entry) handleRunTimer(f *flight) {
	if f.callerLeftAt.IsZero() {
		return
	}
	if until := f.callerLeftAt.Add(callerGrace); e.now.Before(until) {
		e.wakeAt(f, until)
		return
	}
	e.cancel(f, outcome.Partial(outcome.ReasonCallerGone, "the caller left"))
}

// abandon withdraws the offer of a flight that is not running, and settles the
// flight.
func (e *Entry) abandon(f *flight, status outcome.Status) {
	if f.stage == stageQuerying || f.stage == stageSearching {
		// Another entry owns the id and may run it. Only the owner can state
		// that it does not.
		e.settleRemote(f, outcome.Undetermined(status.Reason, status.Detail))
		return
	}
	e.withdraw(f)
	e.releaseClaim(f)
	e.finish(f, status)
}

// finish records and reports the final status of a flight that is not running.
func (e *Entry) finish(f *flight, status outcome.Status) {
	if !f.keyRead {
		status = withKeyUnread(&f.req, status)
	}
	e.close(f, status)
	e.emit(Settle{ID: f.req.ID, Status: status})
}

// close records the final status and drops the flight. It sends no status to
// the caller, because the edge already has the status of an ended run.
func (e *Entry) close(f *flight, status outcome.Status) {
	e.ids.Finish(e.now, f.req.ID, status)
	e.recordDecision(Decision{
		ID: f.req.ID, Event: EventSettled, Tier: f.req.Tier, Target: f.target,
		Reason: status.Reason, Detail: string(status.Outcome),
	})
	e.removeFlight(f)
}

// removeFlight stops tracking a flight.
func (e *Entry) removeFlight(f *flight) {
	f.stage = stageEnded
	if e.flights[f.req.ID] != f {
		return
	}
	delete(e.flights, f.req.ID)
	e.evictable.remove(f)
	e.perOrganisation[f.req.Organisation]--
	if e.perOrganisation[f.req.Organisation] <= 0 {
		delete(e.perOrganisation, f.req.Organisation)
	}
}
