package rollout

import "math"

const (
	// smallEffect and largeEffect are the increases of the share of bad answers that are
	// tested for. With the small one alone, a version of which half the answers fail would
	// be detected only after twice as many answers.
	smallEffect, largeEffect = 0.12, 0.4
	// minBaselineRate is the lower bound of the baseline rate: a few failures among the
	// first answers must not reject a version.
	minBaselineRate = 0.01
	// priorAnswers is the weight, in answers, of the old version's overall rate in the
	// baseline rate of a time slice.
	priorAnswers = 10
	// maxBaselineRate is the upper bound of the baseline rate, so that a likelihood ratio
	// can be computed while all answers fail.
	maxBaselineRate = 0.9
)

// badKind is one kind of bad answer, with the reason reported for it.
type badKind struct {
	// count returns the number of bad answers, and of all answers that were checked for this
	// kind.
	count  func(*tally) (bad, answers int)
	reason Reason
	// tolerance is added to the baseline rate.
	tolerance float64
	// acceptThreshold is the logarithm of how much more likely all answers have to be for an
	// equivalent version than for a worse one before all traffic is shifted to it; see
	// partAcceptThreshold.
	acceptThreshold float64
	// underLoad: the answers of loaded targets are also compared separately. This is not
	// done for slow answers, since too few answers show how much slower the old version is
	// under load.
	underLoad bool
}

// partAcceptThreshold is the threshold for the answers of each route and of loaded targets:
// twice as likely. Accepting a bad version breaks what callers are promised, while a good
// version that is rejected can be ordered again. The threshold therefore rejects more good
// versions than chance alone would.
const partAcceptThreshold = 0.7

// Kinds of bad answers, each compared separately. Of the versions whose rate of failures
// rises by the small effect, one in twenty is accepted. Some answers are slow by chance, and
// slightly more of them count as slow because the baseline times of new targets rest on few
// answers, so slowness has a tolerance.
var (
	failures = badKind{func(t *tally) (bad, answers int) { return t.failed, t.answers }, ReasonFailures, 0, 3, true}
	slowness = badKind{func(t *tally) (bad, answers int) { return t.slow, t.timed }, ReasonSlow, 0.03, 4, false}
	badKinds = [...]badKind{failures, slowness}
)

// selection reports whether the answers of a group are compared.
type selection func(group) bool

func allAnswers(group) bool { return true }

// loadedTargets selects the answers of loaded targets: a version may be bad under load only.
func loadedTargets(at group) bool { return at.loaded }

func onRoute(route uint32) selection {
	return func(at group) bool { return at.route == route }
}

// comparison is the result of comparing the selected answers of both versions.
type comparison struct {
	// worse is the logarithm of the likelihood ratio of the answers: the new version being
	// worse against its being equivalent to the old one.
	worse float64
	// answers and bad count those of the new version; expected is the number of bad answers
	// that the old version would have had.
	answers, bad int
	expected     float64
}

// compare sums up the time slices. The likelihoods of the two worse versions are averaged,
// so that the ratio keeps the expectation 1 for an equivalent version: by Ville's inequality
// the probability that it ever exceeds a is at most 1/a, however often it is checked.
func (e *evidence) compare(include selection, kind badKind) comparison {
	var c comparison
	var small, large float64
	overall := e.overallRate(include, kind)
	for _, at := range e.newTallies.groups {
		if !include(at) {
			continue
		}
		observed := e.newTallies.tallies[at]
		baseline := e.baselineRate(at, kind, overall)
		bads, answers := kind.count(observed)
		small += logRatio(answers, bads, baseline, smallEffect)
		large += logRatio(answers, bads, baseline, largeEffect)
		c.answers += answers
		c.bad += bads
		c.expected += float64(answers) * baseline
	}
	c.worse = max(small, large) + math.Log((1+math.Exp(-math.Abs(small-large)))/2)
	return c
}

// logRatio returns the logarithm of the likelihood ratio of this number of bad answers.
func logRatio(answers, bads int, baseline, effect float64) float64 {
	worse := baseline + effect*(1-baseline)
	return float64(bads)*math.Log(worse/baseline) + float64(answers-bads)*math.Log((1-worse)/(1-baseline))
}

// overallRate returns the old version's share of bad answers over the whole roll-out.
func (e *evidence) overallRate(include selection, kind badKind) float64 {
	answers, bads := float64(priorAnswers), minBaselineRate*priorAnswers
	for _, at := range e.oldTallies.groups {
		if include(at) {
			b, n := kind.count(e.oldTallies.tallies[at])
			answers += float64(n)
			bads += float64(b)
		}
	}
	return bads / answers
}

// baselineRate returns the old version's share of bad answers on the route in the slices
// around a group's, combined with the overall rate, which dominates where there were few
// answers, as after the shift. Answers of loaded and other old targets are counted together,
// since those of loaded ones are few.
func (e *evidence) baselineRate(at group, kind badKind, overall float64) float64 {
	answers, bads := float64(priorAnswers), overall*priorAnswers
	for slice := at.slice - 1; slice <= at.slice+1; slice++ {
		for _, loaded := range [...]bool{false, true} {
			if old, found := e.oldTallies.tallies[group{at.route, slice, loaded}]; found {
				b, n := kind.count(old)
				answers += float64(n)
				bads += float64(b)
			}
		}
	}
	return min(maxBaselineRate, max(minBaselineRate, bads/answers)+kind.tolerance)
}
