package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sycamoretrail/internal/core/request"
)

// herdCase is a number of owners that dispatch based on the same digests, which become
// up to half a second old. The targets start with 0 to 15 of 16 slots in use, and no
// request ends.
type herdCase struct{ targets, owners, dispatches int }

type chooseFunc func(*Router, time.Time, *request.Request) string

// BenchmarkHerd reports the share of dispatches that exceed a target's limit, and the
// highest load of a target. An ideal choice exceeds no limit.
func BenchmarkHerd(b *testing.B) {
	strategies := []struct {
		name   string
		choose chooseFunc
	}{
		{"room-of-near", chosen(nil)},
		{"two-of-near", chosen(&twoOfNearEqual{weightedByFreeSlots{random: rand.New(rand.NewPCG(1, 1))}})},
		{"least-cost", chosen(leastCost{})},
		{"least-cost-of-all", leastCostOfAll},
		{"alone", independent},
	}
	for _, size := range []herdCase{{12, 6, 60}, {250, 410, 1250}} {
		for _, strategy := range strategies {
			b.Run(fmt.Sprintf("%s/targets=%d", strategy.name, size.targets), func(b *testing.B) {
				benchmarkHerd(b, size, strategy.choose)
			})
		}
	}
}

func benchmarkHerd(b *testing.B, size herdCase, choose chooseFunc) {
	above, fullest, seed := 0, 0, uint64(0)
	for b.Loop() {
		seed++
		a, f := size.run(seed, choose)
		above += a
		fullest += f
	}
	b.ReportMetric(float64(above)/float64(b.N*size.dispatches), "above-limit")
	b.ReportMetric(float64(fullest)/float64(b.N), "fullest")
}

func (h herdCase) run(seed uint64, choose chooseFunc) (above, fullest int) {
	routers, load := h.start(seed)
	for i := range h.dispatches {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond / time.Duration(h.dispatches))
		r := routers[i%h.owners]
		req := newRequest(300, 50)
		name := choose(r, now, req)
		r.Dispatched(now, name, req)
		load[name]++
		fullest = max(fullest, load[name])
		if load[name] > 16 {
			above++
		}
	}
	return above, fullest
}

func (h herdCase) start(seed uint64) ([]*Router, map[string]int) {
	doc := poolOf(h.targets, 0)
	routers := make([]*Router, h.owners)
	load := map[string]int{}
	for i := range routers {
		routers[i] = New(seed*uint64(h.owners)+uint64(i), fmt.Sprintf("z%d", i%3))
		routers[i].Configure(doc)
		renewDigests(routers[i], start, h.targets, 0)
	}
	for t := range h.targets {
		load[targetName(t)] = t % 16
		for _, r := range routers {
			r.Report(start, targetName(t), t%16, 0)
		}
	}
	return routers, load
}

func chosen(p picker) chooseFunc {
	return func(r *Router, now time.Time, req *request.Request) string {
		if p != nil {
			r.picker = p
		}
		return first(r.Choose(now, req, nil))
	}
}

func leastCostOfAll(r *Router, now time.Time, req *request.Request) string {
	q, _ := r.newQuery(now, req, nil)
	r.scan(q)
	return r.candidates[leastCost{}.pick(q, r.candidates)].target.name
}

func independent(r *Router, now time.Time, req *request.Request) string {
	return first(r.TwoChoices(now, req, nil))
}

// leastCost is an alternative picker for comparison: the candidate of the lowest cost.
type leastCost struct{}

func (leastCost) pick(_ *query, cs []candidate) int {
	best := 0
	for i := range cs {
		if cs[i].cost < cs[best].cost {
			best = i
		}
	}
	return best
}

// twoOfNearEqual is an alternative picker for comparison: the less loaded of two random
// candidates near the best.
type twoOfNearEqual struct{ weightedByFreeSlots }

func (p *twoOfNearEqual) pick(q *query, cs []candidate) int {
	near := p.nearEqual(q, cs)
	a := near[p.random.IntN(len(near))]
	b := near[p.random.IntN(len(near))]
	if cs[b].view.load() < cs[a].view.load() {
		return b
	}
	return a
}
