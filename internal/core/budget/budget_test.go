package budget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/budget"
)

var now = time.Unix(1_000_000, 0)

// longAgo is the start of an entry that has been running for a long time.
var longAgo = now.Add(-time.Hour)

const window = 10 * time.Second

// newBudget returns the budget of one of several entries that have long been running.
func newBudget(config budget.Config, entries int) *budget.Budget {
	b := budget.New(config, longAgo)
	b.SetEntries(longAgo, entries)
	return b
}

// spend makes as many repeats as allowed and returns their number.
func spend(b *budget.Budget, at time.Time) int {
	n := 0
	for b.Repeat(at, "desk").Allowed {
		n++
	}
	return n
}

// A service fails all requests, and six entries repeat each. Together they must stay
// within the ratio and the extra without exchanging messages.
func TestEntriesTogetherStayWithinTheAllowance(t *testing.T) {
	const entries, requests, ratio, extra = 6, 100, 0.2, 52.0
	const allowance = ratio*entries*requests + extra
	use := func(gap time.Duration) (repeats int) {
		for range entries {
			b := newBudget(budget.Config{Window: window, Ratio: ratio, Extra: extra}, entries)
			for i := range requests {
				b.Request(now.Add(-window+time.Duration(i)*gap), "desk")
			}
			for i := range requests {
				at := now.Add(time.Duration(i) * gap)
				b.Request(at, "desk")
				repeats += spend(b, at)
			}
		}
		return repeats
	}
	t.Run("requests at one moment", func(t *testing.T) {
		NewWithT(t).Expect(float64(use(0))).To(BeNumerically("<=", allowance))
	})
	t.Run("requests at equal intervals", func(t *testing.T) {
		g := NewWithT(t)
		repeats := float64(use(window / requests))
		g.Expect(repeats).To(BeNumerically("<=", allowance))
		g.Expect(repeats).To(BeNumerically(">", 0.7*allowance))
	})
}

// A service fails all requests. All entries are killed and restart without a list of
// the others yet. If each used the whole extra again, they would exceed it within the
// same window.
func TestRestartDoesNotRenewTheExtra(t *testing.T) {
	g := NewWithT(t)
	const entries, extra = 6, 52.0
	config := budget.Config{Window: window, Extra: extra}
	repeats := 0
	for range entries {
		repeats += spend(newBudget(config, entries), now)
		restarted := budget.New(config, now.Add(-time.Second))
		repeats += spend(restarted, now)
		restarted.SetEntries(now, 1)
		repeats += spend(restarted, now.Add(time.Second))
	}
	g.Expect(repeats).To(BeNumerically(">", 0))
	g.Expect(repeats).To(BeNumerically("<=", extra))
}

func TestAllowanceIsRenewedAfterTheWindow(t *testing.T) {
	g := NewWithT(t)
	b := newBudget(budget.Config{Window: window, Extra: 4}, 1)
	g.Expect(b.Repeat(now, "desk").Allowed).To(BeTrue())
	g.Expect(b.Repeat(now, "desk").Allowed).To(BeFalse())
	g.Expect(b.Repeat(now.Add(window+time.Millisecond), "desk").Allowed).To(BeTrue())
}

func TestAllowanceIsPerService(t *testing.T) {
	g := NewWithT(t)
	b := newBudget(budget.Config{Window: window, Extra: 4}, 1)
	g.Expect(b.Repeat(now, "desk").Allowed).To(BeTrue())
	g.Expect(b.Repeat(now, "other").Allowed).To(BeTrue())
}

// Guards against an entry that takes the whole extra because it has not read the registry yet.
func TestExtraIsUnusedWhileTheOtherEntriesAreUnknown(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(budget.Config{Window: window, Extra: 100}, longAgo)
	g.Expect(spend(b, now)).To(BeZero())
	b.SetEntries(now, 2)
	g.Expect(spend(b, now.Add(window))).To(BeNumerically(">", 0))
}

// Guards against entries that take the parts of others from which they are cut off, and which
// use their parts too.
func TestExtraOfLostEntriesIsNotTaken(t *testing.T) {
	g := NewWithT(t)
	b := newBudget(budget.Config{Window: window, Extra: 100}, 10)
	b.SetEntries(now, 10)
	b.SetEntries(now.Add(time.Second), 1)
	g.Expect(spend(b, now.Add(30*time.Second))).To(BeNumerically("<=", 100/10))
	muchLater := now.Add(5 * time.Minute)
	g.Expect(spend(b, muchLater)).To(BeNumerically(">", 100/10))
}

// Guards against tokens saved under busy traffic that remain when the traffic, and with it the
// allowance, has fallen.
func TestSavedTokensExpireWithTheRequests(t *testing.T) {
	g := NewWithT(t)
	b := newBudget(budget.Config{Window: window, Ratio: 0.2}, 1)
	for range 1000 {
		b.Request(now, "desk")
	}
	later := now.Add(window + time.Second)
	b.Request(later, "desk")
	g.Expect(spend(b, later)).To(BeZero())
}

// Guards against a new entry that can repeat none of its first requests, and against one that
// restarts and gets the same again.
func TestOnlyTheFirstProcessBeginsWithAToken(t *testing.T) {
	g := NewWithT(t)
	config := budget.Config{Window: window, Ratio: 0.2, Extra: 50}
	first, restarted := budget.New(config, now), budget.New(config, now)
	first.SetFirstStart()
	for _, b := range []*budget.Budget{first, restarted} {
		b.SetEntries(now, 6)
		b.Request(now, "desk")
	}
	g.Expect(spend(first, now)).To(Equal(1))
	g.Expect(spend(restarted, now)).To(BeZero())
}

// Guards against an entry that gains nothing for a window after its start, because the few
// tokens of its first requests were nearly all of its allowance at that moment.
func TestFirstRequestsDoNotStopTheGain(t *testing.T) {
	g := NewWithT(t)
	b := budget.New(budget.Config{Window: window, Ratio: 0.2, Extra: 58}, now)
	b.SetFirstStart()
	for range 3 {
		b.Request(now, "desk")
	}
	b.SetEntries(now.Add(300*time.Millisecond), 9)
	for i := range 100 {
		b.Request(now.Add(300*time.Millisecond+time.Duration(i)*50*time.Millisecond), "desk")
	}
	g.Expect(spend(b, now.Add(5*time.Second+300*time.Millisecond))).To(BeNumerically(">=", 5))
}

// Guards against a reload of the settings that renews the budget.
func TestChangedWindowDoesNotRenewTheAllowance(t *testing.T) {
	g := NewWithT(t)
	config := budget.Config{Window: window, Extra: 100}
	b := newBudget(config, 1)
	spent := spend(b, now)
	config.Window = window / 2
	b.SetConfig(config)
	for at := time.Duration(0); at < config.Window; at += 10 * time.Millisecond {
		spent += spend(b, now.Add(at))
	}
	g.Expect(spent).To(BeNumerically("<=", 100))
}
