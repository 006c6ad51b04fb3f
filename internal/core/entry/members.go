package entry

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/membership"
	"sycamoretrail/internal/core/message"
)

// membershipEvery bounds how often the members are looked through.
const membershipEvery = 20 * time.Millisecond

func (e *Entry) membershipConfig() membership.Config {
	return membership.Config{Heartbeat: e.timing.heartbeat, Silence: e.timing.silence, Seed: e.cfg.Seed}
}

// beat sends the heartbeats that are due.
func (e *Entry) beat() {
	if !e.now.Before(e.digestsAt) {
		e.digestsAt = e.now.Add(e.timing.heartbeat)
		e.tellSelf()
	}
	for _, b := range e.members.Beats(e.now) {
		e.send(b.Peer, b.Beat)
	}
}

// tellSelf renews what heartbeats say of this entry, and what it routes by.
func (e *Entry) tellSelf() {
	digests := e.places.Digests(e.now)
	e.learnDigests(e.cfg.Self.Incarnation, digests)
	e.members.SetSelf(e.now, membership.Self{
		State: e.state, ConfigVersion: e.version, InFlight: len(e.flights), Digests: digests,
	})
}

func (e *Entry) heartbeat(from ident.Incarnation, h message.Heartbeat) {
	e.members.Beat(e.now, from, h)
	e.learnDigests(from, h.Digests)
	if h.ConfigVersion > e.version || !e.on(guardVersion) && h.ConfigVersion != e.version {
		// The log is slow here or out: the peer holds a newer document.
		e.send(from, message.DocumentAsk{})
	}
}

// learnDigests takes the word of a target's present scheduler only: a former
// one may still speak of targets that were taken from it.
func (e *Entry) learnDigests(from ident.Incarnation, digests []message.Digest) {
	for _, d := range digests {
		if e.schedulerOf(d.Target) == from {
			e.router.Digest(e.now, d)
		}
	}
}

// lookAtMembers finds out what changed among the members. After a pause of this
// process it finds that first, whatever the input is, so that no grant or
// digest from before the pause is acted on.
func (e *Entry) lookAtMembers() {
	if e.now.Before(e.membersAt) {
		return
	}
	e.membersAt = e.now.Add(membershipEvery)
	e.takeChanges()
}

func (e *Entry) takeChanges() {
	changes := e.members.Tick(e.now)
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		e.memberChanged(c)
	}
	e.rebalance()
	e.changed = true
}

func (e *Entry) memberChanged(c membership.Change) {
	e.note(Decision{Event: EventMember, Detail: c.String()})
	switch c.Kind {
	case membership.Paused:
		e.woke()
	case membership.MemberLost, membership.MemberReplaced, membership.MemberRemoved:
		e.perform(e.places.PeerGone(e.now, c.Member.Incarnation), fromPlaces)
	}
}

// woke is called after this process stood still for longer than the silence
// limit: others may have taken its targets, so it grants nothing until it has
// heard its peers again and the owners have told it what they run there.
func (e *Entry) woke() {
	e.wokeAt = e.now
	e.plan.SetMembers(nil)
	e.perform(e.places.SetTargets(e.now, nil), fromPlaces)
}
