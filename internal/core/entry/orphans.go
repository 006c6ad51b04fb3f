package entry

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/owner"
	"sycamoretrail/internal/core/request"
)

// seek looks for the run of an id whose owner is gone. An engine goes on with a
// stream whose entry died, and the scheduler of its target still counts the run,
// so the caller may get the whole answer although it never got a stream token.
// A plain service's answer died with its owner. If nothing is found the caller
// is told the doubt.
func (e *Entry) seek(f *flight, doubt outcome.Status) {
	if f.req.Kind != request.Engine || e.index == nil {
		e.settleForeign(f, doubt)
		return
	}
	if target, found := e.orphanAt(f.subject, owner.Tag(f.req.Organisation)); found {
		e.followRun(f, e.cfg.Self.Incarnation, target)
		return
	}
	f.stage = stageSeeking
	f.doubt = doubt
	e.asks++
	e.broadcast(message.OwnerAsk{Seq: e.asks, ID: f.subject, Known: true, Orphan: true, Tag: owner.Tag(f.req.Organisation)})
	e.wakeAt(f, e.now.Add(e.timing.grant))
}

// ownerGone is the word on an id whose owner is gone. Whether it dispatched is
// not known, and saying "not run" could turn one release into two charges.
func (e *Entry) ownerGone() outcome.Status {
	status := outcome.Undetermined(outcome.ReasonOwnerReplaced, "the entry that owns the id is gone")
	if !e.on(guardOwnerGone) {
		status.Outcome = outcome.NotRun
	}
	return status
}

// orphanAsked answers only if the run is at a target that is scheduled here.
func (e *Entry) orphanAsked(from ident.Incarnation, q message.OwnerAsk) {
	if target, found := e.orphanAt(q.ID, q.Tag); found {
		e.send(from, message.OwnerReply{Seq: q.Seq, ID: q.ID, Standing: message.StandingRunning, Target: target})
	}
}

// orphanAt finds a run at a target that is scheduled here, for the organisation
// that sent it only.
func (e *Entry) orphanAt(id ident.RequestID, tag uint32) (string, bool) {
	target, organisation, found := e.places.RunOf(id)
	return target, found && owner.Tag(organisation) == tag
}

// orphanFound attaches the callers that wait for word on the run.
func (e *Entry) orphanFound(from ident.Incarnation, r message.OwnerReply) {
	for _, f := range e.waitingFor(r.ID, stageSeeking) {
		e.followRun(f, from, r.Target)
	}
}
