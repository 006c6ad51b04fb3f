package rollout

import "math"

const (
	// maxLoad is the greatest load that is told apart.
	maxLoad = 12
	// minLoadAnswers is the number of answers from which a load's factor is known.
	minLoadAnswers = 10
)

// loadFactors says how much slower the old version's targets are at each load: the canary
// is loaded on purpose, and must not count as slow for that.
type loadFactors struct {
	// sums are those of the logarithms of times as multiples of the usual ones.
	sums   [maxLoad + 1]float64
	counts [maxLoad + 1]float64
	sum    float64
	count  float64
}

func (f *loadFactors) add(load int, multiple float64) {
	load = min(max(load, 1), maxLoad)
	x := math.Log(multiple)
	f.sums[load] += x
	f.counts[load]++
	f.sum += x
	f.count++
}

// factor is the time at a load as a multiple of the mean over all loads. For a load that
// the old version has not been seen at it is taken from the nearest one below: a target
// that shares its time slows down in proportion to its load, one that runs batches hardly,
// and the square root is between. Left out, slow answers would hide themselves, since a
// slow version is loaded more.
func (f *loadFactors) factor(load int) float64 {
	load = min(max(load, 1), maxLoad)
	for known := load; known >= 1; known-- {
		if f.counts[known] >= minLoadAnswers {
			seen := math.Exp(f.sums[known]/f.counts[known] - f.sum/f.count)
			return seen * math.Sqrt(float64(load)/float64(known))
		}
	}
	return 1
}
