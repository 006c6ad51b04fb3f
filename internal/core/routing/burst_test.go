package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a burst between two digests", func() {
	// Two targets have one free slot each. The owner offers eight requests to one of
	// them before the next digests. If it did not count its own offers, the two would
	// look equal, and more requests would be sent to the longer queue.
	It("is spread according to the owner's own offers", func() {
		r := routerFor(poolOf(2, 0), 1)
		for i := range 2 {
			r.Digest(start, digest(targetName(i), 15, 16))
		}
		for range 8 {
			r.Offered(start, targetName(0))
		}
		for range 20 {
			Expect(first(r.Choose(start, newRequest(100, 50), nil))).To(Equal(targetName(1)))
		}
		for i := range 2 {
			r.Digest(start, digest(targetName(i), 15, 16))
		}
		got := map[string]int{}
		for range 40 {
			got[first(r.Choose(start, newRequest(100, 50), nil))]++
		}
		Expect(got[targetName(0)]).To(BeNumerically(">", 5), "a new digest includes the offers")
	})

	// Both targets are full. At one of them requests of a lower tier wait for seconds,
	// and a request of the top tier passes them. By the lowest tier's wait the other
	// target would look better.
	It("uses the wait of the request's own tier", func() {
		r := routerFor(poolOf(2, 0), 1)
		passes := digest(targetName(0), 16, 16)
		passes.Wait, passes.Waits = 3*time.Second, []time.Duration{50 * time.Millisecond, 3 * time.Second}
		waits := digest(targetName(1), 16, 16)
		waits.Wait, waits.Waits = time.Second, []time.Duration{time.Second, time.Second}
		r.Digest(start, passes)
		r.Digest(start, waits)
		high := newRequest(100, 50)
		high.Tier = 0
		Expect(first(r.Choose(start, high, nil))).To(Equal(targetName(0)))
		Expect(first(r.Choose(start, newRequest(100, 50), nil))).To(Equal(targetName(1)))
	})

	// A fast engine is full for half a second, a slower one is free. A short request
	// that both can serve in time goes to the slower one, which keeps the fast one's
	// queue short. A long prompt waits for the fast engine, since its prefill takes far
	// longer on the slower one.
	It("sends a short request to a free slower engine", func() {
		r := routerFor(poolOf(2, 1), 1)
		fast := digest(targetName(0), 16, 16)
		fast.StepTime, fast.PrefillRate = 10*time.Millisecond, fastRate
		fast.Wait, fast.Waits = 500*time.Millisecond, []time.Duration{500 * time.Millisecond, 500 * time.Millisecond}
		slow := digest(targetName(1), 2, 16)
		slow.StepTime, slow.PrefillRate = 30*time.Millisecond, slowRate
		r.Digest(start, fast)
		r.Digest(start, slow)
		Expect(first(r.Choose(start, newRequest(200, 60), nil))).To(Equal(targetName(1)))
		Expect(first(r.Choose(start, newRequest(20000, 60), nil))).To(Equal(targetName(0)))
	})
})
