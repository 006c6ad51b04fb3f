package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a burst between two digests", func() {
	// Two targets with one free place each. The owner offers eight requests to one
	// of them before the next digests. Without a count of its own offers the two
	// look alike, and more are sent to the longer queue.
	It("is spread by the owner's own offers", func() {
		r := routerFor(poolOf(2, 0), 1)
		for i := range 2 {
			r.Digest(start, digest(named(i), 15, 16))
		}
		for range 8 {
			r.Offered(start, named(0))
		}
		for range 20 {
			Expect(first(r.Choose(start, ask(100, 50), nil))).To(Equal(named(1)))
		}
		for i := range 2 {
			r.Digest(start, digest(named(i), 15, 16))
		}
		got := map[string]int{}
		for range 40 {
			got[first(r.Choose(start, ask(100, 50), nil))]++
		}
		Expect(got[named(0)]).To(BeNumerically(">", 5), "a new digest has them counted")
	})

	// Two full targets; at one lower work waits for seconds, which a request of the
	// top tier passes. By the lowest tier's wait the other would look better.
	It("goes by the wait of the request's own tier", func() {
		r := routerFor(poolOf(2, 0), 1)
		passes := digest(named(0), 16, 16)
		passes.Wait, passes.Waits = 3*time.Second, []time.Duration{50 * time.Millisecond, 3 * time.Second}
		waits := digest(named(1), 16, 16)
		waits.Wait, waits.Waits = time.Second, []time.Duration{time.Second, time.Second}
		r.Digest(start, passes)
		r.Digest(start, waits)
		high := ask(100, 50)
		high.Tier = 0
		Expect(first(r.Choose(start, high, nil))).To(Equal(named(0)))
		Expect(first(r.Choose(start, ask(100, 50), nil))).To(Equal(named(1)))
	})

	// A fast engine is full for half a second, a slower one is free. A short
	// request that both can serve in time leaves the fast one's queue alone; a
	// brief waits, since its prompt takes the slower one far longer.
	It("finds a short request on a free slower engine", func() {
		r := routerFor(poolOf(2, 1), 1)
		fast := digest(named(0), 16, 16)
		fast.StepTime, fast.PrefillRate = 10*time.Millisecond, fastRate
		fast.Wait, fast.Waits = 500*time.Millisecond, []time.Duration{500 * time.Millisecond, 500 * time.Millisecond}
		slow := digest(named(1), 2, 16)
		slow.StepTime, slow.PrefillRate = 30*time.Millisecond, slowRate
		r.Digest(start, fast)
		r.Digest(start, slow)
		Expect(first(r.Choose(start, ask(200, 60), nil))).To(Equal(named(1)))
		Expect(first(r.Choose(start, ask(20000, 60), nil))).To(Equal(named(0)))
	})
})
