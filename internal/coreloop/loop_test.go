package coreloop

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

// scripted is a core whose outputs are defined by react.
type scripted struct {
	inputs []entry.Input
	react  func(entry.Input) []entry.Output
}

func (s *scripted) Step(_ time.Time, in entry.Input) []entry.Output {
	if _, tick := in.(entry.Tick); tick {
		return nil
	}
	s.inputs = append(s.inputs, in)
	return s.react(in)
}

// edges records the outputs that the loop carried out.
type edges struct {
	recorded []any
	full     bool
}

func (e *edges) add(what any)                                 { e.recorded = append(e.recorded, what) }
func (e *edges) Dispatch(o entry.Dispatch)                    { e.add(o) }
func (e *edges) Cancel(o entry.CancelRun)                     { e.add(o) }
func (e *edges) Attach(o entry.Attach)                        { e.add(o) }
func (e *edges) Order(o entry.Order)                          { e.add(o) }
func (e *edges) Settle(o entry.Settle)                        { e.add(o) }
func (e *edges) Join(o entry.Join)                            { e.add(o) }
func (e *edges) SeeOther(o entry.SeeOther)                    { e.add(o) }
func (e *edges) Follow(o entry.Follow)                        { e.add(o) }
func (e *edges) Unfollow(o entry.Unfollow)                    { e.add(o) }
func (e *edges) Decision(o entry.Decision)                    { e.add(o) }
func (e *edges) Publish(view *entry.View)                     { e.add(entry.Publish{View: view}) }
func (e *edges) Send(to ident.Incarnation, m message.Message) { e.add(entry.Send{To: to, Message: m}) }
func (e *edges) Append(o entry.Append) bool {
	e.add(o)
	return !e.full
}

func start(core *scripted, e *edges) (*Loop[*scripted], context.CancelFunc) {
	loop := NewLoop(core, time.Now)
	loop.Connect(Edges{Targets: e, Flights: e, Peers: e, Platform: e, Publisher: e, Telemetry: e})
	ctx, cancel := context.WithCancel(context.Background())
	go loop.Run(ctx)
	DeferCleanup(cancel)
	return loop, cancel
}

var _ = Describe("the core loop", func() {
	It("carries out each output once, in order", func() {
		outputs := []entry.Output{
			entry.Dispatch{ID: "1"}, entry.CancelRun{ID: "2"}, entry.Settle{ID: "3"}, entry.Join{ID: "4"},
			entry.Attach{ID: "5"}, entry.Send{To: "6", Message: message.DocumentRequest{}}, entry.Append{Tag: 7},
			entry.Follow{Stream: "8"}, entry.Unfollow{Stream: "9"}, entry.Order{Target: "10"},
			entry.Publish{View: &entry.View{}}, entry.Decision{ID: "12"}, entry.SeeOther{ID: "13"},
		}
		e := &edges{}
		loop, _ := start(&scripted{react: func(entry.Input) []entry.Output { return outputs }}, e)
		Expect(loop.Submit(entry.Submit{})).To(BeTrue())
		var done []any
		Eventually(func() []any {
			Expect(loop.Do(context.Background(), func(*scripted) { done = append([]any(nil), e.recorded...) })).To(Succeed())
			return done
		}).Should(HaveLen(len(outputs)))
		for i, out := range outputs {
			Expect(done[i]).To(Equal(out))
		}
	})

	// The pool of appends is full, so nothing was sent. The core must get a definite
	// failure for this tag. Otherwise it would treat the outcome of the append as unknown
	// and wait for a record that will never be written.
	It("reports to the core that an append was not accepted", func() {
		core := &scripted{react: func(in entry.Input) []entry.Output {
			if _, submit := in.(entry.Submit); submit {
				return []entry.Output{entry.Append{Tag: 9}}
			}
			return nil
		}}
		loop, _ := start(core, &edges{full: true})
		Expect(loop.Submit(entry.Submit{})).To(BeTrue())
		var last entry.Input
		Eventually(func() entry.Input {
			Expect(loop.Do(context.Background(), func(c *scripted) {
				if len(c.inputs) > 0 {
					last = c.inputs[len(c.inputs)-1]
				}
			})).To(Succeed())
			return last
		}).Should(Equal(entry.LogAppended{Tag: 9, Failed: true}))
	})

	It("reports the end of a drain once", func() {
		loop, _ := start(&scripted{react: func(entry.Input) []entry.Output {
			return []entry.Output{entry.Drained{}, entry.Drained{}}
		}}, &edges{})
		Expect(loop.Drained()).NotTo(BeClosed())
		loop.Deliver(entry.DrainStart{})
		Eventually(loop.Drained()).Should(BeClosed())
	})

	// The process shuts down while a reader of the log and an operator wait for the
	// loop. Neither may block forever, or the process would not exit.
	It("blocks no caller after it has stopped", func() {
		loop, cancel := start(&scripted{react: func(entry.Input) []entry.Output { return nil }}, &edges{})
		cancel()
		Eventually(loop.stopped).Should(BeClosed())
		for range RingSize + 1 {
			loop.Deliver(entry.LogDown{})
		}
		Expect(loop.Submit(entry.Submit{})).To(BeFalse())
		Expect(loop.Do(context.Background(), func(*scripted) {})).To(MatchError(ErrStopped))
	})
})

var _ = Describe("a ring", func() {
	// Callers send more than the core can process. New requests must be refused while
	// the end of a run is still accepted; a lost RunEnded would occupy its slot at the
	// target forever.
	It("reserves places for items that must not be lost, in one order", func() {
		ring := NewRing[int](4, 2, nil)
		Expect(ring.TryPush(1)).To(BeTrue())
		Expect(ring.TryPush(2)).To(BeTrue())
		Expect(ring.TryPush(3)).To(BeFalse())
		Expect(ring.Push(4)).To(BeTrue())
		Expect(ring.Push(5)).To(BeTrue())
		Expect(ring.Len()).To(Equal(4))
		for _, want := range []int{1, 2, 4, 5} {
			Expect(<-ring.Items()).To(Equal(want))
		}
	})

	It("makes Push wait for capacity", func() {
		ring := NewRing[int](1, 1, nil)
		Expect(ring.Push(1)).To(BeTrue())
		pushed := make(chan bool)
		go func() { pushed <- ring.Push(2) }()
		Expect(<-ring.Items()).To(Equal(1))
		Eventually(pushed).Should(Receive(BeTrue()))
		Expect(<-ring.Items()).To(Equal(2))
	})

	It("ends a waiting Push when it is stopped", func() {
		stopped := make(chan struct{})
		ring := NewRing[int](1, 1, stopped)
		Expect(ring.Push(1)).To(BeTrue())
		pushed := make(chan bool)
		go func() { pushed <- ring.Push(2) }()
		close(stopped)
		Eventually(pushed).Should(Receive(BeFalse()))
	})
})
