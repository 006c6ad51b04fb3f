package estimate

import (
	"math"
	"math/rand/v2"
	"reflect"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sycamoretrail/internal/core/message"
)

// engine simulates a target of known speed.
type engine struct {
	rate       float64 // prompt tokens/s
	step       float64 // seconds at batch 0
	perRequest float64 // seconds that each request of the batch adds
	slots      int     // requests beyond it are queued; 0: never
	slow       float64 // factor of all times
	random     *rand.Rand
	now        time.Time
}

func newEngine(rate, step, perRequest float64) *engine {
	return &engine{rate: rate, step: step, perRequest: perRequest, slow: 1,
		random: rand.New(rand.NewPCG(7, 7)), now: time.Unix(1000, 0)}
}

// run returns the sample of one request, with noise of 10 %.
func (g *engine) run(prompt, batch int) message.Sample {
	g.now = g.now.Add(time.Second)
	noise := g.slow * (0.9 + 0.2*g.random.Float64())
	step := (g.step + g.perRequest*float64(batch)) * noise
	first := float64(prompt)/g.rate*noise + step
	if g.slots > 0 && batch > g.slots {
		first += float64(batch-g.slots) * 100 * step
	}
	return message.Sample{PromptTokens: prompt, Tokens: 50, Batch: batch,
		FirstToken: seconds(first), StepTime: seconds(step)}
}

func (g *engine) feed(e *Estimate, samples, prompt int, batches ...int) {
	for i := range samples {
		e.Observe(g.now, g.run(prompt, batches[i%len(batches)]))
	}
}

// batchSizes is the sequence of batch sizes under changing load.
var batchSizes = []int{1, 4, 8, 12, 16, 2, 6, 10}

