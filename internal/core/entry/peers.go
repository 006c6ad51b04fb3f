package entry

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/scheduler"
)

// source identifies which of the entry's two schedulers made a decision:
// fromScheduler for the targets that this entry schedules for all entries,
// fromShare for its own share of targets whose scheduler is unresponsive.
type source bool

const (
	fromScheduler source = false
	fromShare     source = true
)

// delivery is a message from the entry to itself.
type delivery struct {
	message message.Message
	source  source
}

// send emits a message, or queues it for delivery at the end of this step if it
// is addressed to this entry.
func (e *Entry) send(to ident.Incarnation, m message.Message) {
	if to == e.cfg.Self.Incarnation {
		e.inbox = append(e.inbox, delivery{message: m, source: fromScheduler})
		return
	}
	e.emit(Send{To: to, Message: m})
}

// perform carries out the effects of a scheduler.
func (e *Entry) perform(effects []scheduler.Effect, src source) {
	for _, effect := range effects {
		if effect.To == e.cfg.Self.Incarnation {
			e.inbox = append(e.inbox, delivery{message: effect.Message, source: src})
			continue
		}
		e.emit(Send{To: effect.To, Message: effect.Message})
	}
}

// drainInbox delivers the messages that the entry sent to itself in this step.
func (e *Entry) drainInbox() {
	for len(e.inbox) > 0 {
		next := e.inbox[0]
		e.inbox = e.inbox[1:]
		e.deliver(e.cfg.Self.Incarnation, next.message, next.source)
	}
	e.inbox = e.inboxStore[:0]
}

// deliver passes a message to the component that handles it.
func (e *Entry) deliver(from ident.Incarnation, m message.Message, src source) {
	switch m := m.(type) {
	case message.Heartbeat:
		e.heartbeat(from, m)
	case message.Offer:
		e.offered(from, m)
	case message.Withdraw:
		e.perform(e.scheduler.Withdraw(e.now, from, m), fromScheduler)
	case message.Grant:
		e.granted(from, m, src == fromShare)
	case message.Queued:
		e.queued(from, m)
	case message.Refuse:
		e.refused(from, m, src == fromShare)
	case message.Preempt:
		e.preemptRequested(m)
	case message.Done:
		e.done(from, m)
	case message.Running:
		e.perform(e.scheduler.Running(e.now, from, m), fromScheduler)
	case message.FloorRequest:
		e.floorRequested(from, m)
	case message.FloorReply:
		e.perform(e.scheduler.FloorReply(e.now, from, m), fromScheduler)
	case message.OwnerRequest:
		e.ownerQueried(from, m)
	case message.OwnerReply:
		e.ownerReplied(from, m)
	case message.ClaimRequest:
		e.performClaims(e.claims.Claim(e.now, from, m.Key, m.ID))
	case message.ClaimReply:
		e.claimReplied(m)
	case message.ClaimRelease:
		e.performClaims(e.claims.Release(e.now, m.Key, m.ID))
	case message.Suspicion:
		e.mergeSuspicion(m)
	case message.DocumentRequest:
		e.documentRequested(from)
	case message.DocumentReply:
		e.documentReceived(m)
	}
}

// offered accepts an offer if the target is scheduled here. Otherwise the owner
// has a different view of the members, and the refusal makes it offer again.
func (e *Entry) offered(from ident.Incarnation, o message.Offer) {
	if e.schedulerOf(o.Target) != e.cfg.Self.Incarnation {
		e.send(from, message.Refuse{ID: o.ID, Target: o.Target, Alternative: o.Target})
		return
	}
	e.perform(e.scheduler.Offer(e.now, from, o), fromScheduler)
}

// floorRequested applies the floor to both schedulers: work that this entry
// admits by its own share of another scheduler's target counts like any other.
// Only the reply for the targets scheduled here is sent.
func (e *Entry) floorRequested(from ident.Incarnation, a message.FloorRequest) {
	e.recordDecision(Decision{ID: a.Need.ID, Event: EventFloor, Tier: a.Tier, Detail: a.Pool})
	for _, effect := range e.shareScheduler.FloorAsk(e.now, from, a) {
		if _, answer := effect.Message.(message.FloorReply); answer {
			continue
		}
		e.perform([]scheduler.Effect{effect}, fromShare)
	}
	e.perform(e.scheduler.FloorAsk(e.now, from, a), fromScheduler)
}

// done frees a slot and records runs that broke off for crash detection.
func (e *Entry) done(from ident.Incarnation, d message.Done) {
	if d.Result == message.ResultAborted && e.schedulerOf(d.Target) == e.cfg.Self.Incarnation {
		e.recordCrash(d)
	}
	e.perform(e.scheduler.Done(e.now, from, d), fromScheduler)
}
