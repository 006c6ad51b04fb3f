package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("feasibility filter", func() {
	// A prompt of 30,000 tokens has 4 s left. Slow targets need 7.5 s for the prompt
	// alone; the one fast target is busier. The request must go to the fast target, and
	// must be refused before any prefill if no fast target is left.
	It("never sends a long prompt to a target that can't finish by the deadline", func() {
		for _, size := range []int{8, 60} {
			r := routerFor(poolOf(size, 1), 3)
			r.Digest(start, digest("t0", 15, 16))
			longPrompt := newRequest(30000, 50)
			longPrompt.Deadline = start.Add(4 * time.Second)
			for range 30 {
				name, status := r.Choose(start, longPrompt, nil)
				Expect(status).To(Equal(Chosen))
				Expect(name).To(Equal("t0"))
			}
			r.SetAvailable("t0", false)
			_, status := r.Choose(start, longPrompt, nil)
			Expect(status).To(Equal(NoneInTime))
		}
	})

	// All targets have long queues of lower tiers. The owner doesn't have the waits of
	// the request's own tier, so it chooses the best target and leaves a refusal to the
	// schedulers. Otherwise a higher tier would be refused before a lower one.
	It("does not refuse because of queues", func() {
		r := routerFor(poolOf(4, 0), 3)
		for i := range 4 {
			d := digest(targetName(i), 16, 16)
			d.Wait = time.Duration(60-i) * time.Second
			r.Digest(start, d)
		}
		name, status := r.Choose(start, newRequest(100, 50), nil)
		Expect(status).To(Equal(ChosenLate))
		Expect(status.OK()).To(BeTrue())
		Expect(name).NotTo(BeEmpty())
	})

	It("refuses short requests early only if the document enables it", func() {
		doc := poolOf(4, 0)
		for early, want := range map[bool]Status{true: NoneInTime, false: ChosenLate} {
			doc.Refusal.Early = early
			req := newRequest(100, 5000) // 100 s of decode, 10 s left
			_, status := routerFor(doc, 3).Choose(start, req, nil)
			Expect(status).To(Equal(want))
		}
	})

	// The prompt alone is infeasible at every speed of the pool, but one target holds
	// most of it in its cache. The immediate refusal must take the cache into account.
	It("does not refuse a long prompt that a cache holds as infeasible", func() {
		r := routerFor(poolOf(60, 0), 3)
		r.Dispatched(start, "t7", prefixed(newRequest(51200, 20), 1, 400))
		r.Digest(start, digest("t7", 0, 16))
		longPrompt := prefixed(newRequest(51200, 20), 1, 400)
		longPrompt.Deadline = start.Add(3 * time.Second)
		Expect(first(r.Choose(start, longPrompt, nil))).To(Equal("t7"))
		other := newRequest(51200, 20)
		other.Deadline = longPrompt.Deadline
		_, status := r.Choose(start, other, nil)
		Expect(status).To(Equal(NoneInTime))
	})
})
