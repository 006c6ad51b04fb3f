package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// allSlower is how much slower than the slowest old target's usual time those of all new
	// targets have to be to count as slow, where there are too few targets to compare ranks.
	allSlower = 2.5
	// falseRanks is the chance at which new targets of the old ones' speeds count as slow.
	falseRanks = 1e-3
)

// slowTargets reports whether the new version's targets are slow as a whole, and how many
// have enough answers to say: a version that makes all answers slow changes their usual
// time, so none stands out.
//
// The part of the old targets that are at least as slow as a new one is uniform if the
// versions are alike, so the sum of its logarithms has a gamma distribution. Targets of a
// service differ by a factor of four and more, so that one is slow says nothing.
func (e *evidence) slowTargets() (judged int, slow bool) {
	olds := e.oldUsuals()
	score, least := 0.0, math.Inf(1)
	for _, t := range e.inOrder {
		if !t.isNew {
			continue
		}
		part, ratio, compared := rank(t.usuals(), olds)
		if !compared {
			continue
		}
		judged++
		score -= math.Log(part)
		least = min(least, ratio)
	}
	return judged, judged > 0 && (least >= allSlower || gammaTail(judged, score) < falseRanks)
}

// oldUsuals are the usual times of the old targets.
func (e *evidence) oldUsuals() map[usualKey][]float64 {
	olds := make(map[usualKey][]float64)
	for _, t := range e.targets {
		if t.isNew {
			continue
		}
		for key, usual := range t.usuals() {
			olds[key] = append(olds[key], usual)
		}
	}
	return olds
}

// rank compares a new target's usual times with those of the old ones: the part that is at
// least as slow, and the ratio to the slowest, both in the mean over what is measured and
// but for the noise.
func rank(usuals map[usualKey]float64, olds map[usualKey][]float64) (part, ratio float64, compared bool) {
	n := 0.0
	for _, key := range sortedKeys(usuals) {
		usual := usuals[key]
		if len(olds[key]) == 0 {
			continue
		}
		slower := 1.0
		for _, old := range olds[key] {
			if old+float64(noise) >= usual {
				slower++
			}
		}
		part += slower / float64(len(olds[key])+1)
		ratio += max(0, usual-float64(noise)) / slices.Max(olds[key])
		n++
	}
	if n == 0 {
		return 0, 0, false
	}
	return part / n, ratio / n, true
}

func sortedKeys(usuals map[usualKey]float64) []usualKey {
	return slices.SortedFunc(maps.Keys(usuals), func(a, b usualKey) int {
		return cmp.Or(cmp.Compare(a.measure, b.measure), cmp.Compare(a.route, b.route))
	})
}

// gammaTail is the chance that the sum of n values of the exponential distribution with
// mean 1 is at least so large.
func gammaTail(n int, sum float64) float64 {
	term, total := 1.0, 1.0
	for k := 1; k < n; k++ {
		term *= sum / float64(k)
		total += term
	}
	return math.Exp(-sum) * total
}
