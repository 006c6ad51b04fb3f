package virtual

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/record"
)

// host is one entry process: the core and what stands at its edges.
type host struct {
	world  *world
	place  int
	member message.Member
	core   Core
	view   *entry.View
	up     bool
	// paused: what arrives waits in the backlog until the process wakes.
	paused  bool
	backlog []func()
	flights map[ident.RequestID]*flight
	// attempts are the callers' connections that are open here.
	attempts []*attempt
	follows  map[record.Stream]*follow
}

func newHost(w *world, place int, member message.Member) *host {
	cfg := entry.Config{Self: member, Seed: w.random.Uint64(), Policy: w.options.Policy}
	return &host{
		world: w, place: place, member: member, core: w.options.core(cfg, w.now), up: true,
		flights: map[ident.RequestID]*flight{}, follows: map[record.Stream]*follow{},
	}
}

// begin starts the process's timers. Places are a little apart in time, as
// processes are.
func (h *host) begin() {
	w := h.world
	apart := time.Duration(h.place) * time.Millisecond
	w.every(apart, tickEvery, h.whileUp(func() { h.input(entry.Tick{}) }))
	w.every(apart, probeEvery, h.whileUp(h.probeTargets))
	w.every(apart, listEvery, h.whileUp(func() { h.input(entry.InstanceList{Instances: w.list()}) }))
}

// whileUp skips the work of a paused process and ends with the process.
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

// deliver makes something happen in the process: now, when it wakes, or never.
func (h *host) deliver(do func()) {
	switch {
	case !h.up:
	case h.paused:
		h.backlog = append(h.backlog, do)
	default:
		do()
	}
}

// input gives the core an input.
func (h *host) input(in entry.Input) { h.deliver(func() { h.step(in) }) }

func (h *host) step(in entry.Input) {
	for _, out := range h.core.Step(h.world.now, in) {
		h.carryOut(out)
	}
}

// carryOut does what the core wants. Nothing here steps the core at once: an
// answer always comes as a later event, since outputs last until the next step.
func (h *host) carryOut(out entry.Output) {
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
		h.flight(o.ID).sendOn(o)
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

// send passes a message on to a peer, unless one of them is gone or the
// direction is cut.
func (h *host) send(o entry.Send) {
	w := h.world
	peer := w.hostOf(o.To)
	if peer == nil || w.cut[direction{h.place, peer.place}] {
		return
	}
	from := h.member.Incarnation
	sent := detached(o.Message)
	w.after(peerDelay, func() { peer.input(entry.FromPeer{From: from, Message: sent}) })
}

// detached copies the parts that a core may use again for its next message; the
// live links encode a message before the next step.
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

// kill ends the process. Its callers and peers notice by their connections.
func (h *host) kill() {
	w := h.world
	h.up, h.paused, h.backlog = false, false, nil
	for _, a := range h.attempts {
		w.after(callerDelay, a.broke)
	}
	h.attempts = nil
	for _, peer := range w.hosts {
		if peer != h {
			w.after(peerDelay, func() { peer.input(entry.PeerDown{Incarnation: h.member.Incarnation, Refused: true}) })
		}
	}
	w.noteList()
}

// wake lets a paused process go on: all that arrived meanwhile comes first.
func (h *host) wake() {
	backlog := h.backlog
	h.paused, h.backlog = false, nil
	for _, do := range backlog {
		h.deliver(do)
	}
}
