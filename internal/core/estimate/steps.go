package estimate

import "math"

const (
	// stepDecay is what each sample leaves of the former ones' weight; the line
	// rests on about 1/(1-stepDecay) samples.
	stepDecay = 0.97
	// stepLearnDecay holds until the history is established, so that a prior
	// that is far off is gone before the target is held against its line.
	stepLearnDecay = 0.8
	// stepPriorWeight is how many samples each of the prior's two points counts.
	stepPriorWeight = 2
	// stepClip bounds how far, as a factor, one sample may lie from the line.
	stepClip = 2.0
	// stepRidge draws the slope to zero while batches hardly vary, in batches².
	stepRidge = 0.05
)

// stepLine is step time against batch size, in seconds: a line by least
// squares over decayed sums.
type stepLine struct {
	weight, batch, step, batchBatch, batchStep float64
}

// newStepLine starts flat at the prior, between batch 1 and the largest.
func newStepLine(step float64, maxBatch int) stepLine {
	var l stepLine
	l.put(stepPriorWeight, 1, step)
	l.put(stepPriorWeight, float64(maxBatch), step)
	return l
}

// add takes one sample; batch 0 is not known and moves the level only.
func (l *stepLine) add(batch int, step, decay float64) {
	b := l.batchOr(batch)
	expected := l.at(b)
	step = min(max(step, expected/stepClip), expected*stepClip)
	l.scaleWeight(decay)
	l.put(1, b, step)
}

func (l *stepLine) put(weight, batch, step float64) {
	l.weight += weight
	l.batch += weight * batch
	l.step += weight * step
	l.batchBatch += weight * batch * batch
	l.batchStep += weight * batch * step
}

func (l *stepLine) scaleWeight(by float64) {
	l.weight *= by
	l.batch *= by
	l.step *= by
	l.batchBatch *= by
	l.batchStep *= by
}

// scale makes every step time longer by a factor.
func (l *stepLine) scale(by float64) {
	l.step *= by
	l.batchStep *= by
}

// batchOr is the batch as a number, the mean of the samples if not known.
func (l *stepLine) batchOr(batch int) float64 {
	if batch > 0 {
		return float64(batch)
	}
	return l.batch / l.weight
}

// at is the step time at a batch. The slope is never negative, and a line that
// would reach zero above batch 0 is replaced by one through the origin.
func (l *stepLine) at(batch float64) float64 {
	meanBatch := l.batch / l.weight
	meanStep := l.step / l.weight
	variance := l.batchBatch/l.weight - meanBatch*meanBatch
	covariance := l.batchStep/l.weight - meanBatch*meanStep
	slope := max(covariance/(math.Max(variance, 0)+stepRidge), 0)
	slope = min(slope, meanStep/meanBatch)
	return meanStep + slope*(batch-meanBatch)
}
