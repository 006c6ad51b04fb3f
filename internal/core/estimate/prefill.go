package estimate

import "math"

const (
	// prefillRingSize samples are held; the oldest makes way.
	prefillRingSize = 16
	// prefillPriorCount places of the ring start with the prior, each with
	// prefillPriorWeight.
	prefillPriorCount  = 4
	prefillPriorWeight = 4
	// prefillUnit is the work that weighs 1. The weight grows with the
	// logarithm, so that no single brief outweighs the rest of the ring.
	prefillUnit = 64
	// queueFactor times the explained time, and queueSteps steps more, is a
	// first token that prefill does not explain.
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
	// median is the estimate. reference is the estimate at a low batch: what
	// the engine does when it has no queue of its own.
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

// queued reports whether the first token came later than the work explains;
// all times in seconds.
func (r *prefillRing) queued(first, work, step float64) bool {
	explained := work/r.reference + step
	return first > queueFactor*explained+queueSteps*step
}

// add takes one sample: work tokens computed in the given seconds.
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
