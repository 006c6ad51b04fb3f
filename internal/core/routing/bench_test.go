package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchmarkLoad is a kind of request and the state of the targets.
type benchmarkLoad struct {
	name       string
	prompt     int
	wait       time.Duration // of every target's queue
	remaining  time.Duration
	infeasible bool
}

// BenchmarkChoose measures one choice by the size of the pool, with the pool's
// refreshes at 50 choices a second (410 owners at 20,000 requests a second). Every
// digest is renewed each half second, which is not timed.
func BenchmarkChoose(b *testing.B) {
	loads := []benchmarkLoad{
		{name: "short", prompt: 200, remaining: 10 * time.Second},
		{name: "long", prompt: 12800, remaining: 10 * time.Second},
		{name: "late", prompt: 200, wait: time.Minute, remaining: 10 * time.Second},
		{name: "infeasible", prompt: 200, remaining: time.Millisecond, infeasible: true},
		{name: "rare", prompt: 40000, remaining: 4 * time.Second},
		{name: "scanned", prompt: 200, remaining: 990 * time.Millisecond, infeasible: true},
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
	req := prefixed(newRequest(load.prompt, 50), 1, 100)
	for i := range holdersPerPrefix {
		r.Dispatched(start, targetName(i), req)
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(20 * time.Millisecond)
		if i%25 == 0 {
			b.StopTimer()
			renewDigests(r, now, size, load.wait)
			b.StartTimer()
		}
		req.Deadline = now.Add(load.remaining)
		if _, status := r.Choose(now, req, nil); status.OK() == load.infeasible {
			b.Fatal(status)
		}
	}
}

func renewDigests(r *Router, now time.Time, size int, wait time.Duration) {
	for i := range size {
		d := digest(targetName(i), i%16, 16)
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
	req := prefixed(newRequest(12800, 50), 1, 40)
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

// BenchmarkMemory reports the heap of a router with 1,800 targets and a full
// index of prefixes.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := routerFor(poolOf(1800, 600), 1)
		for i := range 3000 {
			r.Dispatched(start, targetName(i%1800), prefixed(newRequest(25600, 20), uint64(i), 200))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(r)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
}
