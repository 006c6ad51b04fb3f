package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/request"
)

var _ = Describe("trial", func() {
	// A straggler was limited to one slot and is five times slower, so that no score
	// ever selects it. A few short requests of a lower tier must go there, otherwise
	// its recovery would not be noticed. A request of the top tier must never go there.
	It("is made at a straggler from time to time", func() {
		tried := func(tier request.Tier, left time.Duration) (n int) {
			r := routerFor(poolOf(12, 0), 1)
			for i := range 2000 {
				now := start.Add(time.Duration(i) * 50 * time.Millisecond)
				slow := digest("t3", 0, 1)
				slow.StepTime = 100 * time.Millisecond
				r.Digest(now, slow)
				req := newRequest(100, 20)
				req.Tier = tier
				req.Deadline = now.Add(left)
				if first(r.Choose(now, req, nil)) == "t3" {
					n++
				}
			}
			return n
		}
		Expect(tried(1, 10*time.Second)).To(BeNumerically("~", 9, 2), "in 100 s, one every 10 s")
		Expect(tried(0, 10*time.Second)).To(BeZero())
		Expect(tried(1, 3*time.Second)).To(BeZero(), "2 s at the straggler leave too little slack")
	})
})
