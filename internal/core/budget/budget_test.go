package budget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/budget"
)

var now = time.Unix(1_000_000, 0)

// old is when an entry began that has long been running.
var old = now.Add(-time.Hour)

const window = 10 * time.Second

// A service fails all requests and six entries repeat each. Together they must stay
// within the ratio and the extra, though they do not talk about it.
func TestEntriesTogetherStayWithinTheAllowance(t *testing.T) {
	g := NewWithT(t)
	const entries, requests, ratio, extra = 6, 100, 0.2, 52.0
	repeats := 0
	for range entries {
		b := budget.New(budget.Config{Window: window, Ratio: ratio, Extra: extra}, old)
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

// A service fails all requests; all entries are killed and start again, and do not know
// each other yet. Each would take the whole extra once more, within the same window.
func TestRestartDoesNotBringTheExtraBack(t *testing.T) {
	g := NewWithT(t)
	const entries, extra = 6, 52.0
	repeats := 0
	use := func(started time.Time, known int) {
		for range entries {
			b := budget.New(budget.Config{Window: window, Extra: extra}, started)
			for b.Repeat(now, "desk", known) {
				repeats++
			}
		}
	}
	use(now.Add(-time.Minute), entries)
	use(now.Add(-time.Second), 1)
	g.Expect(repeats).To(BeNumerically("<=", extra))
}

func TestAllowanceComesBackWithTheWindow(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(budget.Config{Window: window, Extra: 2}, old)
	g.Expect(b.Repeat(now, "desk", 1)).To(BeTrue())
	g.Expect(b.Repeat(now, "desk", 1)).To(BeFalse())
	g.Expect(b.Repeat(now.Add(window+time.Millisecond), "desk", 1)).To(BeTrue())
}

func TestServicesHaveTheirOwnAllowance(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(budget.Config{Window: window, Extra: 2}, old)
	g.Expect(b.Repeat(now, "desk", 1)).To(BeTrue())
	g.Expect(b.Repeat(now, "other", 1)).To(BeTrue())
}
