package rollout

import "math"

const (
	// maxLoad is the highest load with a factor of its own; higher loads count as maxLoad.
	maxLoad = 12
	// minAnswersPerLoad is the number of answers at a load from which its factor is
	// computed.
	minAnswersPerLoad = 10
)

// loadFactors estimates how much slower the old version's targets are at each load. The
// canary is loaded more on purpose and must not count as slow because of that.
type loadFactors struct {
	// sums are the sums of the logarithms of times, as multiples of the baseline times.
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

// factor returns the time at a load as a multiple of the mean over all loads. A load at
// which the old version was not observed takes the factor of the nearest lower load,
// multiplied by the square root of the ratio of the loads: a target that shares its time
// slows down in proportion to its load, one that runs batches hardly slows down, and the
// square root lies between. Without this extrapolation slow answers would hide themselves,
// since a slow version has a higher load.
func (f *loadFactors) factor(load int) float64 {
	load = min(max(load, 1), maxLoad)
	for measured := load; measured >= 1; measured-- {
		if f.counts[measured] >= minAnswersPerLoad {
			factor := math.Exp(f.sums[measured]/f.counts[measured] - f.sum/f.count)
			return factor * math.Sqrt(float64(load)/float64(measured))
		}
	}
	return 1
}
