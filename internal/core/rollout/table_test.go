package rollout_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"sycamoretrail/internal/core/rollout"
)

// Load of a deployment of 60 engines and of its small service, with the engines' three
// speeds. There are 24 entries, since 71 would show the same in three times the time.
var loads = []load{
	{name: "engines", servers: 60, slots: 4, ratePerS: 200, routes: []float64{0.29, 0.36, 0.35}, meanDuration: 0.3, sigma: 0.2, speeds: []float64{0.68, 0.68, 3}, entries: 24, streams: true},
	{name: "desk", servers: 3, slots: 6, ratePerS: 90, routes: []float64{0.81, 0.19}, meanDuration: 0.06, sigma: 0.5, speeds: []float64{1}, errors: 0.004, entries: 24},
}

var good = flaw{name: "good"}

// Versions of which a share of the answers fails.
var failing = []flaw{
	{name: "fails", share: 0.35, route: -1},
	{name: "fails later", share: 0.35, after: 0.35, route: -1},
	{name: "fails on a route", share: 0.4, route: 1},
}

// Versions that are slow, and one that fails only on loaded servers.
var slow = []flaw{
	{name: "fails under load", share: 0.5, minLoad: 0.75, route: -1},
	{name: "slow", share: 0.4, slowdown: 5, route: -1},
	{name: "all slow", share: 1, slowdown: 5, route: -1},
	{name: "slow later", share: 0.4, slowdown: 5, after: 0.35, route: -1},
	{name: "slow on a route", share: 0.5, slowdown: 5, route: 1},
}

var noFault = fault{name: "none"}

var faults = []fault{
	noFault,
	{name: "leader crashes", leaderCrash: 0.3},
	{name: "leader crashes late", leaderCrash: 0.8},
	{name: "all entries crash", allCrash: 0.3},
	{name: "store unavailable", storeFrom: 0.2, storeTo: 0.5},
	{name: "store unavailable late", storeFrom: 0.6, storeTo: 0.85},
	{name: "network partition", partitioned: 0.25, partitionFrom: 0.2, partitionTo: 0.7},
	{name: "burst", burst: 1.7, burstFrom: 0.2, burstTo: 0.5},
	{name: "all servers fail", failing: 0.45, failFrom: 0.2, failTo: 0.4},
	{name: "crashes", serverCrash: 0.4},
	{name: "all servers slow", slowdown: 4, slowFrom: 0.3, slowTo: 0.5},
}

// Durations of roll-outs.
const (
	short   = 6 * time.Second
	medium  = 12 * time.Second
	long    = 30 * time.Second
	seeds   = 4
	percent = 100
)

// summary sums up the results of several simulations.
type summary struct {
	runs, exceeded, wrong, inTime, aborted int
	worstExposure, worstCanary             float64
	took                                   time.Duration
	unexpected                             []string
}

func (r *summary) add(m *sim) {
	r.runs++
	final := m.store.Phase
	expected := rollout.Completed
	if m.flaw.bad() {
		expected = rollout.RolledBack
	}
	if m.exceedsBounds() {
		r.exceeded++
	}
	if final != expected {
		r.wrong++
	}
	if m.inTime() {
		r.inTime++
	}
	if m.exceedsBounds() || final != expected || !m.inTime() {
		r.unexpected = append(r.unexpected, fmt.Sprintf("%s, %s, %s, %s, seed %d: %s (%s), exposed %d of %d, late %d, after %s",
			m.load.name, m.order.Duration, m.flaw.name, m.fault.name, m.seed, final, why(m.last), m.exposed, m.total, m.lateExposed, m.finalAt.Sub(m.start)))
	}
	r.aborted += m.abortedRequests
	r.worstExposure = max(r.worstExposure, float64(m.exposed)/float64(m.total))
	r.worstCanary = max(r.worstCanary, m.canary)
	r.took += m.finalAt.Sub(m.start)
}

// why describes what a decision rests on.
func why(d rollout.Decision) string {
	if d.Unclear == "" {
		return string(d.Reason)
	}
	return fmt.Sprintf("%s: %s, %d of %d bad, %.1f expected, worse %.1f", d.Reason, d.Unclear, d.Bad, d.Answers, d.Expected, d.Worse)
}

