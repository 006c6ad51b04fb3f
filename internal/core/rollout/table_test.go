package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"sycamoretrail/internal/core/rollout"
)

var loads = []load{
	{name: "engines", servers: 60, slots: 4, perS: 200, routes: []float64{0.29, 0.36, 0.35}, hold: 0.3, spread: 0.2, speeds: []float64{0.68, 0.68, 3}, entries: 24},
	{name: "desk", servers: 3, slots: 6, perS: 90, routes: []float64{0.81, 0.19}, hold: 0.06, spread: 0.5, speeds: []float64{1}, errors: 0.004, entries: 24},
}

var flaws = []flaw{
	{name: "good"},
	{name: "fails", part: 0.35, route: -1},
	{name: "fails later", part: 0.35, after: 0.35, route: -1},
	{name: "fails under load", part: 0.5, loaded: 0.75, route: -1},
	{name: "fails on a route", part: 0.4, route: 1},
	{name: "slow", part: 0.4, times: 5, route: -1},
	{name: "all slow", part: 1, times: 5, route: -1},
	{name: "slow later", part: 0.4, times: 5, after: 0.35, route: -1},
	{name: "slow on a route", part: 0.5, times: 5, route: 1},
}

var faults = []fault{
	{name: "none"},
	{name: "leader dies", leaderDies: 0.3},
	{name: "leader dies shifting", leaderDies: 0.8},
	{name: "all die", allDie: 0.3},
	{name: "store away", storeFrom: 0.2, storeTo: 0.5},
	{name: "store away late", storeFrom: 0.6, storeTo: 0.85},
	{name: "cut off", cut: 0.25, cutFrom: 0.2, cutTo: 0.7},
	{name: "burst", burst: 1.7, burstFrom: 0.2, burstTo: 0.5},
	{name: "all fail", grey: 0.45, greyFrom: 0.2, greyTo: 0.4},
	{name: "crashes", crash: 0.4},
}

type row struct {
	played, broken, wrong, inTime, cut int
	worstShare                         float64
	took                               time.Duration
	reasons                            map[rollout.Reason]int
}

func (r *row) add(m *model) {
	r.played++
	if m.broken() {
		r.broken++
	}
	final := m.store.Phase
	if m.flaw.bad() != (final == rollout.RolledBack) || !final.Final() {
		r.wrong++
	}
	if m.inTime() {
		r.inTime++
	}
	r.cut += m.cutRequests
	r.worstShare = max(r.worstShare, float64(m.exposed)/float64(m.total))
	r.took += m.finalAt.Sub(m.start)
	if r.reasons == nil {
		r.reasons = map[rollout.Reason]int{}
	}
	r.reasons[m.reason]++
}

const seeds = 4

func TestTable(t *testing.T) {
	for _, l := range loads {
		for _, d := range []time.Duration{6 * time.Second, 12 * time.Second, 30 * time.Second} {
			for _, f := range flaws {
				var sum row
				odd := ""
				for number, x := range faults {
					var r row
					for seed := uint64(1); seed <= seeds; seed++ {
						m := newModel(seed*1000+uint64(number), l, f, x, d).play()
						r.add(m)
						sum.add(m)
					}
					if r.broken+r.wrong > 0 || r.inTime < r.played {
						odd += fmt.Sprintf("    %s: broken %d wrong %d in time %d of %d %v\n", x.name, r.broken, r.wrong, r.inTime, r.played, r.reasons)
					}
				}
				fmt.Printf("%-8s %4s %-17s played %d broken %d wrong %d in time %d worst %.2f cut %d took %.1f %v\n%s", l.name, d, f.name, sum.played, sum.broken, sum.wrong, sum.inTime, sum.worstShare, sum.cut, sum.took.Seconds()/float64(sum.played), sum.reasons, odd)
			}
		}
	}
}
