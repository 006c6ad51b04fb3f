package estimate

import (
	"math"
	"time"
)

const (
	// historyWindow is how many of the last step times are compared.
	historyWindow = 8
	// historyStart samples must have formed the line before a straggler is
	// called one: until then a difference is the prior's fault.
	historyStart = 16
	// stragglerFactor is the step time against history that counts as slow,
	// recoveredFactor that which counts as back.
	stragglerFactor = 2.0
	recoveredFactor = 1.3
	// slowCount slow ones of the window lower the limit to 1/slowShare,
	// stragglerCount make a straggler; recoveredCount back in history end it.
	slowCount      = 3
	slowShare      = 2
	stragglerCount = 5
	recoveredCount = 6
	// rebaseAfter is how long a straggler keeps a steady speed before that
	// speed becomes its history: it is a slower target then, and is scored so.
	rebaseAfter = 10 * time.Minute
)

// history compares the last step times with the line learned before.
type history struct {
	// ratios are log2 of step time over the line's, newest overwrites oldest.
	ratios    [historyWindow]float32
	next      uint8
	seen      uint8
	straggler bool
	// since is when the target became a straggler, in Unix nanoseconds.
	since  int64
	median float32
}

// add takes the ratio of a step time to the line's.
func (h *history) add(now time.Time, ratio float64) {
	h.ratios[h.next] = float32(math.Log2(ratio))
	h.next = (h.next + 1) % historyWindow
	if h.seen < math.MaxUint8 {
		h.seen++
	}
	h.median = h.middle()
	h.judge(now)
}

func (h *history) judge(now time.Time) {
	switch {
	case h.straggler && h.within(recoveredFactor) >= recoveredCount:
		h.straggler = false
	case !h.straggler && h.established() && h.beyond() >= stragglerCount:
		h.straggler = true
		h.since = now.UnixNano()
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

// level is the present speed against the line's, as a factor of step time.
func (h *history) level() float64 { return math.Exp2(float64(h.median)) }

// rebase reports whether the present speed has stood for so long that it
// becomes the history.
func (h *history) rebase(now time.Time) bool {
	return h.straggler && now.UnixNano()-h.since >= int64(rebaseAfter)
}

func (h *history) forget() { *h = history{} }

// middle is the lower median of the window; unseen places count as no change.
func (h *history) middle() float32 {
	sorted := h.ratios
	for i := range sorted {
		for j := i; j > 0 && sorted[j] < sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted[(historyWindow-1)/2]
}
