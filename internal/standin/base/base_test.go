package base_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/standin/base"
)

func TestBase(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "base")
}

var start = time.Unix(1000, 0)

var _ = Describe("Faults", func() {
	It("keep the fields that an order does not contain", func() {
		f, err := base.Faults{LagMS: 7, Outage: true}.Merge([]byte(`{"outage":false,"gaps":0.5}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(f).To(Equal(base.Faults{LagMS: 7, Gaps: 0.5}))
	})

	DescribeTable("refuse", func(order string) {
		_, err := base.Faults{}.Merge([]byte(order))
		Expect(err).To(HaveOccurred())
	},
		Entry("an unknown field", `{"outages":true}`),
		Entry("a share above one", `{"gaps":1.5}`),
		Entry("a negative time", `{"lag_ms":-1}`),
		Entry("two values", `{} {}`),
	)
})

var _ = Describe("a crash", func() {
	// A call is running when the process crashes, and its handler ends after the
	// restart. The connection of the caller is closed, so the run must remain
	// incomplete and the handler must not begin a run in the new process.
	It("prevents handlers of the old process from beginning or completing runs", func() {
		began, release, ended := make(chan bool), make(chan bool), make(chan bool)
		var h *base.Host
		h = base.New(base.Common{}, base.Behaviour{Handle: func(ctx *fasthttp.RequestCtx) {
			ticket, begun := h.Ledger().Begin(ctx, "id-1")
			began <- begun
			<-release
			h.Ledger().End(ticket, func(run *base.Run) { run.Complete = true })
			_, begun = h.Ledger().Begin(ctx, "id-2")
			ended <- begun
		}})
		Expect(h.Start("127.0.0.1:0")).To(Succeed())
		DeferCleanup(h.Close)
		failed := make(chan error)
		go func() {
			_, err := http.Get("http://" + h.Address() + "/")
			failed <- err
		}()
		Expect(<-began).To(BeTrue())
		h.Crash()
		Expect(<-failed).To(HaveOccurred())
		Expect(h.Apply(base.Faults{})).To(Succeed())
		close(release)
		Expect(<-ended).To(BeFalse())
		report := h.Ledger().Report()
		Expect(report.Incarnation).To(Equal(2))
		Expect(report.Runs).To(HaveLen(1))
		Expect(report.Runs[0].Complete).To(BeFalse())
	})
})

var _ = Describe("requests rejected because of a fault", func() {
	It("are counted in the ledger and not run", func() {
		var h *base.Host
		h = base.New(base.Common{}, base.Behaviour{Handle: func(ctx *fasthttp.RequestCtx) { h.Admits(ctx) }})
		Expect(h.Start("127.0.0.1:0")).To(Succeed())
		DeferCleanup(h.Close)
		reason := func() string {
			response, err := http.Get("http://" + h.Address() + "/")
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			return response.Header.Get(base.HeaderNotAdmitted)
		}
		Expect(reason()).To(BeEmpty())
		Expect(h.Ledger().Report().Rejected).To(BeZero())
		Expect(h.Apply(base.Faults{Leaving: true})).To(Succeed())
		Expect(reason()).To(Equal(base.NotAdmittedLeaving))
		Expect(h.Apply(base.Faults{Refuse: true})).To(Succeed())
		Expect(reason()).To(Equal(base.NotAdmittedFull))
		report := h.Ledger().Report()
		Expect(report.Rejected).To(Equal(2))
		Expect(report.LastRejectedMS).To(BeNumerically(">", 0))
		Expect(report.Runs).To(BeEmpty())
	})
})

var _ = Describe("Bucket", func() {
	It("limits the rate and returns the delay until the next call", func() {
		var b base.Bucket
		taken := 0
		for i := range 1000 {
			if _, ok := b.Take(start.Add(time.Duration(i)*time.Millisecond), 100); ok {
				taken++
			}
		}
		// A burst of 25 and the refill of 999 ms at 100 per second.
		Expect(taken).To(BeNumerically("~", 124, 1))
		var slow base.Bucket
		_, ok := slow.Take(start, 2)
		Expect(ok).To(BeTrue())
		wait, ok := slow.Take(start, 2)
		Expect(ok).To(BeFalse())
		Expect(wait).To(Equal(500 * time.Millisecond))
	})
})

var _ = Describe("Lagged", func() {
	It("returns the value as it was at a time", func() {
		var l base.Lagged[int]
		lag := 10 * time.Millisecond
		for i := range 5 {
			l.Set(start.Add(time.Duration(i)*lag), lag, i+1)
		}
		now := start.Add(4 * lag)
		Expect(l.At(now)).To(Equal(5))
		Expect(l.At(now.Add(-lag))).To(Equal(4))
		Expect(l.At(start.Add(-lag))).To(BeZero())
	})
})
