package estimate

import "math"

const (
	// prefillRingSize is the number of samples kept; a new one replaces the oldest.
	prefillRingSize = 16
	// prefillPriorCount is the number of samples that the prior starts with, each
	// of weight prefillPriorWeight.
	prefillPriorCount  = 4
	prefillPriorWeight = 4
	// prefillUnit is the work, in tokens, that has weight 1. The weight grows with
	// the logarithm, so that no single long prompt outweighs the rest of the ring.
	prefillUnit = 64
	// A first token counts as queued if it takes longer than queueFactor times the
	// expected time plus queueSteps steps.
	queueFactor = 2.0
	queueSteps  = 2.0
)

// prefillRing estimates prompt tokens per second as the weighted median of the
// last samples.
type prefillRing struct {
	rates   [prefillRingSize]float32
	weights [prefillRingSize]float32
	next    uint8
	used    uint8
	// median is the estimate. reference is the estimate at a low batch, when the
	// engine has no queue of its own.
	median, reference float64
}

func newPrefillRing(rate float64) prefillRing {
	r := prefillRing{median: rate, reference: rate}
	for range prefillPriorCount {
		r.put(rate, prefillPriorWeight)
	}
	return r
}

func (r *prefillRing) rate() float64 { return r.median }

// queued reports whether the first token came later than the work explains. All
// times are in seconds.
func (r *prefillRing) queued(first, work, step float64) bool {
	explained := work/r.reference + step
	return first > queueFactor*explained+queueSteps*step
}

// add adds one sample: work tokens computed in taken seconds.
func (r *prefillRing) add(work, taken float64, lowBatch bool) {
	if work <= 0 || taken <= 0 {
		return
	}
	r.put(work/taken, math.Log2(1+work/prefillUnit))
	r.median = r.weightedMedian()
	if lowBatch || r.median > r.reference {
		r.reference = r.median
	}
}

func (r *prefillRing) put(rate, weight float64) {
	r.rates[r.next] = float32(rate)
	r.weights[r.next] = float32(weight)
	r.next = (r.next + 1) % prefillRingSize
	r.used = min(r.used+1, prefillRingSize)
}

func (r *prefillRing) weightedMedian() float64 {
	rates, weights := r.rates, r.weights
	n := int(r.used)
	total := float32(0)
	for i := range n {
		total += weights[i]
		for j := i; j > 0 && rates[j] < rates[j-1]; j-- {
			rates[j], rates[j-1] = rates[j-1], rates[j]
			weights[j], weights[j-1] = weights[j-1], weights[j]
		}
	}
	sum := float32(0)
	for i := range n {
		sum += weights[i]
		if sum >= total/2 {
			return float64(rates[i])
		}
	}
	return r.median
}
