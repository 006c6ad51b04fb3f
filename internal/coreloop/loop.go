package coreloop

import (
	"context"
	"errors"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

// The interfaces through which the core loop carries out outputs. No method may block
// or deliver an input on the calling goroutine: the loop is the only consumer of its
// ring, so waiting for capacity there would deadlock the entry.
type (
	// Targets runs requests at targets.
	Targets interface {
		Dispatch(entry.Dispatch)
		Cancel(entry.CancelRun)
		Attach(entry.Attach)
		Order(entry.Order)
	}
	// Flights answers callers whose answer does not come from a run.
	Flights interface {
		Settle(entry.Settle)
		Join(entry.Join)
		SeeOther(entry.SeeOther)
	}
	// Peers sends messages to other entries.
	Peers interface {
		Send(to ident.Incarnation, m message.Message)
	}
	// Platform reads and writes the log. Append returns false if it has no capacity.
	// Nothing was sent then, and the loop reports that to the core.
	Platform interface {
		Append(entry.Append) bool
		Follow(entry.Follow)
		Unfollow(entry.Unfollow)
	}
	// Publisher passes a new view to the edges.
	Publisher interface {
		Publish(*entry.View)
	}
	// Telemetry records decisions.
	Telemetry interface {
		Decision(entry.Decision)
	}
)

// Edges holds the interfaces through which the loop carries out outputs.
type Edges struct {
	Targets   Targets
	Flights   Flights
	Peers     Peers
	Platform  Platform
	Publisher Publisher
	Telemetry Telemetry
}

const (
	// TickInterval is the time between two ticks of the core.
	TickInterval = 10 * time.Millisecond
	// RingSize bounds the queued inputs. It holds about a second of inputs at full load.
	RingSize = 16384
	// RingReserved is the part of RingSize that is reserved for inputs that must not be
	// lost.
	RingReserved = RingSize / 4
)

// ErrStopped is returned once the loop has ended.
var ErrStopped = errors.New("core loop has stopped")

// Core is the state machine that a loop owns. It is *entry.Entry outside of tests.
type Core interface {
	Step(now time.Time, in entry.Input) []entry.Output
}

// Loop owns the core. One goroutine steps it, input by input.
type Loop[C Core] struct {
	core      C
	clock     func() time.Time
	edges     Edges
	inputs    *Ring[entry.Input]
	queries   chan func(C)
	stopped   chan struct{}
	drained   chan struct{}
	isDrained bool
	// followUps holds inputs that resulted from carrying out outputs.
	followUps []entry.Input
}

// NewLoop returns a loop. Its edges must be set with Connect before Run starts it.
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

// Connect sets the edges. They are created after the loop, because they deliver inputs
// to it.
func (l *Loop[C]) Connect(edges Edges) { l.edges = edges }

// Deliver queues an input that must not be lost (RunEnded, CallerLeft, records of the
// log, messages of peers) and waits for capacity: a lost RunEnded would occupy a slot at
// its target until the entry is replaced. Meanwhile the producer does not read from its
// source (a TCP connection), which bounds the backlog.
func (l *Loop[C]) Deliver(in entry.Input) { l.inputs.Push(in) }

// Submit queues an input and never blocks. It returns false if the ring is full. The
// producer then refuses the input (a request), drops it (if it is sent again anyway:
// RunProgress, TargetState, InstanceList), or keeps it and tries again.
func (l *Loop[C]) Submit(in entry.Input) bool { return l.inputs.TryPush(in) }

// Waiting returns the number of inputs in the ring.
func (l *Loop[C]) Waiting() int { return l.inputs.Len() }

// Drained returns a channel that is closed once the core has nothing in flight after a
// drain.
func (l *Loop[C]) Drained() <-chan struct{} { return l.drained }

// Do runs read on the loop's goroutine and returns after it has finished. read must not
// retain the core.
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

// step passes one input to the core and carries out the resulting outputs.
func (l *Loop[C]) step(in entry.Input) {
	for _, out := range l.core.Step(l.clock(), in) {
		l.carryOut(out)
	}
	for len(l.followUps) > 0 {
		next := l.followUps
		l.followUps = nil
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
		l.followUps = append(l.followUps, entry.LogAppended{Tag: o.Tag, Failed: true})
	}
}

func (l *Loop[C]) markDrained() {
	if !l.isDrained {
		l.isDrained = true
		close(l.drained)
	}
}
