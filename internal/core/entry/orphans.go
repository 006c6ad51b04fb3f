package entry

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/owner"
	"sycamoretrail/internal/core/request"
)

// searchRun searches for the run of an id whose owner has departed or does not
// answer. An engine continues a stream whose entry has crashed, and the
// scheduler of its target still counts the run, so the caller can get the
// complete answer without a stream token. The answer of a plain service is lost
// with its owner. If no run is found, the caller gets the fallback status.
func (e *Entry) searchRun(f *flight, fallback outcome.Status) {
	if f.req.Kind != request.Engine || e.index == nil {
		e.settleRemote(f, fallback)
		return
	}
	if target, found := e.orphanRun(f.subject, owner.Tag(f.req.Organisation)); found {
		e.followRun(f, e.cfg.Self.Incarnation, target)
		return
	}
	f.stage = stageSearching
	f.fallbackStatus = fallback
	e.requestSeq++
	e.broadcast(message.OwnerRequest{Seq: e.requestSeq, ID: f.subject, StateOnly: true, OwnerDeparted: true, Tag: owner.Tag(f.req.Organisation)})
	e.wakeAt(f, e.now.Add(e.timing.grant))
}

// ownerDeparted returns the status of an id whose owner has departed. Whether
// the owner dispatched it is unknown, and reporting "not run" could turn one
// release into two charges.
func (e *Entry) ownerDeparted() outcome.Status {
	status := outcome.Undetermined(outcome.ReasonOwnerReplaced, "the entry that owns the id is gone")
	if !e.enabled(guardOwnerGone) {
		status.Outcome = outcome.NotRun
	}
	return status
}

// orphanQueried replies only if the run is at a target that is scheduled here.
func (e *Entry) orphanQueried(from ident.Incarnation, q message.OwnerRequest) {
	if target, found := e.orphanRun(q.ID, q.Tag); found {
		e.send(from, message.OwnerReply{Seq: q.Seq, ID: q.ID, State: message.IDRunning, Target: target})
	}
}

// orphanRun finds a run at a target that is scheduled here. It finds runs of
// the organisation with the given tag only.
func (e *Entry) orphanRun(id ident.RequestID, tag uint32) (string, bool) {
	target, organisation, found := e.scheduler.RunOf(id)
	return target, found && owner.Tag(organisation) == tag
}

// orphanFound attaches the callers that wait for the run.
func (e *Entry) orphanFound(from ident.Incarnation, r message.OwnerReply) {
	for _, f := range e.waitingFor(r.ID, stageSearching) {
		e.followRun(f, from, r.Target)
	}
}