var _ = Describe("speed", func() {
	prior := Prior{PrefillRate: 5000, StepTime: 20 * time.Millisecond, MaxInFlight: 16}

	It("uses the prior until there are samples", func() {
		e := New(prior)
		Expect(e.PrefillRate()).To(BeNumerically("~", 5000, 1))
		Expect(e.FirstToken(5000, 2500, 2500, 0)).To(BeNumerically("~", 1020*time.Millisecond, time.Millisecond))
		Expect(e.Total(0, 0, 11, 0, 3)).To(BeNumerically("~", 220*time.Millisecond, time.Millisecond))
		Expect(e.Limit()).To(Equal(16))
	})

	It("distinguishes two hardware generations that share a wrong prior", func() {
		old, fresh := New(prior), New(prior)
		newEngine(2000, 0.050, 0.001).feed(old, 60, 1000, batchSizes...)
		newEngine(20000, 0.008, 0.0005).feed(fresh, 60, 1000, batchSizes...)
		Expect(old.PrefillRate()).To(BeNumerically("~", 2000, 300))
		Expect(fresh.PrefillRate()).To(BeNumerically("~", 20000, 3000))
		Expect(old.StepTime(16).Seconds()).To(BeNumerically("~", 0.066, 0.007))
		Expect(old.StepTime(1).Seconds()).To(BeNumerically("~", 0.051, 0.005))
		Expect(fresh.StepTime(16).Seconds()).To(BeNumerically("~", 0.016, 0.002))
		Expect(old.Straggler()).To(BeFalse())
	})

	It("uses the time of a call for a service", func() {
		e := New(Prior{StepTime: 20 * time.Millisecond, MaxInFlight: 8, Service: true})
		for range 40 {
			e.Observe(time.Unix(1, 0), message.Sample{FirstToken: 60 * time.Millisecond, Batch: 2})
		}
		Expect(e.PrefillRate()).To(BeZero())
		Expect(e.Total(9999, 0, 100, 9999, 1).Seconds()).To(BeNumerically("~", 0.060, 0.003))
	})

	It("ignores parts that a sample does not have", func() {
		e := New(prior)
		e.Observe(time.Unix(1, 0), message.Sample{})
		e.Observe(time.Unix(1, 0), message.Sample{PromptTokens: 9, Tokens: 1, StepTime: time.Hour})
		Expect(*e).To(Equal(*New(prior)))
	})

	// Samples come from peers of any version. Whatever their values, limits and
	// speeds must stay within bounds, or one faulty peer could block a target.
	It("stays within bounds for any samples", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			e := New(prior)
			number := rapid.IntRange(-10, 1<<40)
			for range rapid.IntRange(1, 60).Draw(t, "samples") {
				e.Observe(time.Unix(1, 0), message.Sample{
					PromptTokens: number.Draw(t, "prompt"), CachedTokens: number.Draw(t, "cached"),
					FirstToken: time.Duration(number.Draw(t, "first")), Tokens: number.Draw(t, "tokens"),
					StepTime: time.Duration(number.Draw(t, "step")), Batch: number.Draw(t, "batch"),
					QueuedPrefill: number.Draw(t, "queued")})
			}
			if e.Limit() < 1 || e.Limit() > 16 {
				t.Fatalf("limit %d", e.Limit())
			}
			if !(e.PrefillRate() > 0) || math.IsInf(e.PrefillRate(), 0) {
				t.Fatalf("rate %g", e.PrefillRate())
			}
			if e.StepTime(4) <= 0 || e.Total(100, 0, 100, 0, 4) <= 0 {
				t.Fatalf("step %v, total %v", e.StepTime(4), e.Total(100, 0, 100, 0, 4))
			}
		})
	})

	It("keeps a small fixed state", func() {
		Expect(int(reflect.TypeFor[Estimate]().Size())).To(BeNumerically("<=", 320))
	})

	// During a pause of the engine one request has a first token and steps that take
	// 100 times as long. Estimates must not follow that sample, or a single pause
	// would make entries refuse work that the target can serve.
	It("is robust against one outlier", func() {
		g := newEngine(5000, 0.020, 0.0005)
		e := New(prior)
		g.feed(e, 60, 1000, batchSizes...)
		rate, step, limit := e.PrefillRate(), e.StepTime(8), e.Limit()
		g.slow = 100
		g.feed(e, 1, 1000, 8)
		Expect(e.PrefillRate()).To(BeNumerically("~", rate, rate/10))
		Expect(e.StepTime(8)).To(BeNumerically("~", step, step/10))
		Expect(e.Limit()).To(Equal(limit))
		Expect(e.Straggler()).To(BeFalse())
	})
})

var _ = Describe("straggler", func() {
	var g *engine
	var e *Estimate
	BeforeEach(func() {
		g = newEngine(5000, 0.020, 0.0005)
		e = New(Prior{PrefillRate: 5000, StepTime: 20 * time.Millisecond, MaxInFlight: 16})
		g.feed(e, 60, 500, batchSizes...)
	})

	// A target slows down to a fifth of its speed. Its limit is first halved, then
	// reduced to one request, and estimates follow its current speed. When the trial
	// requests match its history again, the limit recovers.
	It("has its limit reduced, then runs trial requests, and recovers", func() {
		g.slow = 5
		g.feed(e, slowCount, 500, 8)
		Expect(e.Straggler()).To(BeFalse())
		Expect(e.Limit()).To(Equal(16 / slowDivisor))
		g.feed(e, 100, 500, 8)
		Expect(e.Straggler()).To(BeTrue())
		Expect(e.Limit()).To(Equal(1))
		Expect(e.StepTime(8).Seconds()).To(BeNumerically("~", 0.120, 0.02))
		g.slow = 1
		g.feed(e, recoveredCount-1, 500, 1)
		Expect(e.Straggler()).To(BeTrue(), "not recovered yet")
		g.feed(e, historyWindow, 500, 1)
		Expect(e.Straggler()).To(BeFalse())
		Expect(e.Limit()).To(BeNumerically(">=", 4))
	})

	// A target stays slow permanently, for example with a larger model. After
	// rebaseAfter its speed becomes its history, and it is treated as an ordinary
	// slower target with its full limit.
	It("becomes an ordinary slower target after rebaseAfter", func() {
		g.slow = 3
		g.feed(e, 20, 500, 8)
		Expect(e.Straggler()).To(BeTrue())
		g.now = g.now.Add(rebaseAfter)
		g.feed(e, 40, 500, batchSizes...)
		Expect(e.Straggler()).To(BeFalse())
		Expect(e.StepTime(8).Seconds()).To(BeNumerically("~", 0.072, 0.015))
	})
})

