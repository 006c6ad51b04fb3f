package entry

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/owner"
	"sycamoretrail/internal/core/request"
)

// queryOwner starts to query the state of subject, an id that another entry
// owns: the request's own id, resent to this entry, or the id that holds its
// key.
func (e *Entry) queryOwner(req request.Request, subject ident.RequestID, holder ident.Incarnation) {
	f := &flight{req: req, subject: subject, stage: stageQuerying, giveUpAt: e.now.Add(e.timing.silence)}
	if e.flights[req.ID] != nil {
		e.emit(Join{ID: req.ID, Of: req.ID})
		return
	}
	e.addFlight(f)
	e.sendOwnerQuery(f, holder)
}

// sendOwnerQuery queries an entry. An owner without a link has been replaced or
// cannot be reached; then only its run may still be found.
func (e *Entry) sendOwnerQuery(f *flight, holder ident.Incarnation) {
	if holder == e.cfg.Self.Incarnation {
		e.resolveLocally(f)
		return
	}
	if !e.members.Reachable(holder) {
		e.searchRun(f, e.ownerDeparted())
		return
	}
	f.queried = holder
	e.requestSeq++
	e.send(holder, message.OwnerRequest{Seq: e.requestSeq, ID: f.subject, StateOnly: f.subject != f.req.ID, Tag: owner.Tag(f.req.Organisation)})
	e.wakeAt(f, e.now.Add(e.timing.grant))
}

// resolveLocally handles a query that leads back to this entry. If the subject
// holds the request's key and its id was handed over to this entry, the request
// joins it. Otherwise nothing is recorded here, and the run is searched for.
func (e *Entry) resolveLocally(f *flight) {
	state := e.stateOf(f.subject)
	switch state.State {
	case message.IDWaiting, message.IDRunning, message.IDFinished:
		if f.subject != f.req.ID {
			e.joinWinner(f, f.subject, state)
			return
		}
	}
	e.searchRun(f, e.ownerDeparted())
}

func (e *Entry) handleQueryTimer(f *flight) {
	if !e.now.Before(f.giveUpAt) && e.enabled(guardGiveUp) {
		e.searchRun(f, outcome.Undetermined(outcome.ReasonOwnerUnreachable, "the entry that owns the id does not answer"))
		return
	}
	e.sendOwnerQuery(f, f.queried)
}

// ownerQueried answers a peer's query about an id that this entry owns.
func (e *Entry) ownerQueried(from ident.Incarnation, q message.OwnerRequest) {
	if q.OwnerDeparted {
		e.orphanQueried(from, q)
		return
	}
	reply := e.stateFor(from, q)
	reply.Seq = q.Seq
	e.send(from, reply)
}

func (e *Entry) stateFor(from ident.Incarnation, q message.OwnerRequest) message.OwnerReply {
	if q.StateOnly {
		// The requester needs the outcome of another request and does not take
		// over its id.
		return e.stateOf(q.ID)
	}
	if !e.ids.Accessible(e.now, q.ID, q.Tag) {
		return message.OwnerReply{ID: q.ID, State: message.IDFinished, Status: idTaken()}
	}
	if !e.enabled(guardVoid) {
		return message.OwnerReply{ID: q.ID, State: message.IDVoided}
	}
	reply := e.ids.Query(e.now, from, q.ID)
	if reply.State == message.IDVoided {
		e.ids.SetTag(e.now, q.ID, q.Tag)
	}
	return reply
}

// stateOf returns what this entry remembers of an id, without recording
// anything.
func (e *Entry) stateOf(id ident.RequestID) message.OwnerReply {
	known := e.ids.State(e.now, id)
	reply := message.OwnerReply{ID: id, State: message.IDExpired}
	switch known.Kind {
	case owner.KindKnown:
		reply.State = known.State
		reply.Status = known.Status
		reply.Target = known.Target
	case owner.KindVoided:
		reply.State = message.IDTransferred
		reply.Delegate = known.Delegate
	}
	return reply
}

// ownerReplied handles the owner's reply to a query.
func (e *Entry) ownerReplied(from ident.Incarnation, r message.OwnerReply) {
	for _, f := range e.waitingFor(r.ID, stageQuerying) {
		if f.queried == from {
			e.followState(f, from, r)
		}
	}
	if r.State == message.IDRunning {
		e.orphanFound(from, r)
	}
}

