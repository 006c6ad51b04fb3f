package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("stale digests", func() {
	// Forty owners hold the same digests, which are a second old: one target looks
	// idle, the rest a little busier. Each owner sends a request. If all of them chose
	// the best target by the digests, it would receive forty requests at once.
	It("do not send all owners to one target", func() {
		most := func(size int, least bool) (most int) {
			got := map[string]int{}
			for owner := range 40 {
				r := routerFor(poolOf(size, 0), uint64(owner))
				if least {
					r.picker = leastCost{}
				}
				for i := range size {
					r.Digest(start, digest(targetName(i), min(i, 3), 16))
				}
				name := first(r.Choose(start.Add(time.Second), newRequest(100, 50), nil))
				got[name]++
				most = max(most, got[name])
			}
			return most
		}
		Expect(most(12, true)).To(Equal(40), "the check detects convergence on one target")
		Expect(most(12, false)).To(BeNumerically("<=", 14))
		Expect(most(60, false)).To(BeNumerically("<=", 10))
	})

	It("are corrected by the owner's own dispatches", func() {
		r := routerFor(poolOf(12, 0), 1)
		got := map[string]int{}
		for range 120 {
			req := newRequest(100, 50)
			name := first(r.Choose(start, req, nil))
			r.Dispatched(start, name, req)
			got[name]++
		}
		for i := range 12 {
			Expect(got[targetName(i)]).To(BeNumerically("~", 10, 5))
		}
	})
})
