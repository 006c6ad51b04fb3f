package entry

import (
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/drain"
	"sycamoretrail/internal/core/message"
)

// drainConfig returns the times of a planned stop from the document in force.
func (e *Entry) drainConfig() drain.Config {
	cfg := drain.Config{PeerTimeout: e.timing.silence, AnswerTTL: startingPeriod, Bound: startingDrain}
	if e.members != nil {
		// It grows with the number of members.
		cfg.PeerTimeout = e.members.FailureTimeout()
	}
	if e.doc != nil {
		cfg.AnswerTTL = document.Milliseconds(e.doc.Shutdown.EntriesTTLMS)
		cfg.Bound = document.Milliseconds(e.doc.Shutdown.DrainMS)
	}
	return cfg
}

// updateState updates the entry's life cycle state.
func (e *Entry) updateState() {
	next := e.nextState()
	if next == e.state {
		return
	}
	e.state = next
	e.updateSelf()
	e.applyMemberChanges()
	e.rebalance()
	e.viewChanged = true
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
	case e.state == message.Starting && e.doc != nil && e.now.Sub(e.startedAt) >= startupWait:
		return message.Ready
	}
	return e.state
}

func (e *Entry) stillHeld() drain.Held {
	held := drain.Held{InFlight: len(e.flights), Appends: len(e.pending), Answers: e.openAnswers}
	if !e.enabled(guardDrain) {
		held.InFlight = 0
	}
	if e.state == message.Draining {
		held.Targets = len(e.plan.Scheduled(e.cfg.Self.Incarnation))
	}
	return held
}

// startupWait is how long a starting entry listens for peers before it is
// ready, so that it does not schedule targets that others hold.
const startupWait = 300 * time.Millisecond

// publish sends the edges a new view if it has changed.
func (e *Entry) publish() {
	prefix, good := e.ids.Prefix(e.now)
	if prefix != e.prefix {
		e.prefix = prefix
		e.viewChanged = true
	}
	if !e.viewChanged {
		return
	}
	e.viewChanged = false
	view := &View{
		State: e.state, Version: e.version, Document: e.doc,
		Entries: e.members.Entries(e.now, e.cfg.Self.Zone),
		Probes:  e.probes(), Prefix: prefix, GoodFor: good,
	}
	e.emit(Publish{View: view})
}
