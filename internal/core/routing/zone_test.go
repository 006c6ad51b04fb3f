package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("zone", func() {
	It("prefers the own zone among equal targets, but not if its targets are slower", func() {
		r := routerFor(poolOf(60, 0), 5)
		near := func() (n int) {
			for range 300 {
				name := first(r.Choose(start, newRequest(50, 2), nil))
				if r.targets[name].zone == "z0" {
					n++
				}
			}
			return n
		}
		Expect(near()).To(BeNumerically(">", 250))
		for i := 0; i < 60; i += 3 {
			d := digest(targetName(i), 16, 16)
			d.Wait = time.Second
			r.Digest(start, d)
		}
		Expect(near()).To(BeZero())
	})
})
