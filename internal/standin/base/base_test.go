package base_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/standin/base"
)

func TestBase(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "base")
}

var start = time.Unix(1000, 0)

var _ = Describe("Faults", func() {
	It("keep what an order leaves out", func() {
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

var _ = Describe("Bucket", func() {
	It("lets the rate through and tells when to come again", func() {
		var b base.Bucket
		taken := 0
		for i := range 1000 {
			if _, ok := b.Take(start.Add(time.Duration(i)*time.Millisecond), 100); ok {
				taken++
			}
		}
		// A burst of 25 and what 999 ms refill at 100 a second.
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
	It("shows the value as it was", func() {
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
