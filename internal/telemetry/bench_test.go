package telemetry

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/outcome"
)

func benchSettled(organisation string) Settled {
	return Settled{
		Organisation: organisation, Tier: "urgent", Status: outcome.Complete(),
		FirstToken: 300 * time.Millisecond, Total: 5 * time.Second, Tokens: 200,
	}
}

// BenchmarkSettled is what a request's metrics cost the goroutine that answers it.
func BenchmarkSettled(b *testing.B) {
	m := NewMetrics("entry-1", "zone-a")
	b.Cleanup(func() { _ = m.Close() })
	s := benchSettled("org-1")
	b.ReportAllocs()
	for b.Loop() {
		m.Settled(s)
	}
}

// BenchmarkDecision is what a decision's line costs the core's goroutine.
func BenchmarkDecision(b *testing.B) {
	logger, err := NewLogger(io.Discard, "info")
	if err != nil {
		b.Fatal(err)
	}
	second := int64(0)
	d := NewDecisions(logger, func() time.Time { second++; return time.Unix(second, 0) }, DecisionsPerSecond)
	b.Cleanup(d.Close)
	decision := entry.Decision{
		ID: "0a1b2c3d4e5f6071-6b106aaa.1f.0a1b2c3d4e5f60718293a4b5", Event: entry.EventOffered, Target: "engine-0123", Tier: 1,
	}
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

// BenchmarkOrganisations is the traffic of so many organisations, the first of
// them large. Reported besides: heap and lines of /metrics afterwards.
func BenchmarkOrganisations(b *testing.B) {
	for _, n := range []int{5, 100, 1000, 10_000, 38_000} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			settled := make([]Settled, n)
			for i := range settled {
				settled[i] = benchSettled(fmt.Sprintf("org-%05d", i))
			}
			before := heapNow()
			m := NewMetrics("entry-1", "zone-a")
			i := 0
			for b.Loop() {
				// A tenth of the traffic is that of the ten first, the rest even.
				at := i % n
				if i%10 == 0 {
					at = i / 10 % min(n, 10)
				}
				m.Settled(settled[at])
				i++
			}
			b.ReportMetric(float64(heapNow()-before)/1024, "kB-held")
			runtime.KeepAlive(settled)
			lines := &lineCounter{}
			m.reporter.write(lines)
			b.ReportMetric(float64(lines.n), "lines")
			_ = m.Close()
		})
	}
}

func heapNow() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

type lineCounter struct{ n int }

func (c *lineCounter) Write(p []byte) (int, error) {
	for _, x := range p {
		if x == '\n' {
			c.n++
		}
	}
	return len(p), nil
}
