package budget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a maximum that is forgotten before its span has passed, or kept for long
// after it, whether or not other values are observed meanwhile.
func TestSlidingMaxKeepsValuesForTheSpan(t *testing.T) {
	g := NewWithT(t)
	const span = 8 * time.Second
	for begin := time.Duration(0); begin < span; begin += 700 * time.Millisecond {
		quiet, busy := newSlidingMax(span, 0), newSlidingMax(span, 0)
		for _, m := range []*slidingMax{&quiet, &busy} {
			m.observe(begin, 3)
			m.observe(begin, 1)
		}
		for after := time.Duration(0); after <= span; after += 100 * time.Millisecond {
			busy.observe(begin+after, 1)
			g.Expect(busy.value(begin + after)).To(Equal(3.0))
		}
		g.Expect(quiet.value(begin + span)).To(Equal(3.0))
		g.Expect(busy.value(begin + span + span/4)).To(Equal(1.0))
		g.Expect(quiet.value(begin + 3*span)).To(Equal(1.0))
	}
}

// Guards against an initial value that is forgotten with the first observation, long after the
// moment from which times are counted.
func TestSlidingMaxKeepsItsInitialValue(t *testing.T) {
	g := NewWithT(t)
	m := newSlidingMax(8*time.Second, 5)
	m.observe(time.Hour, 1)
	g.Expect(m.value(time.Hour + 7*time.Second)).To(Equal(5.0))
	g.Expect(m.value(time.Hour + time.Minute)).To(Equal(1.0))
}
