package virtual

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/record"
)

// host is one entry process: the core and the adapters round it.
type host struct {
	world  *world
	index  int
	member message.Member
	core   Core
	view   *entry.View
	up     bool
	// paused processes collect inputs in the backlog until they resume.
	paused  bool
	backlog []func()
	flights map[ident.RequestID]*flight
	// attempts are the open connections of callers.
	attempts []*attempt
	follows  map[record.Stream]*follow
}

func newHost(w *world, index int, member message.Member) *host {
	cfg := entry.Config{Self: member, Seed: w.random.Uint64(), Policy: w.options.Policy}
	return &host{
		world: w, index: index, member: member, core: w.options.core(cfg, w.now), up: true,
		flights: map[ident.RequestID]*flight{}, follows: map[record.Stream]*follow{},
	}
}

// begin starts the timers of the process. They are offset by the index, since the
// timers of real processes are not synchronised either.
func (h *host) begin() {
	w := h.world
	apart := time.Duration(h.index) * time.Millisecond
	w.every(apart, tickEvery, h.whileUp(func() { h.input(entry.Tick{}) }))
	w.every(apart, probeEvery, h.whileUp(h.probeTargets))
	w.every(apart, listEvery, h.whileUp(func() { h.input(entry.InstanceList{Instances: w.list()}) }))
}

// whileUp returns a timer function that skips its work while the process is
// paused and stops when the process ends.
func (h *host) whileUp(do func()) func() bool {
	return func() bool {
		if h.up && !h.paused {
			do()
		}
		return h.up
	}
}

func (h *host) probeTargets() {
	for _, t := range h.world.targets {
		state := t.state()
		h.world.after(2*targetDelay, func() { h.input(state) })
	}
}

// deliver runs do in the process: at once, after a pause if the process is paused,
// or not at all if it has ended.
func (h *host) deliver(do func()) {
	switch {
	case !h.up:
	case h.paused:
		h.backlog = append(h.backlog, do)
	default:
		do()
	}
}

// input delivers an input to the core.
func (h *host) input(in entry.Input) { h.deliver(func() { h.step(in) }) }

func (h *host) step(in entry.Input) {
	for _, out := range h.core.Step(h.world.now, in) {
		h.execute(out)
	}
}

// execute executes an output of the core. It never steps the core directly,
// because outputs are valid only until the next step: results are delivered as
// later events.
func (h *host) execute(out entry.Output) {
	switch o := out.(type) {
	case entry.Dispatch:
		h.dispatch(o)
	case entry.Attach:
		h.attach(o)
	case entry.CancelRun:
		h.cancelRun(o)
	case entry.Settle:
		h.flight(o.ID).settle(o.Status)
	case entry.Join:
		h.join(o)
	case entry.SeeOther:
		h.flight(o.ID).redirect(o)
	case entry.Send:
		h.send(o)
	case entry.Append:
		h.world.log.append(h, o)
	case entry.Follow:
		h.follow(o)
	case entry.Unfollow:
		h.unfollow(o.Stream)
	case entry.Order:
		h.order(o)
	case entry.Publish:
		h.view = o.View
	}
}

// send sends a message to a peer, unless the peer has ended or the direction is
// partitioned.
func (h *host) send(o entry.Send) {
	w := h.world
	peer := w.hostOf(o.To)
	if peer == nil || w.cut[direction{h.index, peer.index}] {
		return
	}
	from := h.member.Incarnation
	sent := detached(o.Message)
	w.after(peerDelay, func() { peer.input(entry.FromPeer{From: from, Message: sent}) })
}

// detached copies the parts of a message that a core may reuse for its next one.
// Live links do not need this, as they encode a message before the next step.
func detached(m message.Message) message.Message {
	switch typed := m.(type) {
	case message.Heartbeat:
		typed.Digests = slices.Clone(typed.Digests)
		return typed
	case message.Running:
		typed.Runs = slices.Clone(typed.Runs)
		return typed
	}
	return m
}

func (h *host) order(o entry.Order) {
	o.Adapters = slices.Clone(o.Adapters)
	t := h.world.byName[o.Target]
	h.world.after(targetDelay, func() {
		done := entry.OrderDone{Target: o.Target, Failed: true}
		if t != nil && t.up {
			done = t.order(o)
		}
		h.world.after(targetDelay, func() { h.input(done) })
	})
}

// kill ends the process. Its callers and peers detect this by their connections.
func (h *host) kill() {
	w := h.world
	h.up, h.paused, h.backlog = false, false, nil
	for _, a := range h.attempts {
		w.after(callerDelay, a.connectionLost)
	}
	h.attempts = nil
	for _, peer := range w.hosts {
		if peer != h {
			w.after(peerDelay, func() { peer.input(entry.PeerDown{Incarnation: h.member.Incarnation, Refused: true}) })
		}
	}
	w.recordList()
}

// unpause resumes a paused process and first delivers what arrived during the pause.
func (h *host) unpause() {
	backlog := h.backlog
	h.paused, h.backlog = false, nil
	for _, do := range backlog {
		h.deliver(do)
	}
}