var _ = Describe("limit", func() {
	// The class declares 32 slots, but the engine runs 10 and queues the rest
	// internally. First tokens come later than prefill explains, so the limit
	// decreases to what the engine runs, and the prefill rate is not learned as
	// slow.
	It("decreases to what the engine runs, and rises slowly when it runs more", func() {
		g := newEngine(5000, 0.020, 0)
		g.slots = 10
		e := New(Prior{PrefillRate: 5000, StepTime: 20 * time.Millisecond, MaxInFlight: 32})
		for range 400 {
			e.Observe(g.now, g.run(500, e.Limit()))
		}
		Expect(e.Limit()).To(BeNumerically("~", 10, 3))
		Expect(e.PrefillRate()).To(BeNumerically(">", 3500))
		g.slots = 0
		low := e.Limit()
		for range 10 {
			e.Observe(g.now, g.run(500, e.Limit()))
		}
		Expect(e.Limit()).To(BeNumerically("<=", low+2), "no jump")
		for range 2000 {
			e.Observe(g.now, g.run(500, e.Limit()))
		}
		Expect(e.Limit()).To(Equal(32))
	})

	// Entries that use their shares without a scheduler keep the engine overloaded,
	// so it always has a queue. The rate must remain the engine's actual rate. If
	// the queue counted as prefill, the limit would rise in spite of it.
	It("does not learn a permanent queue as slow prefill", func() {
		g := newEngine(5000, 0.020, 0)
		g.slots = 10
		e := New(Prior{PrefillRate: 5000, StepTime: 20 * time.Millisecond, MaxInFlight: 32})
		g.feed(e, 200, 500, 32)
		Expect(e.PrefillRate()).To(BeNumerically("~", 5000, 500))
		Expect(e.Limit()).To(Equal(1))
	})

	// The class declares a prefill rate ten times too high. Every first token appears
	// to be queued, so the limit decreases until no queue is possible. Only then is
	// the actual rate learned, and the limit rises again.
	It("learns slow prefill in spite of a wrong prior", func() {
		g := newEngine(1000, 0.020, 0)
		e := New(Prior{PrefillRate: 10000, StepTime: 20 * time.Millisecond, MaxInFlight: 16})
		least := e.Limit()
		for range 800 {
			e.Observe(g.now, g.run(2000, e.Limit()))
			least = min(least, e.Limit())
		}
		Expect(least).To(BeNumerically("<=", 2))
		Expect(e.PrefillRate()).To(BeNumerically("~", 1000, 150))
		Expect(e.Limit()).To(Equal(16))
	})

	It("does not count known prefill ahead of a request as a queue", func() {
		g := newEngine(5000, 0.020, 0)
		e := New(Prior{PrefillRate: 5000, StepTime: 20 * time.Millisecond, MaxInFlight: 16})
		for range 100 {
			s := g.run(500, 16)
			s.FirstToken += time.Second
			s.QueuedPrefill = 5000
			e.Observe(g.now, s)
		}
		Expect(e.Limit()).To(Equal(16))
		Expect(e.PrefillRate()).To(BeNumerically("~", 5000, 500))
	})
})

var _ = Describe("answer share", func() {
	It("learns the share of allowed tokens that answers use", func() {
		var a AnswerShare
		Expect(a.Expect(400)).To(Equal(400))
		random := rand.New(rand.NewPCG(1, 1))
		for range 500 {
			a.Observe(40+random.IntN(121), 400)
		}
		Expect(a.Expect(400)).To(BeNumerically("~", 136, 30))
		Expect(a.Expect(0)).To(BeZero())
	})
})
