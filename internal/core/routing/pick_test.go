package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("stale digests", func() {
	// Forty owners hold the same digests, a second old: one target looks idle,
	// the rest are a little busier. Each owner sends a request; if all took the
	// best by the digests, that target would get forty at once.
	It("do not draw all owners to one target", func() {
		most := func(size int, least bool) (most int) {
			got := map[string]int{}
			for owner := range 40 {
				r := routerFor(poolOf(size, 0), uint64(owner))
				if least {
					r.picker = leastCost{}
				}
				for i := range size {
					r.Digest(start, digest(named(i), min(i, 3), 16))
				}
				name := first(r.Choose(start.Add(time.Second), ask(100, 50), nil))
				got[name]++
				most = max(most, got[name])
			}
			return most
		}
		Expect(most(12, true)).To(Equal(40), "the check sees a herd")
		Expect(most(12, false)).To(BeNumerically("<=", 14))
		Expect(most(60, false)).To(BeNumerically("<=", 10))
	})

	It("are corrected by the owner's own dispatches", func() {
		r := routerFor(poolOf(12, 0), 1)
		got := map[string]int{}
		for range 120 {
			req := ask(100, 50)
			name := first(r.Choose(start, req, nil))
			r.Dispatched(start, name, req)
			got[name]++
		}
		for i := range 12 {
			Expect(got[named(i)]).To(BeNumerically("~", 10, 5))
		}
	})
})
