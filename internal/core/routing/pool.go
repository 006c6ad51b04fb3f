package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sycamoretrail/internal/core/estimate"
)

const (
	// refreshEvery is how old a pool's sums and lists may be.
	refreshEvery = 250 * time.Millisecond
	// bestShare of a pool's targets are in its lists of best ones. The lists
	// are wide and drawn from at random, since every owner has the same ones.
	bestShare = 0.25
	// shortReference and longReference are prompts that rank the two lists.
	shortReference = 256
	longReference  = 16384
)

// lists of a pool's best targets
const (
	listShort = iota
	listLong
	lists
)

// pool is the targets that can take each other's requests.
type pool struct {
	name    string
	targets []*target
	near    []*target // those of the owner's zone
	answers estimate.AnswerShare

	// as of the last refresh
	refreshed time.Time
	fresh     bool
	inFlight  int
	limit     int
	meanRate  float64
	// topRate and leastStep are the best of the pool, of whichever target.
	topRate   float64
	leastStep float64
	best      [lists][]*target
	trials    []*target
	ranked    []rankedTarget
}

type rankedTarget struct {
	target *target
	cost   [lists]float64
	loaded float64
	at     int // place in the pool, so that no tie is left to the sort
}

// load is the mean part of the places in use.
func (p *pool) load() float64 {
	if p.limit == 0 {
		return 0
	}
	return float64(p.inFlight) / float64(p.limit)
}

// refresh brings sums and lists up to date if they are due.
func (p *pool) refresh(now time.Time) {
	if p.fresh && now.Sub(p.refreshed) < refreshEvery {
		return
	}
	p.fresh = true
	p.refreshed = now
	p.sum(now)
	if len(p.targets) > scoreAll {
		p.rank(listShort)
		p.rank(listLong)
	}
}

func (p *pool) sum(now time.Time) {
	p.inFlight, p.limit = 0, 0
	p.ranked = p.ranked[:0]
	p.trials = p.trials[:0]
	p.topRate, p.leastStep = 0, math.Inf(1)
	rates := 0.0
	for i, t := range p.targets {
		v := t.view(now)
		if !v.available || !t.reachable || t.leaving {
			continue
		}
		p.inFlight += v.inFlight
		p.limit += v.limit
		rates += v.rate
		p.topRate = max(p.topRate, v.rate)
		p.leastStep = min(p.leastStep, v.step)
		p.ranked = append(p.ranked, rankedTarget{target: t, cost: references(&v), loaded: v.loaded(), at: i})
		if onTrial(t, &v) {
			p.trials = append(p.trials, t)
		}
	}
	p.meanRate = rates / float64(max(len(p.ranked), 1))
}

// references are the costs of a short and a long prompt there, in seconds.
func references(v *view) [lists]float64 {
	base := v.wait + v.step*shortReference + v.prefill/v.rate
	return [lists]float64{base + shortReference/v.rate, base + (longReference+v.waiting)/v.rate}
}

func (p *pool) rank(list int) {
	slices.SortFunc(p.ranked, func(a, b rankedTarget) int {
		return cmp.Or(cmp.Compare(a.cost[list], b.cost[list]), cmp.Compare(a.loaded, b.loaded), cmp.Compare(a.at, b.at))
	})
	p.best[list] = p.best[list][:0]
	for i := range int(float64(len(p.ranked))*bestShare) + 1 {
		if i < len(p.ranked) {
			p.best[list] = append(p.best[list], p.ranked[i].target)
		}
	}
}
