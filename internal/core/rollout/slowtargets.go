package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// muchSlowerRatio is how many times as long as the slowest old target a new target takes
	// to count as much slower.
	muchSlowerRatio = 2.5
	// muchSlowerLimit is the number of much slower targets at which the version is rejected.
	// A single one may be a faulty server. Not all new targets have to be so slow: where
	// servers differ in speed, a fast one that has become slow is mistaken for a slow old
	// one.
	muchSlowerLimit = 2
	// minMuchSlowerTimes is the number of times from which a target's baseline is used for
	// this; of two times the baseline is the shorter one.
	minMuchSlowerTimes = 2
	// minKnownShare is the share of the old targets that need a baseline before the slowest
	// one is known. Fast targets have one first, because they answer more often.
	minKnownShare = 0.8
	// slowPValue is the p-value below which the new targets count as slow.
	slowPValue = 1e-3
	// suspectPValue is the p-value below which the version is not accepted.
	suspectPValue = 0.03
)

// speedResult is the result of comparing the speeds of new and old targets.
type speedResult uint8

const (
	// speedAlike: no sign that the new targets are slower. speedSuspect: they may be slower,
	// so the version is not accepted. speedSlow: they are slower.
	speedAlike speedResult = iota
	speedSuspect
	speedSlow
)

// targetRank compares a new target with the old ones; see rank.
type targetRank struct{ share, ratio float64 }

// compareTargets compares all new targets with the old ones, and returns the number of
// targets that the result rests on. A version that makes all answers slow changes its
// targets' baselines, so no single answer stands out.
//
// The share of the old targets that are at least as slow as a new one is uniformly
// distributed if the versions are equivalent, so the sum of its logarithms has a gamma
// distribution. Targets of a service differ by a factor of four and more, so one slow target
// is no evidence.
func (e *evidence) compareTargets() (targets int, result speedResult) {
	ranks, complete := e.ranks(minBaselineTimes)
	targets = len(ranks)
	p := pValue(ranks)
	if p < slowPValue {
		return targets, speedSlow
	}
	if complete && targets > 0 && countMuchSlower(ranks) == targets {
		// A service with few servers has one canary target, too few for ranks to be
		// significant.
		return targets, speedSlow
	}
	slower := 0
	if early, complete := e.ranks(minMuchSlowerTimes); complete {
		slower = countMuchSlower(early)
	}
	switch {
	case slower >= muchSlowerLimit:
		return slower, speedSlow
	case slower > 0 || p < suspectPValue:
		return targets, speedSuspect
	default:
		return targets, speedAlike
	}
}

// ranks compares the new targets that have at least minTimes times with the old ones.
// complete reports whether enough of the old ones have baselines.
func (e *evidence) ranks(minTimes int) (ranks []targetRank, complete bool) {
	oldBaselines := e.oldBaselines(minTimes)
	for _, t := range e.inOrder {
		if !t.isNew {
			continue
		}
		if share, ratio, compared := rank(t.baselines(minTimes), oldBaselines); compared {
			ranks = append(ranks, targetRank{share, ratio})
		}
	}
	return ranks, e.knowsEnough(oldBaselines)
}

// pValue returns the probability that new targets that are like the old ones rank as slow as
// these; 1 without any.
func pValue(ranks []targetRank) float64 {
	score := 0.0
	for _, r := range ranks {
		score -= math.Log(r.share)
	}
	return gammaTail(len(ranks), score)
}

// countMuchSlower returns the number of new targets that are much slower than any old one.
func countMuchSlower(ranks []targetRank) int {
	n := 0
	for _, r := range ranks {
		if r.ratio >= muchSlowerRatio {
			n++
		}
	}
	return n
}

// knowsEnough reports whether so many old targets have baselines that the slowest of these
// can stand for the slowest of all.
func (e *evidence) knowsEnough(baselines map[baselineKey][]float64) bool {
	oldTargets := 0
	for _, t := range e.inOrder {
		if !t.isNew {
			oldTargets++
		}
	}
	for _, known := range baselines {
		if float64(len(known)) < minKnownShare*float64(oldTargets) {
			return false
		}
	}
	return true
}

// oldBaselines returns the baselines of the old targets, each from at least minTimes times.
func (e *evidence) oldBaselines(minTimes int) map[baselineKey][]float64 {
	baselines := make(map[baselineKey][]float64)
	for _, t := range e.targets {
		if t.isNew {
			continue
		}
		for key, baseline := range t.baselines(minTimes) {
			baselines[key] = append(baselines[key], baseline)
		}
	}
	return baselines
}

// rank compares the baselines of a new target with those of the old ones. It returns the
// share of the old ones that are at least as slow, and the ratio to the slowest, both as
// means over the baselines and with an allowance of entryDelay.
func rank(baselines map[baselineKey]float64, oldBaselines map[baselineKey][]float64) (share, ratio float64, compared bool) {
	n := 0.0
	for _, key := range sortedKeys(baselines) {
		baseline := baselines[key]
		if len(oldBaselines[key]) == 0 {
			continue
		}
		atLeastAsSlow := 1.0
		for _, old := range oldBaselines[key] {
			if old+float64(entryDelay) >= baseline {
				atLeastAsSlow++
			}
		}
		share += atLeastAsSlow / float64(len(oldBaselines[key])+1)
		ratio += max(0, baseline-float64(entryDelay)) / slices.Max(oldBaselines[key])
		n++
	}
	if n == 0 {
		return 0, 0, false
	}
	return share / n, ratio / n, true
}

func sortedKeys(baselines map[baselineKey]float64) []baselineKey {
	return slices.SortedFunc(maps.Keys(baselines), func(a, b baselineKey) int {
		return cmp.Or(cmp.Compare(a.measure, b.measure), cmp.Compare(a.route, b.route))
	})
}

// gammaTail returns the probability that the sum of n exponentially distributed values of
// mean 1 is at least sum.
func gammaTail(n int, sum float64) float64 {
	term, total := 1.0, 1.0
	for k := 1; k < n; k++ {
		term *= sum / float64(k)
		total += term
	}
	return math.Exp(-sum) * total
}
