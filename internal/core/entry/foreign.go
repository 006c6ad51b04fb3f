package entry

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/owner"
	"sycamoretrail/internal/core/request"
)

// askOwner begins to find out what became of subject, an id that another entry
// owns: the request's own id sent again here, or the winner of its key.
func (e *Entry) askOwner(req request.Request, subject ident.RequestID, holder ident.Incarnation) {
	f := &flight{req: req, subject: subject, stage: stageAsking, giveUp: e.now.Add(e.timing.silence)}
	if e.flights[req.ID] != nil {
		e.emit(Join{ID: req.ID, Of: req.ID})
		return
	}
	e.enter(f)
	e.ask(f, holder)
}

// ask puts the question to an entry. An owner to which no link stands has been
// replaced or cannot be reached; then only its run may still be found.
func (e *Entry) ask(f *flight, holder ident.Incarnation) {
	if holder == e.cfg.Self.Incarnation {
		e.askSelf(f)
		return
	}
	if !e.members.Reachable(holder) {
		e.seek(f, e.ownerGone())
		return
	}
	f.asked = holder
	e.asks++
	e.send(holder, message.OwnerAsk{Seq: e.asks, ID: f.subject, Known: f.subject != f.req.ID, Tag: owner.Tag(f.req.Organisation)})
	e.wakeAt(f, e.now.Add(e.timing.grant))
}

// askSelf answers from this entry's own memory, where a key's winner was given up
// to this entry. Of any other id that leads back here nothing is known.
func (e *Entry) askSelf(f *flight) {
	told := e.told(f.subject)
	switch told.Standing {
	case message.StandingWaiting, message.StandingRunning, message.StandingFinished:
		if f.subject != f.req.ID {
			e.joinWinner(f, f.subject, told)
			return
		}
	}
	e.seek(f, e.ownerGone())
}

func (e *Entry) attendAsking(f *flight) {
	if !e.now.Before(f.giveUp) && e.on(guardGiveUp) {
		e.seek(f, outcome.Undetermined(outcome.ReasonOwnerUnreachable, "the entry that owns the id does not answer"))
		return
	}
	e.ask(f, f.asked)
}

// ownerAsked answers a peer's question about an id that is owned here.
func (e *Entry) ownerAsked(from ident.Incarnation, q message.OwnerAsk) {
	if q.Orphan {
		e.orphanAsked(from, q)
		return
	}
	reply := e.standingFor(from, q)
	reply.Seq = q.Seq
	e.send(from, reply)
}

func (e *Entry) standingFor(from ident.Incarnation, q message.OwnerAsk) message.OwnerReply {
	if q.Known {
		// The asker wants the outcome of another's request, not its id.
		return e.told(q.ID)
	}
	if !e.ids.Belongs(e.now, q.ID, q.Tag) {
		return message.OwnerReply{ID: q.ID, Standing: message.StandingFinished, Status: anothersID()}
	}
	if !e.on(guardVoid) {
		return message.OwnerReply{ID: q.ID, Standing: message.StandingVoided}
	}
	reply := e.ids.Ask(e.now, from, q.ID)
	if reply.Standing == message.StandingVoided {
		e.ids.Mark(e.now, q.ID, q.Tag)
	}
	return reply
}

// told says what is remembered of an id, without recording anything.
func (e *Entry) told(id ident.RequestID) message.OwnerReply {
	known := e.ids.Standing(e.now, id)
	reply := message.OwnerReply{ID: id, Standing: message.StandingExpired}
	switch known.Kind {
	case owner.KindKnown:
		reply.Standing = known.Standing
		reply.Status = known.Status
		reply.Target = known.Target
	case owner.KindVoided:
		reply.Standing = message.StandingElsewhere
		reply.Delegate = known.Delegate
	}
	return reply
}

// ownerTold acts on what the owner said.
func (e *Entry) ownerTold(from ident.Incarnation, r message.OwnerReply) {
	for _, f := range e.waitingFor(r.ID, stageAsking) {
		if f.asked == from {
			e.followStanding(f, from, r)
		}
	}
	if r.Standing == message.StandingRunning {
		e.orphanFound(from, r)
	}
}

