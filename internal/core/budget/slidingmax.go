package budget

import (
	"slices"
	"time"
)

// maxSlots divides the span of a slidingMax, which is exact to one slot: it may remember a
// value for a quarter of the span longer.
const maxSlots = 5

// slidingMax is the largest recent value of a quantity that keeps its value until the next
// one is observed. Times are given since any fixed moment and do not decrease.
type slidingMax struct {
	// width is the length of a slot. All slots but the current one together are the span.
	width time.Duration
	// slots hold the largest value of each of the last slots; number is that of the
	// current one, last the last value.
	slots  [maxSlots]float64
	number int64
	last   float64
}

// newSlidingMax returns the maximum over a span for a quantity that has a value already.
func newSlidingMax(span time.Duration, value float64) slidingMax {
	return slidingMax{width: max(1, span/(maxSlots-1)), slots: [maxSlots]float64{value}, last: value}
}

func (m *slidingMax) observe(at time.Duration, value float64) {
	m.advance(at)
	m.last = value
	current := &m.slots[m.number%maxSlots]
	*current = max(*current, value)
}

func (m *slidingMax) value(at time.Duration) float64 {
	m.advance(at)
	return m.largest()
}

// largest returns the value at the last time that was given.
func (m *slidingMax) largest() float64 { return slices.Max(m.slots[:]) }

// advance begins the slots up to the current one with the last value.
func (m *slidingMax) advance(at time.Duration) {
	number := int64(at / m.width)
	for n := max(m.number+1, number-maxSlots+1); n <= number; n++ {
		m.slots[n%maxSlots] = m.last
	}
	m.number = max(m.number, number)
}
