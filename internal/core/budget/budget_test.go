package budget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/budget"
)

var now = time.Unix(1_000_000, 0)

const window = 10 * time.Second

// A service fails all requests and six entries repeat each. Together they must stay
// within the ratio and the extra, though they do not talk about it.
func TestEntriesTogetherStayWithinTheAllowance(t *testing.T) {
	g := NewWithT(t)
	const entries, requests, ratio, extra = 6, 100, 0.2, 52.0
	repeats := 0
	for range entries {
		b := budget.New(budget.Config{Window: window, Ratio: ratio, Extra: extra})
		for range requests {
			b.Request(now, "desk")
			if b.Repeat(now, "desk", entries) {
				repeats++
			}
		}
	}
	g.Expect(float64(repeats)).To(BeNumerically("<=", ratio*entries*requests+extra))
	g.Expect(float64(repeats)).To(BeNumerically(">", 0.7*(ratio*entries*requests+extra)))
}

func TestAllowanceComesBackWithTheWindow(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(budget.Config{Window: window, Extra: 2})
	g.Expect(b.Repeat(now, "desk", 1)).To(BeTrue())
	g.Expect(b.Repeat(now, "desk", 1)).To(BeFalse())
	g.Expect(b.Repeat(now.Add(window+time.Millisecond), "desk", 1)).To(BeTrue())
}

func TestServicesHaveTheirOwnAllowance(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(budget.Config{Window: window, Extra: 2})
	g.Expect(b.Repeat(now, "desk", 1)).To(BeTrue())
	g.Expect(b.Repeat(now, "other", 1)).To(BeTrue())
}
