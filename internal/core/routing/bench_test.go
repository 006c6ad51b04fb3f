package routing

import (
	"fmt"
	"testing"
	"time"

	"sycamoretrail/internal/core/request"
)

// benchmarkLoad is what a request brings and what it meets.
type benchmarkLoad struct {
	name     string
	prompt   int
	wait     time.Duration // of every target's queue
	left     time.Duration
	hopeless bool
}

// BenchmarkChoose is one choice against the size of the pool, with the pool's
// refreshes at 50 choices a second (410 owners at 20,000 requests a second) and
// every digest renewed each half second (not timed).
func BenchmarkChoose(b *testing.B) {
	loads := []benchmarkLoad{
		{name: "short", prompt: 200, left: 10 * time.Second},
		{name: "long", prompt: 12800, left: 10 * time.Second},
		{name: "late", prompt: 200, wait: time.Minute, left: 10 * time.Second},
		{name: "hopeless", prompt: 200, left: time.Millisecond, hopeless: true},
	}
	for _, load := range loads {
		for _, size := range []int{10, 50, 250, 1000, 1800} {
			b.Run(fmt.Sprintf("%s/pool=%d", load.name, size), func(b *testing.B) {
				benchmarkChoose(b, load, size)
			})
		}
	}
}

func benchmarkChoose(b *testing.B, load benchmarkLoad, size int) {
	r := routerFor(poolOf(size, size/3), 1)
	req := prefixed(ask(load.prompt, 50), 1, 100)
	for i := range prefixHolders {
		r.Dispatched(start, named(i), req)
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(20 * time.Millisecond)
		if i%25 == 0 {
			b.StopTimer()
			renew(r, now, size, load.wait)
			b.StartTimer()
		}
		req.Deadline = now.Add(load.left)
		if _, status := r.Choose(now, req, nil); status.OK() == load.hopeless {
			b.Fatal(status)
		}
	}
}

func renew(r *Router, now time.Time, size int, wait time.Duration) {
	for i := range size {
		d := digest(named(i), i%16, 16)
		if wait > 0 {
			d.InFlight, d.Wait = 16, wait
		}
		r.Digest(now, d)
	}
}

func BenchmarkDigest(b *testing.B) {
	r := routerFor(poolOf(250, 80), 1)
	d := digest("t7", 3, 16)
	for b.Loop() {
		r.Digest(start, d)
	}
}

func BenchmarkDispatched(b *testing.B) {
	r := routerFor(poolOf(250, 80), 1)
	req := prefixed(ask(12800, 50), 1, 40)
	b.ReportAllocs()
	for b.Loop() {
		r.Dispatched(start, "t7", req)
	}
}

func BenchmarkConfigure(b *testing.B) {
	doc := poolOf(1800, 600)
	r := routerFor(doc, 1)
	b.ReportAllocs()
	for b.Loop() {
		r.Configure(doc)
	}
}

// BenchmarkHerd reports how many times the mean load the fullest of 250 targets
// gets when 410 owners dispatch 1,250 requests on digests that all have and
// that are up to half a second old.
func BenchmarkHerd(b *testing.B) {
	ways := []struct {
		name   string
		choose func(*Router, time.Time, *request.Request) string
	}{
		{"least-cost", func(r *Router, now time.Time, req *request.Request) string {
			r.picker = leastCost{}
			return first(r.Choose(now, req, nil))
		}},
		{"least-cost-of-all", func(r *Router, now time.Time, req *request.Request) string {
			q, _ := r.ask(now, req, nil)
			r.scan(q)
			return r.candidates[leastCost{}.pick(q, r.candidates)].target.name
		}},
		{"two-of-near", func(r *Router, now time.Time, req *request.Request) string {
			return first(r.Choose(now, req, nil))
		}},
		{"alone", func(r *Router, now time.Time, req *request.Request) string {
			return first(r.TwoChoices(now, req, nil))
		}},
	}
	for _, way := range ways {
		b.Run(way.name, func(b *testing.B) {
			total := 0.0
			for b.Loop() {
				total += herd(uint64(b.N), way.choose)
			}
			b.ReportMetric(total/float64(b.N), "fullest/mean")
		})
	}
}

func herd(seed uint64, choose func(*Router, time.Time, *request.Request) string) float64 {
	const targets, owners, dispatches = 250, 410, 1250
	doc := poolOf(targets, 0)
	routers := make([]*Router, owners)
	for i := range routers {
		routers[i] = New(seed*owners+uint64(i), fmt.Sprintf("z%d", i%3))
		routers[i].Configure(doc)
		renew(routers[i], start, targets, 0)
		for t := range targets {
			routers[i].Report(start, named(t), t%16, 0)
		}
	}
	got := map[string]int{}
	fullest := 0
	for i := range dispatches {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond / dispatches)
		r := routers[i%owners]
		req := ask(300, 50)
		name := choose(r, now, req)
		r.Dispatched(now, name, req)
		got[name]++
		fullest = max(fullest, got[name])
	}
	return float64(fullest) * targets / dispatches
}

// leastCost is the picker that twoOfNear was weighed against.
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
