package entry

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/membership"
	"sycamoretrail/internal/core/message"
)

// membersCheckInterval is the shortest time between checks of the members.
const membersCheckInterval = 20 * time.Millisecond

func (e *Entry) membershipConfig() membership.Config {
	return membership.Config{Heartbeat: e.timing.heartbeat, FailureTimeout: e.timing.silence, Seed: e.cfg.Seed}
}

// sendHeartbeats sends the heartbeats that are due.
func (e *Entry) sendHeartbeats() {
	if !e.now.Before(e.nextDigests) {
		e.nextDigests = e.now.Add(e.timing.heartbeat)
		e.updateSelf()
	}
	for _, b := range e.members.DueHeartbeats(e.now) {
		e.send(b.Peer, b.Heartbeat)
	}
}

// updateSelf updates the state that heartbeats announce and the digests of this
// entry's own targets.
func (e *Entry) updateSelf() {
	digests := e.scheduler.Digests(e.now)
	e.applyDigests(e.cfg.Self.Incarnation, digests)
	e.members.SetSelf(e.now, membership.Self{
		State: e.state, ConfigVersion: e.version, InFlight: len(e.flights), Digests: digests,
	})
}

func (e *Entry) heartbeat(from ident.Incarnation, h message.Heartbeat) {
	e.members.ReceiveHeartbeat(e.now, from, h)
	e.applyDigests(from, h.Digests)
	if h.ConfigVersion > e.version || !e.enabled(guardVersion) && h.ConfigVersion != e.version {
		// The log is slow or unavailable here: the peer holds a newer document.
		e.send(from, message.DocumentRequest{})
	}
}

// applyDigests accepts digests only from a target's current scheduler. A
// previous one may still report on targets that have been reassigned.
func (e *Entry) applyDigests(from ident.Incarnation, digests []message.Digest) {
	for _, d := range digests {
		if e.schedulerOf(d.Target) == from {
			e.router.Digest(e.now, d)
		}
	}
}

// checkMembers applies membership changes. It runs before any input is handled,
// so that a pause of this process is detected before a grant or digest from
// before the pause is used.
func (e *Entry) checkMembers() {
	if e.now.Before(e.nextMembersCheck) {
		return
	}
	e.nextMembersCheck = e.now.Add(membersCheckInterval)
	e.applyMemberChanges()
}

func (e *Entry) applyMemberChanges() {
	changes := e.members.Tick(e.now)
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		e.memberChanged(c)
	}
	e.rebalance()
	e.viewChanged = true
}

func (e *Entry) memberChanged(c membership.Change) {
	e.recordDecision(Decision{Event: EventMember, Detail: c.String()})
	switch c.Kind {
	case membership.Paused:
		e.resumed()
	case membership.MemberLost, membership.MemberReplaced, membership.MemberRemoved:
		e.perform(e.scheduler.PeerTerminated(e.now, c.Member.Incarnation), fromScheduler)
	}
}

// resumed handles a pause of this process longer than the failure-detection
// timeout. Others may have taken over its targets, so it grants nothing until it
// has contact with its peers again and the owners have reported their runs
// there.
func (e *Entry) resumed() {
	e.resumedAt = e.now
	e.plan.SetMembers(nil)
	e.perform(e.scheduler.SetTargets(e.now, nil), fromScheduler)
}
