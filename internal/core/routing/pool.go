package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sycamoretrail/internal/core/estimate"
)

const (
	// refreshEvery is the maximum age of a pool's sums and lists.
	refreshEvery = 250 * time.Millisecond
	// bestShare is the share of a pool's targets in its lists of best targets. The
	// lists are long and drawn from at random, since every owner has the same lists.
	bestShare = 0.25
	// shortReference and longReference are the prompt lengths in tokens for which the
	// two lists are ranked.
	shortReference = 256
	longReference  = 16384
)

// Lists of a pool's best targets, for short and for long prompts.
const (
	listShort = iota
	listLong
	lists
)

// pool is a set of targets that can serve the same requests.
type pool struct {
	name     string
	targets  []*target
	sameZone []*target // targets in the owner's zone
	answers  estimate.AnswerShare

	// as of the last refresh
	refreshed       time.Time
	everRefreshed   bool
	inFlight        int
	limit           int
	meanPrefillRate float64
	// maxPrefillRate and minStep are the best values in the pool, possibly of different
	// targets.
	maxPrefillRate float64
	minStep        float64
	best           [lists][]*target
	trialTargets   []*target
	ranked         []rankedTarget
}

type rankedTarget struct {
	target *target
	cost   [lists]float64
	load   float64
	index  int // position in the pool, which breaks ties so that the order is deterministic
}

// load returns the share of the pool's slots in use.
func (p *pool) load() float64 {
	if p.limit == 0 {
		return 0
	}
	return float64(p.inFlight) / float64(p.limit)
}

// refresh updates sums and lists if they are older than refreshEvery.
func (p *pool) refresh(now time.Time) {
	if p.everRefreshed && now.Sub(p.refreshed) < refreshEvery {
		return
	}
	p.everRefreshed = true
	p.refreshed = now
	p.sum(now)
	if len(p.targets) > scoreAllSize {
		p.rank(listShort)
		p.rank(listLong)
	}
}

func (p *pool) sum(now time.Time) {
	p.inFlight, p.limit = 0, 0
	p.ranked = p.ranked[:0]
	p.trialTargets = p.trialTargets[:0]
	p.maxPrefillRate, p.minStep = 0, math.Inf(1)
	rates := 0.0
	for i, t := range p.targets {
		v := t.view(now)
		if !v.available || !t.reachable || t.leaving {
			continue
		}
		p.inFlight += v.inFlight
		p.limit += v.limit
		rates += v.prefillRate
		p.maxPrefillRate = max(p.maxPrefillRate, v.prefillRate)
		p.minStep = min(p.minStep, v.step)
		p.ranked = append(p.ranked, rankedTarget{target: t, cost: referenceCosts(&v), load: v.load(), index: i})
		if needsTrial(t, &v) {
			p.trialTargets = append(p.trialTargets, t)
		}
	}
	p.meanPrefillRate = rates / float64(max(len(p.ranked), 1))
}

// referenceCosts returns the costs of a short and of a long prompt at a target, in
// seconds.
func referenceCosts(v *view) [lists]float64 {
	base := v.wait + v.step*shortReference + v.pendingPrefill/v.prefillRate
	return [lists]float64{base + shortReference/v.prefillRate, base + (longReference+v.waitingPrefill)/v.prefillRate}
}

func (p *pool) rank(list int) {
	slices.SortFunc(p.ranked, func(a, b rankedTarget) int {
		return cmp.Or(cmp.Compare(a.cost[list], b.cost[list]), cmp.Compare(a.load, b.load), cmp.Compare(a.index, b.index))
	})
	p.best[list] = p.best[list][:0]
	for i := range int(float64(len(p.ranked))*bestShare) + 1 {
		if i < len(p.ranked) {
			p.best[list] = append(p.best[list], p.ranked[i].target)
		}
	}
}
