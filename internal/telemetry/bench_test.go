package telemetry

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// organisationsAtScale is the number of organisations of the owner's letter.
const organisationsAtScale = 38_000

// settleAll settles one request of each organisation, ten of them with half of
// the traffic, in five tiers.
func settleAll(m *Metrics) {
	for i := range organisationsAtScale {
		name := fmt.Sprintf("organisation-%05d", i)
		if i%2 == 0 {
			name = fmt.Sprintf("organisation-%05d", i%20)
		}
		m.Settled(Settled{
			Organisation: name, Tier: fmt.Sprintf("tier-%d", i%5), Status: outcome.Complete(),
			FirstToken: time.Duration(i%3000) * time.Millisecond, Total: time.Duration(i%9000) * time.Millisecond,
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkOrganisations shows the cost of a settled request, and what the
// metrics hold after requests of 38,000 organisations.
func BenchmarkOrganisations(b *testing.B) {
	before := heapInUse()
	m := NewMetrics("entry-1", "ncr-a")
	rounds := 0
	for b.Loop() {
		settleAll(m)
		rounds++
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(rounds*organisationsAtScale), "ns/request")
	b.ReportMetric(float64(heapInUse()-before)/1024, "held-KiB")
	if err := m.Close(); err != nil {
		b.Fatal(err)
	}
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, nil, nil)
	m.Handler(&ctx)
	text := string(ctx.Response.Body())
	b.ReportMetric(float64(len(text))/1024, "page-KiB")
	b.ReportMetric(float64(strings.Count(text, "\n")-strings.Count(text, "# ")), "lines")
}

// BenchmarkDecision is what a decision's line costs the core's goroutine.
func BenchmarkDecision(b *testing.B) {
	logger, err := NewLogger(io.Discard, "info")
	if err != nil {
		b.Fatal(err)
	}
	second := int64(0)
	clock := func() time.Time { second++; return time.Unix(second, 0) }
	d := NewDecisions(logger, clock, DecisionsPerSecond, func(request.Tier) string { return "gate" })
	b.Cleanup(d.Close)
	decision := entry.Decision{ID: "0a1b2c3d4e5f6071-6b106aaa.1f.0a1b2c3d4e5f", Event: entry.EventOffered, Target: "engine-0123", Tier: 1}
	b.ReportAllocs()
	for b.Loop() {
		d.Decision(decision)
		if len(d.lines) < decisionsWaiting/2 {
			continue
		}
		// A full queue would leave lines out, which costs less than handing over.
		b.StopTimer()
		for len(d.lines) > 0 {
			time.Sleep(time.Millisecond)
		}
		b.StartTimer()
	}
}