func (r *summary) String() string {
	return fmt.Sprintf("runs %3d  exposure exceeded %2d  wrong %2d  in time %3d  worst exposure %.2f  aborted %3d  mean time %4.1f s",
		r.runs, r.exceeded, r.wrong, r.inTime, r.worstExposure, r.aborted, r.took.Seconds()/float64(r.runs))
}

// simulate runs a version with each fault and seed.
func simulate(l load, duration time.Duration, f flaw, faults []fault) *summary {
	r := &summary{}
	for number, x := range faults {
		for seed := uint64(1); seed <= seeds; seed++ {
			r.add(newSim(seed*1000+uint64(number), l, f, x, duration).run())
		}
	}
	return r
}

// forEachLoad runs all loads and durations in parallel.
func forEachLoad(t *testing.T, flaws []flaw, faults []fault, durations []time.Duration, check func(*testing.T, *summary)) {
	for _, l := range loads {
		for _, d := range durations {
			for _, f := range flaws {
				t.Run(fmt.Sprintf("%s/%s/%s", l.name, d, f.name), func(t *testing.T) {
					t.Parallel()
					check(t, simulate(l, d, f, faults))
				})
			}
		}
	}
}

// A new version fails requests: all of the time, after a while, or on one route. Whatever
// else fails meanwhile, it must not get more requests than the operators allow, none once
// the allowed time after its 50th bad answer has passed, and it must never get all of the
// traffic.
func TestFailingVersionsAreRolledBack(t *testing.T) {
	forEachLoad(t, failing, faults, []time.Duration{short, medium, long}, func(t *testing.T, r *summary) {
		if r.exceeded+r.wrong > 0 {
			t.Errorf("%s\n%q", r, r.unexpected)
		}
	})
}

// A new version answers several times as slowly, or fails requests where it is loaded. The
// same bounds apply as to failing versions.
func TestSlowVersionsAreRolledBack(t *testing.T) {
	forEachLoad(t, slow, faults, []time.Duration{short, medium, long}, func(t *testing.T, r *summary) {
		if r.exceeded+r.wrong > 0 {
			t.Errorf("%s\n%q", r, r.unexpected)
		}
	})
}

// A version that is no worse must be completed by the deadline. Without faults 99 in 100
// have to be.
func TestGoodVersionsAreCompleted(t *testing.T) {
	forEachLoad(t, []flaw{good}, []fault{noFault}, []time.Duration{medium, long}, func(t *testing.T, r *summary) {
		if (r.runs-r.wrong)*percent < 99*r.runs || r.inTime*percent < 99*r.runs {
			t.Errorf("%s\n%q", r, r.unexpected)
		}
	})
}

// The same with faults, which affect both versions, and with short durations: 95 in 100.
func TestGoodVersionsAreCompletedDespiteFaults(t *testing.T) {
	forEachLoad(t, []flaw{good}, faults, []time.Duration{short, medium, long}, func(t *testing.T, r *summary) {
		if (r.runs-r.wrong)*percent < 95*r.runs || r.inTime*percent < 95*r.runs {
			t.Errorf("%s\n%q", r, r.unexpected)
		}
	})
}

// The bound on the canary needs no communication: with every fault, the share of the
// requests that it gets until the shift stays below the share that the operators allow. With
// short durations chance may add a little, which is covered by the number of requests that
// they allow in addition.
func TestCanaryStaysWithinItsShare(t *testing.T) {
	forEachLoad(t, []flaw{good}, faults, []time.Duration{medium, long}, func(t *testing.T, r *summary) {
		if r.worstCanary > 0.1 {
			t.Errorf("the canary got %.3f\n%s", r.worstCanary, r)
		}
	})
}

// TestPrintTable prints the results of all loads, durations and versions if ROLLOUT_TABLE is
// set.
func TestPrintTable(t *testing.T) {
	if os.Getenv("ROLLOUT_TABLE") == "" {
		t.Skip("prints only; set ROLLOUT_TABLE")
	}
	for _, l := range loads {
		for _, d := range []time.Duration{short, medium, long} {
			for _, f := range append(append([]flaw{good}, failing...), slow...) {
				fmt.Printf("%-8s %4s %-17s %s\n", l.name, d, f.name, simulate(l, d, f, faults))
			}
		}
	}
}
