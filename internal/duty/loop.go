package duty

import (
	"context"
	"errors"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

// The interfaces by which the core loop carries out outputs. No method may wait
// or deliver an input on the calling goroutine: the loop is the only consumer of
// its ring, so waiting for room there would stop the entry for good.
type (
	// Targets runs requests at targets.
	Targets interface {
		Dispatch(entry.Dispatch)
		Cancel(entry.CancelRun)
		Attach(entry.Attach)
		Order(entry.Order)
	}
	// Flights answers callers that no run answers.
	Flights interface {
		Settle(entry.Settle)
		Join(entry.Join)
		SeeOther(entry.SeeOther)
	}
	// Peers sends messages to other entries.
	Peers interface {
		Send(to ident.Incarnation, m message.Message)
	}
	// Platform reads and writes the log. Append returns false when it has no
	// room; nothing was sent then, and the loop tells the core so.
	Platform interface {
		Append(entry.Append) bool
		Follow(entry.Follow)
		Unfollow(entry.Unfollow)
	}
	// Publisher gives the edges the new view.
	Publisher interface {
		Publish(*entry.View)
	}
	// Telemetry records decisions.
	Telemetry interface {
		Decision(entry.Decision)
	}
)

// Edges is all that the loop acts through.
type Edges struct {
	Targets   Targets
	Flights   Flights
	Peers     Peers
	Platform  Platform
	Publisher Publisher
	Telemetry Telemetry
}

const (
	// TickInterval is how often time passes in the core.
	TickInterval = 10 * time.Millisecond
	// RingSize bounds the inputs that wait; about a second of full load.
	RingSize = 16384
	// RingReserved is the part of it for inputs that must not be lost.
	RingReserved = RingSize / 4
)

// ErrStopped says that the loop has ended.
var ErrStopped = errors.New("core loop has stopped")

// Core is the state machine that a loop owns; *entry.Entry in a process.
type Core interface {
	Step(now time.Time, in entry.Input) []entry.Output
}

// Loop owns the core: one goroutine steps it, input by input.
type Loop[C Core] struct {
	core    C
	clock   func() time.Time
	edges   Edges
	inputs  *Ring[entry.Input]
	queries chan func(C)
	stopped chan struct{}
	drained chan struct{}
	isDrain bool
	// follow holds inputs that arose while outputs were carried out.
	follow []entry.Input
}

// NewLoop makes a loop; Run starts it. The edges may be set until then.
func NewLoop[C Core](core C, clock func() time.Time) *Loop[C] {
	stopped := make(chan struct{})
	return &Loop[C]{
		core:    core,
		clock:   clock,
		inputs:  NewRing[entry.Input](RingSize, RingReserved, stopped),
		queries: make(chan func(C)),
		stopped: stopped,
		drained: make(chan struct{}),
	}
}

// Connect sets the edges, which themselves need the loop to deliver inputs.
func (l *Loop[C]) Connect(edges Edges) { l.edges = edges }

// Deliver brings an input that must not be lost (RunEnded, CallerGone, records of
// the log, messages of peers) and waits for room: a lost RunEnded would hold a
// place at its target until the entry is replaced. The producer's own source
// (a TCP connection) is held up meanwhile, which bounds what can pile up.
func (l *Loop[C]) Deliver(in entry.Input) { l.inputs.Push(in) }

// Submit brings an input and never waits. False: the ring is full, and the
// producer refuses (a request), drops (what is repeated anyway: RunProgress,
// TargetState, InstanceList) or keeps the input and tries again.
func (l *Loop[C]) Submit(in entry.Input) bool { return l.inputs.TryPush(in) }

// Waiting is the number of inputs in the ring.
func (l *Loop[C]) Waiting() int { return l.inputs.Len() }

// Drained is closed once the core has nothing in flight after a drain.
func (l *Loop[C]) Drained() <-chan struct{} { return l.drained }

// Do runs a read on the loop's goroutine and returns after it. It must not keep
// what it was given.
func (l *Loop[C]) Do(ctx context.Context, read func(C)) error {
	done := make(chan struct{})
	query := func(core C) {
		defer close(done)
		read(core)
	}
	select {
	case l.queries <- query:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.stopped:
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-l.stopped:
		return ErrStopped
	}
}

// Run steps the core until the context ends.
func (l *Loop[C]) Run(ctx context.Context) {
	defer close(l.stopped)
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-l.inputs.Items():
			l.step(in)
		case <-ticker.C:
			l.step(entry.Tick{})
		case query := <-l.queries:
			query(l.core)
		}
	}
}

// step gives the core one input and carries out what follows from it.
func (l *Loop[C]) step(in entry.Input) {
	for _, out := range l.core.Step(l.clock(), in) {
		l.carryOut(out)
	}
	for len(l.follow) > 0 {
		next := l.follow
		l.follow = nil
		for _, in := range next {
			l.step(in)
		}
	}
}

func (l *Loop[C]) carryOut(out entry.Output) {
	switch o := out.(type) {
	case entry.Dispatch:
		l.edges.Targets.Dispatch(o)
	case entry.CancelRun:
		l.edges.Targets.Cancel(o)
	case entry.Attach:
		l.edges.Targets.Attach(o)
	case entry.Order:
		l.edges.Targets.Order(o)
	case entry.Settle:
		l.edges.Flights.Settle(o)
	case entry.Join:
		l.edges.Flights.Join(o)
	case entry.SeeOther:
		l.edges.Flights.SeeOther(o)
	case entry.Send:
		l.edges.Peers.Send(o.To, o.Message)
	case entry.Append:
		l.append(o)
	case entry.Follow:
		l.edges.Platform.Follow(o)
	case entry.Unfollow:
		l.edges.Platform.Unfollow(o)
	case entry.Publish:
		l.edges.Publisher.Publish(o.View)
	case entry.Decision:
		l.edges.Telemetry.Decision(o)
	case entry.Drained:
		l.markDrained()
	}
}

func (l *Loop[C]) append(o entry.Append) {
	if !l.edges.Platform.Append(o) {
		l.follow = append(l.follow, entry.LogAppended{Tag: o.Tag, Failed: true})
	}
}

func (l *Loop[C]) markDrained() {
	if !l.isDrain {
		l.isDrain = true
		close(l.drained)
	}
}