// waitingFor lists the flights that wait for word on an id, in the order in
// which they came.
func (e *Entry) waitingFor(subject ident.RequestID, at stage) []*flight {
	if f := e.flights[subject]; f != nil && f.stage == at && f.subject == subject {
		return []*flight{f}
	}
	var found []*flight
	for _, id := range e.asking[subject] {
		if f := e.flights[id]; f != nil && f.stage == at {
			found = append(found, f)
		}
	}
	return found
}

func (e *Entry) followStanding(f *flight, holder ident.Incarnation, r message.OwnerReply) {
	switch r.Standing {
	case message.StandingVoided:
		e.adopt(f)
	case message.StandingElsewhere:
		e.ask(f, r.Delegate)
	case message.StandingWaiting:
		f.giveUp = earlier(e.now.Add(e.timing.silence), f.req.Deadline)
	case message.StandingRunning:
		e.followRun(f, holder, r.Target)
	case message.StandingFinished:
		e.followFinished(f, holder, r)
	default:
		e.settleForeign(f, outcome.Undetermined(outcome.ReasonIDExpired, "the owner no longer remembers the id"))
	}
}

// adopt makes this entry the owner of an id that its former owner gave up.
func (e *Entry) adopt(f *flight) {
	e.leave(f)
	if !e.ids.Adopt(e.now, f.req.ID) {
		e.refuseUnseen(&f.req, outcome.Refused(outcome.ReasonEntryFull, retrySoon, "the entry remembers no more ids"))
		return
	}
	e.ids.Mark(e.now, f.req.ID, owner.Tag(f.req.Organisation))
	e.accept(f.req)
}

// followRun attaches the caller to a run that another entry dispatched. An
// engine serves the stream again itself; a plain service's answer is with its
// owner alone.
func (e *Entry) followRun(f *flight, holder ident.Incarnation, target string) {
	spec, known := e.index.Target(target)
	if f.req.Kind == request.Engine && known {
		e.leaveForeign(f)
		e.emit(Attach{ID: f.req.ID, Of: f.subject, Target: target, Address: spec.Address})
		return
	}
	address, reachable := e.members.CallerAddress(holder)
	if !reachable {
		e.settleForeign(f, outcome.Undetermined(outcome.ReasonOwnerUnreachable, "the entry that holds the answer cannot be reached"))
		return
	}
	e.leaveForeign(f)
	e.emit(SeeOther{ID: f.req.ID, Of: f.subject, Target: target, Address: address})
}

func (e *Entry) followFinished(f *flight, holder ident.Incarnation, r message.OwnerReply) {
	if r.Status.Outcome == outcome.Answered {
		e.followRun(f, holder, r.Target)
		return
	}
	e.settleForeign(f, r.Status)
}

// settleForeign tells the caller what is known of an id that is not owned here.
// Nothing is recorded: only the owner's word is.
func (e *Entry) settleForeign(f *flight, status outcome.Status) {
	e.leaveForeign(f)
	if f.subject != f.req.ID {
		// The word on the key's first request is the word on the key.
		e.tell(f.req.ID, status)
		return
	}
	e.refuseUnseen(&f.req, status)
}

func (e *Entry) leaveForeign(f *flight) {
	e.leave(f)
	if f.subject == f.req.ID {
		return
	}
	// A loser of its key runs never. Its claim is released, or it would hold
	// the key once the winner's claim is released or has aged out.
	e.releaseKey(&f.req)
	e.ids.Finish(e.now, f.req.ID, outcome.Refused(outcome.ReasonDuplicateKey, 0, "the idempotency key belongs to another request"))
	waiting := e.asking[f.subject]
	for i, id := range waiting {
		if id == f.req.ID {
			waiting = append(waiting[:i:i], waiting[i+1:]...)
			break
		}
	}
	if len(waiting) == 0 {
		delete(e.asking, f.subject)
		return
	}
	e.asking[f.subject] = waiting
}
