package entry

import (
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/drain"
	"sycamoretrail/internal/core/message"
)

// drainConfig takes the times of a planned stop from the document in force.
func (e *Entry) drainConfig() drain.Config {
	cfg := drain.Config{Settle: e.timing.silence, AnswerTTL: startingPeriod, Bound: startingDrain}
	if e.members != nil {
		// Grows with the number of members.
		cfg.Settle = e.members.Silence()
	}
	if e.doc != nil {
		cfg.AnswerTTL = document.Milliseconds(e.doc.Shutdown.EntriesTTLMS)
		cfg.Bound = document.Milliseconds(e.doc.Shutdown.DrainMS)
	}
	return cfg
}

// settleState moves the entry through its stages of life.
func (e *Entry) settleState() {
	next := e.nextState()
	if next == e.state {
		return
	}
	e.state = next
	e.tellSelf()
	e.takeChanges()
	e.rebalance()
	e.changed = true
	if next == message.Stopped {
		e.emit(Drained{})
	}
}

func (e *Entry) nextState() message.State {
	switch stage := e.drain.Tick(e.now, e.stillHeld()); {
	case stage == drain.Drained:
		return message.Stopped
	case stage != drain.Serving:
		return message.Draining
	case e.state == message.Starting && e.doc != nil && e.now.Sub(e.began) >= settleTime:
		return message.Ready
	}
	return e.state
}

func (e *Entry) stillHeld() drain.Held {
	held := drain.Held{InFlight: len(e.flights), Appends: len(e.pending), Answers: e.answering}
	if !e.on(guardDrain) {
		held.InFlight = 0
	}
	if e.state == message.Draining {
		held.Targets = len(e.plan.Scheduled(e.cfg.Self.Incarnation))
	}
	return held
}

// settleTime is how long a starting entry listens for peers before it is ready,
// so that it does not schedule targets that others hold.
const settleTime = 300 * time.Millisecond

// publish gives the edges a new view if anything in it changed.
func (e *Entry) publish() {
	prefix, good := e.ids.Prefix(e.now)
	if prefix != e.prefix {
		e.prefix = prefix
		e.changed = true
	}
	if !e.changed {
		return
	}
	e.changed = false
	view := &View{
		State: e.state, Version: e.version, Document: e.doc,
		Entries: e.members.Entries(e.now, e.cfg.Self.Zone),
		Probes:  e.probes(), Prefix: prefix, GoodFor: good,
	}
	e.emit(Publish{View: view})
}
