package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// farSlower is how many times as long as the slowest old target a new one has to take to
	// count as slower by far.
	farSlower = 2.5
	// farCondemns is the number of such targets that condemn the version: one may be a sick
	// server. All of them need not be so slow: where servers are unlike, a fast one that has
	// become slow passes for a slow old one.
	farCondemns = 2
	// farAnswers is the number of a target's answers that show it: its fastest one tells.
	farAnswers = 2
	// spreadPart is the part of the old targets from whose times it is known how unlike they
	// are. Fast ones are known first, as they answer more often.
	spreadPart = 0.8
	// falseRanks is the chance at which new targets of the old ones' speeds count as slow.
	falseRanks = 1e-3
	// suspectRanks is the chance below which a version is not cleared of it.
	suspectRanks = 0.03
)

// standing is how the new version's targets stand among the old ones.
type standing uint8

const (
	// standsAlike: nothing speaks against them; standsSuspect: they may be slow as a whole, so the
	// version is not cleared; standsSlow: they are.
	standsAlike standing = iota
	standsSuspect
	standsSlow
)

// targetRank compares a new target with the old ones; see rank.
type targetRank struct{ part, ratio float64 }

// standing tells how the new targets stand as a whole, and by how many of them: a version
// that makes all answers slow changes their usual time, so none stands out.
//
// The part of the old targets that are at least as slow as a new one is uniform if the
// versions are alike, so the sum of its logarithms has a gamma distribution. Targets of a
// service differ by a factor of four and more, so that one is slow says nothing.
func (e *evidence) standing() (judged int, s standing) {
	ranks, spread := e.ranks(minUsual)
	judged = len(ranks)
	chance := chanceOf(ranks)
	if chance < falseRanks {
		return judged, standsSlow
	}
	if spread && judged > 0 && countFar(ranks) == judged {
		// A service of few servers has one canary, which cannot be compared by rank.
		return judged, standsSlow
	}
	far := 0
	if quick, spread := e.ranks(farAnswers); spread {
		far = countFar(quick)
	}
	switch {
	case far >= farCondemns:
		return far, standsSlow
	case far > 0 || chance < suspectRanks:
		return judged, standsSuspect
	default:
		return judged, standsAlike
	}
}

// ranks compares the new targets whose times are known from so many answers; spread: it is
// known how unlike the old ones are.
func (e *evidence) ranks(least int) (ranks []targetRank, spread bool) {
	olds := e.oldUsuals(least)
	for _, t := range e.inOrder {
		if !t.isNew {
			continue
		}
		if part, ratio, compared := rank(t.usuals(least), olds); compared {
			ranks = append(ranks, targetRank{part, ratio})
		}
	}
	return ranks, e.knowsSpread(olds)
}

// chanceOf is the chance at which new targets, if they are like the old ones, are as slow
// among these as they are; 1 for none.
func chanceOf(ranks []targetRank) float64 {
	score := 0.0
	for _, r := range ranks {
		score -= math.Log(r.part)
	}
	return gammaTail(len(ranks), score)
}

// countFar is the number of new targets that are slower than any old one by far.
func countFar(ranks []targetRank) int {
	far := 0
	for _, r := range ranks {
		if r.ratio >= farSlower {
			far++
		}
	}
	return far
}

// knowsSpread reports whether the usual times of so many old targets are known that the
// slowest of them stands for all.
func (e *evidence) knowsSpread(usuals map[usualKey][]float64) bool {
	seen := 0
	for _, t := range e.inOrder {
		if !t.isNew {
			seen++
		}
	}
	for _, known := range usuals {
		if float64(len(known)) < spreadPart*float64(seen) {
			return false
		}
	}
	return true
}

// oldUsuals are the usual times of the old targets, each from so many answers.
func (e *evidence) oldUsuals(least int) map[usualKey][]float64 {
	olds := make(map[usualKey][]float64)
	for _, t := range e.targets {
		if t.isNew {
			continue
		}
		for key, usual := range t.usuals(least) {
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
