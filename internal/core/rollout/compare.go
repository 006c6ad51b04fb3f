package rollout

import "math"

const (
	// lesserHarm and greaterHarm are the additional parts of bad answers that are looked
	// for: with the lesser alone a version of which half the answers fail would take twice
	// as many answers to be found.
	lesserHarm, greaterHarm = 0.12, 0.4
	// rateFloor is the least part of bad answers that is taken for usual: a few failures
	// among the first answers must not condemn a version.
	rateFloor = 0.01
	// priorAnswers is the weight of the old version's part of bad answers at all times in
	// that of a slice in which few of its answers were seen.
	priorAnswers = 10
	// maxRate bounds the usual part, so that a ratio can be formed while all answers fail.
	maxRate = 0.9
)

// badness is one kind of bad answer, with the word for it.
type badness struct {
	// of counts the bad answers, and those that could have been.
	of     func(*tallies) (bad, answers int)
	reason Reason
	// tolerance is added to the usual part of bad answers.
	tolerance float64
	// cleared is how much likelier, as a logarithm, all answers have to be with a version that
	// is alike than with a worse one before all traffic is shifted to it; see clearedPart.
	cleared float64
	// underLoad: the answers of loaded targets are compared for themselves. How much slower
	// the old version's are is known from too few for that.
	underLoad bool
}

// clearedPart is the same for the answers of each route and of loaded targets: twice as
// likely. A bad version that is cleared breaks what callers are promised, a good one that is
// not can be ordered again: so more good ones are sent back than chance alone would.
const clearedPart = 0.7

// Kinds of bad answers, which are compared each for itself. Of versions of which more
// answers fail, by the lesser harm, one in twenty is cleared. Some answers are slow by
// chance, and since the usual times of new targets rest on few answers, some more of those
// count as slow.
var (
	failures  = badness{func(t *tallies) (bad, answers int) { return t.failed, t.answers }, ReasonFailures, 0, 3, true}
	slowness  = badness{func(t *tallies) (bad, answers int) { return t.slow, t.timed }, ReasonSlow, 0.03, 4, false}
	badnesses = [...]badness{failures, slowness}
)

// selection picks what is compared.
type selection func(group) bool

func everything(group) bool { return true }

// loaded picks the answers of loaded targets: a version may be bad under load only.
func loaded(at group) bool { return at.loaded }

func only(route uint32) selection {
	return func(at group) bool { return at.route == route }
}

// comparison is what the answers to some routes show.
type comparison struct {
	// worse is the logarithm of how much likelier the answers are if the new version is
	// worse than the old one, against its being alike.
	worse float64
	// answers and bad are the new version's, expected how many of bad the old one would
	// have had.
	answers, bad int
	expected     float64
}

// compare sums up the slices. The two likelihoods of worse versions are averaged, so that
// the ratio keeps the expectation 1 for a version that is alike: by Ville's inequality it
// ever exceeds 1/a with a chance of at most a, however often one looks.
func (e *evidence) compare(counts selection, bad badness) comparison {
	var c comparison
	var lesser, greater float64
	overall := e.overallRate(counts, bad)
	for _, at := range e.news.groups {
		if !counts(at) {
			continue
		}
		fresh := e.news.tallies[at]
		usual := e.usualRate(at, bad, overall)
		bads, answers := bad.of(fresh)
		lesser += logRatio(answers, bads, usual, lesserHarm)
		greater += logRatio(answers, bads, usual, greaterHarm)
		c.answers += answers
		c.bad += bads
		c.expected += float64(answers) * usual
	}
	c.worse = max(lesser, greater) + math.Log((1+math.Exp(-math.Abs(lesser-greater)))/2)
	return c
}

// logRatio is the logarithm of the likelihood ratio of so many bad answers.
func logRatio(answers, bads int, usual, harm float64) float64 {
	worse := usual + harm*(1-usual)
	return float64(bads)*math.Log(worse/usual) + float64(answers-bads)*math.Log((1-worse)/(1-usual))
}

// overallRate is the part of bad answers of the old version at all times.
func (e *evidence) overallRate(counts selection, bad badness) float64 {
	answers, bads := float64(priorAnswers), rateFloor*priorAnswers
	for _, at := range e.olds.groups {
		if counts(at) {
			b, n := bad.of(e.olds.tallies[at])
			answers += float64(n)
			bads += float64(b)
		}
	}
	return bads / answers
}

// usualRate is the part of bad answers of the old version on the route around a slice, and
// at all times where few were seen then: after the shift none are. Its loaded targets count
// with the others, since they are few.
func (e *evidence) usualRate(at group, bad badness, overall float64) float64 {
	answers, bads := float64(priorAnswers), overall*priorAnswers
	for slice := at.slice - 1; slice <= at.slice+1; slice++ {
		for _, loaded := range [...]bool{false, true} {
			if old, found := e.olds.tallies[group{at.route, slice, loaded}]; found {
				b, n := bad.of(old)
				answers += float64(n)
				bads += float64(b)
			}
		}
	}
	return min(maxRate, max(rateFloor, bads/answers)+bad.tolerance)
}
