package routing

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("trial", func() {
	// A straggler was cut to one place and is five times slower, so no score ever
	// picks it. A few short requests of a lower tier go there, or nobody would
	// see that it recovered; a top tier request never does.
	It("goes to a straggler now and then", func() {
		r := routerFor(poolOf(12, 0), 1)
		tried := func(tier uint8) (n int) {
			for i := range 2000 {
				now := start.Add(time.Duration(i) * 50 * time.Millisecond)
				slow := digest("t3", 0, 1)
				slow.StepTime = 100 * time.Millisecond
				r.Digest(now, slow)
				req := ask(100, 20)
				req.Tier = 1
				if tier == 0 {
					req.Tier = 0
				}
				req.Deadline = now.Add(10 * time.Second)
				if first(r.Choose(now, req, nil)) == "t3" {
					n++
				}
			}
			return n
		}
		Expect(tried(1)).To(BeNumerically("~", 9, 2), "in 100 s, one each 10 s")
		Expect(tried(0)).To(BeZero())
	})
})
