package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/request"
)

var _ = Describe("trial", func() {
	// A straggler was cut to one place and is five times slower, so no score ever
	// picks it. A few short requests of a lower tier go there, or nobody would
	// see that it recovered; a top tier request never does.
	It("goes to a straggler now and then", func() {
		tried := func(tier request.Tier, left time.Duration) (n int) {
			r := routerFor(poolOf(12, 0), 1)
			for i := range 2000 {
				now := start.Add(time.Duration(i) * 50 * time.Millisecond)
				slow := digest("t3", 0, 1)
				slow.StepTime = 100 * time.Millisecond
				r.Digest(now, slow)
				req := ask(100, 20)
				req.Tier = tier
				req.Deadline = now.Add(left)
				if first(r.Choose(now, req, nil)) == "t3" {
					n++
				}
			}
			return n
		}
		Expect(tried(1, 10*time.Second)).To(BeNumerically("~", 9, 2), "in 100 s, one each 10 s")
		Expect(tried(0, 10*time.Second)).To(BeZero())
		Expect(tried(1, 3*time.Second)).To(BeZero(), "2 s there, so no slack")
	})
})
