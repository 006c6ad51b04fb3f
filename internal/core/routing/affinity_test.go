package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/message"
)

// uncachedSample returns the sample of a run that found nothing in the cache.
func uncachedSample(tokens int) message.Sample {
	return message.Sample{FirstToken: time.Second, Tokens: tokens}
}

var _ = Describe("affinity", func() {
	var r *Router
	BeforeEach(func() {
		r = routerFor(poolOf(60, 0), 9)
	})

	It("prefers the target that computed the prefix", func() {
		longPrompt := prefixed(newRequest(12800, 20), 1, 90)
		r.Dispatched(start, "t41", longPrompt)
		r.Digest(start, digest("t41", 1, 16))
		for range 30 {
			Expect(first(r.Choose(start, prefixed(newRequest(12800, 20), 1, 90), nil))).To(Equal("t41"))
		}
	})

	// Every caller begins with the same long prompt. Affinity alone would queue all of
	// them at one target while the others are idle. Above the load bound a target is
	// not preferred for its cache, so the prompt spreads to other targets.
	It("is bounded by load", func() {
		for range 600 {
			req := prefixed(newRequest(6400, 20), 1, 48)
			name, status := r.Choose(start, req, nil)
			Expect(status.OK()).To(BeTrue())
			r.Dispatched(start, name, req)
		}
		mean := 600.0 / 60
		for i := range 60 {
			Expect(float64(r.targets[targetName(i)].ownRuns)).To(BeNumerically("<=", loadBoundFactor*mean+3))
		}
	})

	It("does not prefer a cache above the load bound, whatever it saves", func() {
		r.Dispatched(start, "t41", prefixed(newRequest(12800, 20), 1, 90))
		r.Digest(start, digest("t41", 4, 16))
		Expect(first(r.Choose(start, prefixed(newRequest(12800, 20), 1, 90), nil))).To(Equal("t41"))
		r.Digest(start, digest("t41", 12, 16))
		chosen := 0
		for range 100 {
			if first(r.Choose(start, prefixed(newRequest(12800, 20), 1, 90), nil)) == "t41" {
				chosen++
			}
		}
		Expect(chosen).To(BeNumerically("<", 10), "its share by free slots, among about eight candidates")
	})

	// The engine evicted the prefix and the event was lost. Each run reports that
	// nothing was cached. The target must no longer be preferred for its cache until
	// runs find the prefix cached again.
	It("learns from runs that the engine evicted the prefix", func() {
		observe := func(cached, times int) {
			for range times {
				req := prefixed(newRequest(12800, 20), 1, 90)
				r.Dispatched(start, "t41", req)
				s := uncachedSample(20)
				s.CachedTokens = cached
				r.Observed("t41", req, s, true)
			}
			r.Digest(start, digest("t41", 4, 16))
		}
		countHits := func() (n int) {
			for range 40 {
				if first(r.Choose(start, prefixed(newRequest(12800, 20), 1, 90), nil)) == "t41" {
					n++
				}
			}
			return n
		}
		observe(0, 20)
		cold := countHits()
		Expect(r.targets["t41"].cacheTrust).To(BeNumerically("<", 0.02))
		observe(11520, 20)
		Expect(countHits()).To(BeNumerically(">", cold))
		Expect(r.targets["t41"].cacheTrust).To(BeNumerically(">", 0.9))
	})

	It("assumes an empty cache after a target was unreachable", func() {
		r.Dispatched(start, "t41", prefixed(newRequest(12800, 20), 1, 90))
		r.SetAvailable("t41", false)
		r.SetAvailable("t41", true)
		Expect(r.prefixes.find(prefixed(newRequest(12800, 20), 1, 90), nil)).To(BeEmpty())
	})

	It("keeps its memory bounded", func() {
		for i := range 3000 {
			r.Dispatched(start, targetName(i%60), prefixed(newRequest(25600, 20), uint64(i), 200))
		}
		Expect(r.prefixes.byHash.index).To(HaveLen(maxPrefixes))
		Expect(r.prefixes.byHash.nodes).To(HaveLen(maxPrefixes))
		Expect(len(r.prefixes.predicted.index)).To(BeNumerically("<=", maxPredictions))
	})

	It("stores few depths of a long prompt", func() {
		stored := 0
		for depth := 234; depth > 0; depth = nextDepth(depth) {
			stored++
		}
		Expect(stored).To(BeNumerically("<=", 32))
		for depth := 9; depth < 1000; depth++ {
			Expect(nextDepth(depth)).To(BeNumerically(">=", depth*3/4))
			Expect(nextDepth(depth)).To(BeNumerically("<", depth))
		}
	})
})