// waitingFor returns the flights in stage at that wait for the state of
// subject, in order of arrival.
func (e *Entry) waitingFor(subject ident.RequestID, at stage) []*flight {
	if f := e.flights[subject]; f != nil && f.stage == at && f.subject == subject {
		return []*flight{f}
	}
	var found []*flight
	for _, id := range e.losersByWinner[subject] {
		if f := e.flights[id]; f != nil && f.stage == at {
			found = append(found, f)
		}
	}
	return found
}

func (e *Entry) followState(f *flight, holder ident.Incarnation, r message.OwnerReply) {
	switch r.State {
	case message.IDVoided:
		e.adopt(f)
	case message.IDTransferred:
		e.sendOwnerQuery(f, r.Delegate)
	case message.IDWaiting:
		f.giveUpAt = earlier(e.now.Add(e.timing.silence), f.req.Deadline)
	case message.IDRunning:
		e.followRun(f, holder, r.Target)
	case message.IDFinished:
		e.followFinished(f, holder, r)
	default:
		e.settleRemote(f, outcome.Undetermined(outcome.ReasonIDExpired, "the owner no longer remembers the id"))
	}
}

// adopt makes this entry the owner of an id that its previous owner handed
// over.
func (e *Entry) adopt(f *flight) {
	e.removeFlight(f)
	if !e.ids.Adopt(e.now, f.req.ID) {
		e.refuseUntracked(&f.req, outcome.Refused(outcome.ReasonEntryFull, retrySoon, "the entry remembers no more ids"))
		return
	}
	e.ids.SetTag(e.now, f.req.ID, owner.Tag(f.req.Organisation))
	e.accept(f.req)
}

// followRun attaches the caller to a run that another entry dispatched. An
// engine can serve the stream again itself; the answer of a plain service is
// held by its owner alone.
func (e *Entry) followRun(f *flight, holder ident.Incarnation, target string) {
	spec, known := e.index.Target(target)
	if f.req.Kind == request.Engine && known {
		e.removeRemote(f)
		e.emit(Attach{ID: f.req.ID, Of: f.subject, Target: target, Address: spec.Address})
		return
	}
	address, reachable := e.members.CallerAddress(holder)
	if !reachable {
		e.settleRemote(f, outcome.Undetermined(outcome.ReasonOwnerUnreachable, "the entry that holds the answer cannot be reached"))
		return
	}
	e.removeRemote(f)
	e.emit(SeeOther{ID: f.req.ID, Of: f.subject, Target: target, Address: address})
}

func (e *Entry) followFinished(f *flight, holder ident.Incarnation, r message.OwnerReply) {
	if r.Status.Outcome == outcome.Answered {
		e.followRun(f, holder, r.Target)
		return
	}
	e.settleRemote(f, r.Status)
}

// settleRemote gives the caller the known status of an id that another entry
// owns. The status is not recorded, because only the owner's is final.
func (e *Entry) settleRemote(f *flight, status outcome.Status) {
	e.removeRemote(f)
	if f.subject != f.req.ID {
		// The status of the key's first request applies to the key.
		e.settleUntracked(f.req.ID, status)
		return
	}
	e.refuseUntracked(&f.req, status)
}

// removeRemote stops tracking a flight whose subject another entry owns.
func (e *Entry) removeRemote(f *flight) {
	e.removeFlight(f)
	if f.subject == f.req.ID {
		return
	}
	// A request that lost its key never runs. Its claim is released; otherwise
	// it would hold the key once the winner's claim is released or has expired.
	e.releaseKey(&f.req)
	e.ids.Finish(e.now, f.req.ID, outcome.Refused(outcome.ReasonDuplicateKey, 0, "the idempotency key belongs to another request"))
	waiting := e.losersByWinner[f.subject]
	for i, id := range waiting {
		if id == f.req.ID {
			waiting = append(waiting[:i:i], waiting[i+1:]...)
			break
		}
	}
	if len(waiting) == 0 {
		delete(e.losersByWinner, f.subject)
		return
	}
	e.losersByWinner[f.subject] = waiting
}
