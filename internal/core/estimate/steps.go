package estimate

import "math"

const (
	// stepDecay is the factor by which each sample reduces the weight of previous
	// ones. The line represents about 1/(1-stepDecay) samples.
	stepDecay = 0.97
	// stepLearnDecay applies until the history is established, so that a wrong
	// prior has no weight left when the target is first compared with its line.
	stepLearnDecay = 0.8
	// stepPriorWeight is the weight, in samples, of each of the prior's two points.
	stepPriorWeight = 2
	// stepClip bounds the distance of one sample from the line, as a factor.
	stepClip = 2.0
	// stepRidge reduces the slope to zero while batches hardly vary, in batches².
	stepRidge = 0.05
)

// stepLine is the step time, in seconds, as a linear function of batch size,
// fitted by least squares over decayed sums.
type stepLine struct {
	weight, batch, step, batchBatch, batchStep float64
}

// newStepLine returns a flat line at the prior's step time, from batch 1 to
// maxBatch.
func newStepLine(step float64, maxBatch int) stepLine {
	var l stepLine
	l.put(stepPriorWeight, 1, step)
	l.put(stepPriorWeight, float64(maxBatch), step)
	return l
}

// add adds one sample. An unknown batch, 0, changes the level only.
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

// batchOr returns the batch, or the samples' mean batch if it is not known.
func (l *stepLine) batchOr(batch int) float64 {
	if batch > 0 {
		return float64(batch)
	}
	return l.batch / l.weight
}

// at returns the step time at a batch. The slope is never negative, and a line
// that would reach zero above batch 0 is replaced by one through the origin.
func (l *stepLine) at(batch float64) float64 {
	meanBatch := l.batch / l.weight
	meanStep := l.step / l.weight
	variance := l.batchBatch/l.weight - meanBatch*meanBatch
	covariance := l.batchStep/l.weight - meanBatch*meanStep
	slope := max(covariance/(math.Max(variance, 0)+stepRidge), 0)
	slope = min(slope, meanStep/meanBatch)
	return meanStep + slope*(batch-meanBatch)
}
