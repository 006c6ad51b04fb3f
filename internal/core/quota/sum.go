package quota

import "time"

// sumStep is the resolution of a usageSum.
const sumStep = 100 * time.Millisecond

// usageSum is what all entries have reported of an organisation's usage within the window, so
// that it need not be added up over the entries.
type usageSum struct {
	start time.Time
	// sent holds the cost sent in each step; last is the number of the latest step.
	sent []float64
	last int
	// waiting is the admitted cost that has not been sent.
	waiting float64
}

func newUsageSum(now time.Time, window time.Duration) *usageSum {
	return &usageSum{start: now, sent: make([]float64, int(window/sumStep)+2)}
}

// add adds a cost that was sent at a time. A cost that was sent before the window is ignored.
func (s *usageSum) add(at time.Time, cost float64) {
	step := s.step(at)
	for s.last < step {
		s.last++
		s.sent[s.index(s.last)] = 0
		if step-s.last > len(s.sent) {
			s.last = step - len(s.sent)
		}
	}
	if s.last-step < len(s.sent) {
		s.sent[s.index(step)] += cost
	}
}

// usedSince returns what was sent after a moment, rounded up to a whole step, plus what is
// waiting. A nil sum is empty.
func (s *usageSum) usedSince(moment time.Time) float64 {
	if s == nil {
		return 0
	}
	total := s.waiting
	for step := max(s.step(moment), s.last-len(s.sent)+1); step <= s.last; step++ {
		total += s.sent[s.index(step)]
	}
	return total
}

// step returns the number of the step of a time; it is negative before the start.
func (s *usageSum) step(at time.Time) int {
	passed := at.Sub(s.start)
	step := int(passed / sumStep)
	if passed < 0 {
		step--
	}
	return step
}

func (s *usageSum) index(step int) int {
	n := len(s.sent)
	return ((step % n) + n) % n
}

// extend makes room for a longer window.
func (s *usageSum) extend(window time.Duration) {
	longer := newUsageSum(s.start, window)
	longer.waiting, longer.last = s.waiting, s.last
	for step := s.last - len(s.sent) + 1; step <= s.last; step++ {
		longer.sent[longer.index(step)] = s.sent[s.index(step)]
	}
	*s = *longer
}
