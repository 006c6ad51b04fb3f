package estimate

import (
	"math"
	"time"
)

const (
	// historyWindow is the number of recent step times compared with the line.
	historyWindow = 8
	// historyStart is the number of samples after which a target may be classified
	// as a straggler. Until then a difference may be an error of the prior.
	historyStart = 16
	// stragglerFactor is the ratio to the line above which a step time counts as
	// slow, recoveredFactor the ratio up to which it counts as recovered.
	stragglerFactor = 2.0
	recoveredFactor = 1.3
	// slowCount slow step times in the window reduce the limit to 1/slowDivisor, and
	// stragglerCount make the target a straggler. recoveredCount recovered step
	// times end that.
	slowCount      = 3
	slowDivisor    = 2
	stragglerCount = 5
	recoveredCount = 6
	// rebaseAfter is how long a target remains a straggler before its speed becomes
	// its history. From then on it is treated as an ordinary slower target.
	rebaseAfter = 10 * time.Minute
)

// history compares recent step times with the line learned before.
type history struct {
	// ratios is a ring of log2(step time / the line's step time).
	ratios    [historyWindow]float32
	next      uint8
	seen      uint8
	straggler bool
	// stragglerSince is when the target became a straggler, in Unix nanoseconds.
	stragglerSince int64
	median         float32
}

// add adds the ratio of a step time to the line's step time.
func (h *history) add(now time.Time, ratio float64) {
	h.ratios[h.next] = float32(math.Log2(ratio))
	h.next = (h.next + 1) % historyWindow
	if h.seen < math.MaxUint8 {
		h.seen++
	}
	h.median = h.lowerMedian()
	h.updateStraggler(now)
}

func (h *history) updateStraggler(now time.Time) {
	switch {
	case h.straggler && h.within(recoveredFactor) >= recoveredCount:
		h.straggler = false
	case !h.straggler && h.established() && h.beyond() >= stragglerCount:
		h.straggler = true
		h.stragglerSince = now.UnixNano()
	}
}

func (h *history) established() bool { return h.seen > historyStart }

func (h *history) slow() bool { return h.established() && h.beyond() >= slowCount }

func (h *history) beyond() int { return historyWindow - h.within(stragglerFactor) }

func (h *history) within(factor float64) int {
	bound := float32(math.Log2(factor))
	n := 0
	for _, r := range h.ratios {
		if r <= bound {
			n++
		}
	}
	return n
}

// level returns the ratio of the current step time to the line's.
func (h *history) level() float64 { return math.Exp2(float64(h.median)) }

// rebase reports whether the target has been a straggler for so long that its
// current speed becomes the history.
func (h *history) rebase(now time.Time) bool {
	return h.straggler && now.UnixNano()-h.stragglerSince >= int64(rebaseAfter)
}

func (h *history) reset() { *h = history{} }

// lowerMedian returns the lower median of the window. Elements without a sample
// count as no change.
func (h *history) lowerMedian() float32 {
	sorted := h.ratios
	for i := range sorted {
		for j := i; j > 0 && sorted[j] < sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted[(historyWindow-1)/2]
}
