package entry

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/scheduler"
)

// source tells which of the entry's two schedulers decided something: places
// are the targets that it schedules for all, share is its own part of targets
// whose scheduler is silent.
type source bool

const (
	fromPlaces source = false
	fromShare  source = true
)

// delivery is a message of the entry to itself.
type delivery struct {
	message message.Message
	source  source
}

// send puts a message out, or keeps it for delivery at the end of this step if
// the entry is its own addressee.
func (e *Entry) send(to ident.Incarnation, m message.Message) {
	if to == e.cfg.Self.Incarnation {
		e.inbox = append(e.inbox, delivery{message: m, source: fromPlaces})
		return
	}
	e.emit(Send{To: to, Message: m})
}

// perform carries out what a scheduler decided.
func (e *Entry) perform(effects []scheduler.Effect, src source) {
	for _, effect := range effects {
		if effect.To == e.cfg.Self.Incarnation {
			e.inbox = append(e.inbox, delivery{message: effect.Message, source: src})
			continue
		}
		e.emit(Send{To: effect.To, Message: effect.Message})
	}
}

// drainInbox delivers what the entry said to itself in this step.
func (e *Entry) drainInbox() {
	for len(e.inbox) > 0 {
		next := e.inbox[0]
		e.inbox = e.inbox[1:]
		e.deliver(e.cfg.Self.Incarnation, next.message, next.source)
	}
	e.inbox = e.inboxStore[:0]
}

// deliver hands a message to the duty that it concerns.
func (e *Entry) deliver(from ident.Incarnation, m message.Message, src source) {
	switch m := m.(type) {
	case message.Heartbeat:
		e.heartbeat(from, m)
	case message.Offer:
		e.offered(from, m)
	case message.Withdraw:
		e.perform(e.places.Withdraw(e.now, from, m), fromPlaces)
	case message.Grant:
		e.granted(from, m, src == fromShare)
	case message.Queued:
		e.queued(from, m)
	case message.Refuse:
		e.refused(from, m, src == fromShare)
	case message.Preempt:
		e.preemptAsked(m)
	case message.Done:
		e.done(from, m)
	case message.Running:
		e.perform(e.places.Running(e.now, from, m), fromPlaces)
	case message.FloorAsk:
		e.floorAsked(from, m)
	case message.FloorReply:
		e.perform(e.places.FloorReply(e.now, from, m), fromPlaces)
	case message.OwnerAsk:
		e.ownerAsked(from, m)
	case message.OwnerReply:
		e.ownerTold(from, m)
	case message.ClaimAsk:
		e.performClaims(e.claims.Ask(e.now, from, m.Key, m.ID))
	case message.ClaimReply:
		e.claimTold(m)
	case message.ClaimRelease:
		e.performClaims(e.claims.Release(e.now, m.Key, m.ID))
	case message.Suspicion:
		e.performSuspects(e.suspects.Merge(e.now, m))
	case message.DocumentAsk:
		e.documentAsked(from)
	case message.DocumentReply:
		e.documentTold(m)
	}
}

// offered takes an offer if the target is scheduled here; otherwise the owner's
// view of the members differs from ours, and it is told to look again.
func (e *Entry) offered(from ident.Incarnation, o message.Offer) {
	if e.schedulerOf(o.Target) != e.cfg.Self.Incarnation {
		e.send(from, message.Refuse{ID: o.ID, Target: o.Target, Elsewhere: o.Target})
		return
	}
	e.perform(e.places.Offer(e.now, from, o), fromPlaces)
}

// floorAsked makes both schedulers keep the floor: work that this entry lets in
// by its own share of a silent scheduler's target counts as much as any other.
// The answer is that of the targets scheduled here.
func (e *Entry) floorAsked(from ident.Incarnation, a message.FloorAsk) {
	e.note(Decision{ID: a.Need.ID, Event: EventFloor, Tier: a.Tier, Detail: a.Pool})
	for _, effect := range e.share.FloorAsk(e.now, from, a) {
		if _, answer := effect.Message.(message.FloorReply); answer {
			continue
		}
		e.perform([]scheduler.Effect{effect}, fromShare)
	}
	e.perform(e.places.FloorAsk(e.now, from, a), fromPlaces)
}

// done frees a place and feeds the watch for targets that died.
func (e *Entry) done(from ident.Incarnation, d message.Done) {
	if d.Result == message.ResultBroken && e.schedulerOf(d.Target) == e.cfg.Self.Incarnation {
		e.brokenAt(d)
	}
	e.perform(e.places.Done(e.now, from, d), fromPlaces)
}
