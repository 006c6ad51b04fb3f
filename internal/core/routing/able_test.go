package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("able", func() {
	// A brief of 30,000 tokens has 4 s left. Slow targets need 7.5 s for its
	// prompt alone; the one fast target is busier. It must go there, and where
	// no fast target is left it is refused before any prefill is spent.
	It("never sends a long brief where it can't finish by its deadline", func() {
		for _, size := range []int{8, 60} {
			r := routerFor(poolOf(size, 1), 3)
			r.Digest(start, digest("t0", 15, 16))
			brief := ask(30000, 50)
			brief.Deadline = start.Add(4 * time.Second)
			for range 30 {
				name, status := r.Choose(start, brief, nil)
				Expect(status).To(Equal(Chosen))
				Expect(name).To(Equal("t0"))
			}
			r.Reachable("t0", false)
			_, status := r.Choose(start, brief, nil)
			Expect(status).To(Equal(NoneInTime))
		}
	})

	// All targets have long queues of lower work. The owner can't know how the
	// tiers fare there, so it names the best one and leaves the word on a refusal
	// to the schedulers, or a higher tier would be refused before a lower one.
	It("does not refuse for a queue", func() {
		r := routerFor(poolOf(4, 0), 3)
		for i := range 4 {
			d := digest(named(i), 16, 16)
			d.Wait = time.Duration(60-i) * time.Second
			r.Digest(start, d)
		}
		name, status := r.Choose(start, ask(100, 50), nil)
		Expect(status).To(Equal(ChosenLate))
		Expect(status.OK()).To(BeTrue())
		Expect(name).NotTo(BeEmpty())
	})

	It("refuses short requests early only where the document says so", func() {
		doc := poolOf(4, 0)
		for early, want := range map[bool]Status{true: NoneInTime, false: ChosenLate} {
			doc.Refusal.Early = early
			req := ask(100, 5000) // 100 s of decode, 10 s left
			_, status := routerFor(doc, 3).Choose(start, req, nil)
			Expect(status).To(Equal(want))
		}
	})

	// The prompt alone is infeasible at every speed of the pool, but one target
	// holds most of it in its cache. The quick refusal must count that in.
	It("does not call a brief infeasible that a cache holds", func() {
		r := routerFor(poolOf(60, 0), 3)
		r.Dispatched(start, "t7", prefixed(ask(51200, 20), 1, 400))
		r.Digest(start, digest("t7", 0, 16))
		brief := prefixed(ask(51200, 20), 1, 400)
		brief.Deadline = start.Add(3 * time.Second)
		Expect(first(r.Choose(start, brief, nil))).To(Equal("t7"))
		other := ask(51200, 20)
		other.Deadline = brief.Deadline
		_, status := r.Choose(start, other, nil)
		Expect(status).To(Equal(NoneInTime))
	})
})
