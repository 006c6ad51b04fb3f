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

// engine is a target whose true speed the test knows.
type engine struct {
	rate       float64 // prompt tokens/s
	step       float64 // seconds at batch 0
	perRequest float64 // seconds that each request of the batch adds
	slots      int     // beyond it the engine queues; 0: never
	slow       float64 // all times longer by this factor
	random     *rand.Rand
	now        time.Time
}

func newEngine(rate, step, perRequest float64) *engine {
	return &engine{rate: rate, step: step, perRequest: perRequest, slow: 1,
		random: rand.New(rand.NewPCG(7, 7)), now: time.Unix(1000, 0)}
}

// run is the sample of one request, with noise of 10 %.
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

// perBatch is the batch sizes of targets under changing load.
var perBatch = []int{1, 4, 8, 12, 16, 2, 6, 10}

var _ = Describe("speed", func() {
	prior := Prior{PrefillRate: 5000, StepTime: 20 * time.Millisecond, MaxInFlight: 16}

	It("answers from the prior until there are samples", func() {
		e := New(prior)
		Expect(e.PrefillRate()).To(BeNumerically("~", 5000, 1))
		Expect(e.FirstToken(5000, 2500, 2500, 0)).To(BeNumerically("~", 1020*time.Millisecond, time.Millisecond))
		Expect(e.Total(0, 0, 11, 0, 3)).To(BeNumerically("~", 220*time.Millisecond, time.Millisecond))
		Expect(e.Limit()).To(Equal(16))
	})

	It("tells two generations of hardware apart that share a wrong prior", func() {
		old, fresh := New(prior), New(prior)
		newEngine(2000, 0.050, 0.001).feed(old, 60, 1000, perBatch...)
		newEngine(20000, 0.008, 0.0005).feed(fresh, 60, 1000, perBatch...)
		Expect(old.PrefillRate()).To(BeNumerically("~", 2000, 300))
		Expect(fresh.PrefillRate()).To(BeNumerically("~", 20000, 3000))
		Expect(old.StepTime(16).Seconds()).To(BeNumerically("~", 0.066, 0.007))
		Expect(old.StepTime(1).Seconds()).To(BeNumerically("~", 0.051, 0.005))
		Expect(fresh.StepTime(16).Seconds()).To(BeNumerically("~", 0.016, 0.002))
		Expect(old.Straggler()).To(BeFalse())
	})

	It("takes a call's time for a service", func() {
		e := New(Prior{StepTime: 20 * time.Millisecond, MaxInFlight: 8, Service: true})
		for range 40 {
			e.Observe(time.Unix(1, 0), message.Sample{FirstToken: 60 * time.Millisecond, Batch: 2})
		}
		Expect(e.PrefillRate()).To(BeZero())
		Expect(e.Total(9999, 0, 100, 9999, 1).Seconds()).To(BeNumerically("~", 0.060, 0.003))
	})

	It("ignores what a sample does not show", func() {
		e := New(prior)
		e.Observe(time.Unix(1, 0), message.Sample{})
		e.Observe(time.Unix(1, 0), message.Sample{PromptTokens: 9, Tokens: 1, StepTime: time.Hour})
		Expect(*e).To(Equal(*New(prior)))
	})

	// Samples come from peers of any version. Whatever they hold, places and
	// speeds must stay within bounds, or one bad peer would stop a target.
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

	// One request meets a pause of the engine and shows a first token and steps a
	// hundred times longer. The next decisions must rest on the other samples, or
	// one pause would turn callers away from a sound target.
	It("is not moved by one outlier", func() {
		g := newEngine(5000, 0.020, 0.0005)
		e := New(prior)
		g.feed(e, 60, 1000, perBatch...)
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
		g.feed(e, 60, 500, perBatch...)
	})

	// A target falls to a fifth of its speed. First it gets half its places, then
	// one at a time, and its present speed is what callers are promised. When the
	// trials are back in its history it gets its places back.
	It("gets less, then trials, and recovers", func() {
		g.slow = 5
		g.feed(e, slowCount, 500, 8)
		Expect(e.Straggler()).To(BeFalse())
		Expect(e.Limit()).To(Equal(16 / slowShare))
		g.feed(e, 100, 500, 8)
		Expect(e.Straggler()).To(BeTrue())
		Expect(e.Limit()).To(Equal(1))
		Expect(e.StepTime(8).Seconds()).To(BeNumerically("~", 0.120, 0.02))
		g.slow = 1
		g.feed(e, recoveredCount-1, 500, 1)
		Expect(e.Straggler()).To(BeTrue(), "still on trial")
		g.feed(e, historyWindow, 500, 1)
		Expect(e.Straggler()).To(BeFalse())
		Expect(e.Limit()).To(BeNumerically(">=", 4))
	})

	// A target stays slow for good (its new model is larger). After the stated
	// time its speed is its history: it is scored as a slower target and filled.
	It("becomes an ordinary slower target after a long steady time", func() {
		g.slow = 3
		g.feed(e, 20, 500, 8)
		Expect(e.Straggler()).To(BeTrue())
		g.now = g.now.Add(rebaseAfter)
		g.feed(e, 40, 500, perBatch...)
		Expect(e.Straggler()).To(BeFalse())
		Expect(e.StepTime(8).Seconds()).To(BeNumerically("~", 0.072, 0.015))
	})
})

var _ = Describe("limit", func() {
	// The class claims 32 places, the engine runs 10 and queues the rest unseen.
	// First tokens come later than prefill explains, so the limit falls to what
	// the engine runs, while its prefill rate is not taken for slow.
	It("falls to what the engine runs, and rises slowly when it runs more", func() {
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

	// Entries that fell back to their own shares keep the engine overfull, so its
	// queue never ends. The rate must stay what the engine computes, or the queue
	// would count as prefill and the limit would rise under it.
	It("does not learn a lasting queue as slow prefill", func() {
		g := newEngine(5000, 0.020, 0)
		g.slots = 10
		e := New(Prior{PrefillRate: 5000, StepTime: 20 * time.Millisecond, MaxInFlight: 32})
		g.feed(e, 200, 500, 32)
		Expect(e.PrefillRate()).To(BeNumerically("~", 5000, 500))
		Expect(e.Limit()).To(Equal(1))
	})

	// The class claims a prefill rate ten times too high. Every first token looks
	// queued, the limit falls until no queue is possible, and only there the
	// engine's own slowness is learned; then the places come back.
	It("finds slow prefill behind a wrong prior", func() {
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

	It("does not count known prefill ahead as a queue", func() {
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
	It("learns how much of what they allow requests use", func() {
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
