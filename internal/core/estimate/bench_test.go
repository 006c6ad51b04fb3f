package estimate

import (
	"reflect"
	"testing"
	"time"
)

func BenchmarkObserve(b *testing.B) {
	g := newEngine(5000, 0.020, 0.0005)
	e := New(Prior{PrefillRate: 5000, StepTime: 20 * time.Millisecond, MaxInFlight: 16})
	s := g.run(1000, 8)
	b.ReportAllocs()
	for b.Loop() {
		e.Observe(g.now, s)
	}
	b.ReportMetric(float64(reflect.TypeFor[Estimate]().Size()), "state-bytes")
}

func BenchmarkTotal(b *testing.B) {
	e := New(Prior{PrefillRate: 5000, StepTime: 20 * time.Millisecond, MaxInFlight: 16})
	b.ReportAllocs()
	for b.Loop() {
		e.Total(1000, 0, 200, 500, 4)
	}
}
