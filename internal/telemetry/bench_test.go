package telemetry

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/outcome"
)

// organisationsAtScale is the number of organisations at full scale.
const organisationsAtScale = 38_000

// recordAll records as many settled requests as there are organisations, in five
// tiers; ten organisations have half of the requests.
func recordAll(m *Metrics) {
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

// BenchmarkOrganisations measures recording a settled request, and the size of the
// metrics after requests of 38,000 organisations.
func BenchmarkOrganisations(b *testing.B) {
	before := heapInUse()
	m := NewMetrics("entry-1", "ncr-a")
	rounds := 0
	for b.Loop() {
		recordAll(m)
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
