package duty

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

// scripted is a core that answers each kind of input with fixed outputs.
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

// edges records what the loop carried out.
type edges struct {
	done []any
	full bool
}

func (e *edges) note(what any)                                { e.done = append(e.done, what) }
func (e *edges) Dispatch(o entry.Dispatch)                    { e.note(o) }
func (e *edges) Cancel(o entry.CancelRun)                     { e.note(o) }
func (e *edges) Attach(o entry.Attach)                        { e.note(o) }
func (e *edges) Order(o entry.Order)                          { e.note(o) }
func (e *edges) Settle(o entry.Settle)                        { e.note(o) }
func (e *edges) Join(o entry.Join)                            { e.note(o) }
func (e *edges) SeeOther(o entry.SeeOther)                    { e.note(o) }
func (e *edges) Follow(o entry.Follow)                        { e.note(o) }
func (e *edges) Unfollow(o entry.Unfollow)                    { e.note(o) }
func (e *edges) Decision(o entry.Decision)                    { e.note(o) }
func (e *edges) Publish(view *entry.View)                     { e.note(entry.Publish{View: view}) }
func (e *edges) Send(to ident.Incarnation, m message.Message) { e.note(entry.Send{To: to, Message: m}) }
func (e *edges) Append(o entry.Append) bool {
	e.note(o)
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
	It("carries out each output once and in order", func() {
		outputs := []entry.Output{
			entry.Dispatch{ID: "1"}, entry.CancelRun{ID: "2"}, entry.Settle{ID: "3"}, entry.Join{ID: "4"},
			entry.Attach{ID: "5"}, entry.Send{To: "6", Message: message.DocumentAsk{}}, entry.Append{Tag: 7},
			entry.Follow{Stream: "8"}, entry.Unfollow{Stream: "9"}, entry.Order{Target: "10"},
			entry.Publish{View: &entry.View{}}, entry.Decision{ID: "12"}, entry.SeeOther{ID: "13"},
		}
		e := &edges{}
		loop, _ := start(&scripted{react: func(entry.Input) []entry.Output { return outputs }}, e)
		Expect(loop.Submit(entry.Submit{})).To(BeTrue())
		var done []any
		Eventually(func() []any {
			Expect(loop.Do(context.Background(), func(*scripted) { done = append([]any(nil), e.done...) })).To(Succeed())
			return done
		}).Should(HaveLen(len(outputs)))
		for i, out := range outputs {
			Expect(done[i]).To(Equal(out))
		}
	})

	// The pool of appends is full, so nothing was sent. The core must hear a
	// definite no for this tag, or it would keep the append as unknown and wait
	// for a record that will never be there.
	It("tells the core of an append that was not taken", func() {
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

	It("says once that the drain is over", func() {
		loop, _ := start(&scripted{react: func(entry.Input) []entry.Output {
			return []entry.Output{entry.Drained{}, entry.Drained{}}
		}}, &edges{})
		Expect(loop.Drained()).NotTo(BeClosed())
		loop.Deliver(entry.DrainStart{})
		Eventually(loop.Drained()).Should(BeClosed())
	})

	// The process ends while a reader of the log and an operator wait for the
	// loop. Neither may wait for ever, or the process would not exit.
	It("lets nobody wait once it has stopped", func() {
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
	// Callers send more than the core takes. New requests are turned away while
	// the end of a run still finds room; a lost RunEnded would hold its place at
	// the target for good.
	It("keeps places for what must not be lost, in one order", func() {
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

	It("makes Push wait for room", func() {
		ring := NewRing[int](1, 1, nil)
		Expect(ring.Push(1)).To(BeTrue())
		pushed := make(chan bool)
		go func() { pushed <- ring.Push(2) }()
		Expect(<-ring.Items()).To(Equal(1))
		Eventually(pushed).Should(Receive(BeTrue()))
		Expect(<-ring.Items()).To(Equal(2))
	})

	It("ends a Push that waits when it is stopped", func() {
		stopped := make(chan struct{})
		ring := NewRing[int](1, 1, stopped)
		Expect(ring.Push(1)).To(BeTrue())
		pushed := make(chan bool)
		go func() { pushed <- ring.Push(2) }()
		close(stopped)
		Eventually(pushed).Should(Receive(BeFalse()))
	})
})
