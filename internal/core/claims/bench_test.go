package claims_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// BenchmarkClaim takes one claim from the ask to the verdict, with its share of
// a batch of 64, at a home that remembers 100,000, and reports the memory of
// one that is remembered.
func BenchmarkClaim(b *testing.B) {
	const remembered, batch = 100_000, 64
	cfg := config()
	cfg.MaxKeys = 1 << 30
	w := newWorld()
	n := w.node(cfg)
	n.do(n.CaughtUp(w.now, 0, w.now))
	offset := 0
	read := func(first, count int) {
		rec := record.Record{}
		for i := range count {
			rec.Claims = append(rec.Claims, record.Claim{Key: name(first + i), ID: id(first + i)})
		}
		offset++
		n.do(n.Record(w.now, 0, int64(offset), 0, rec))
	}
	before := heap()
	for i := 0; i < remembered; i += batch {
		read(i, batch)
	}
	perClaim := float64(heap()-before) / remembered
	next := remembered + batch
	b.ResetTimer()
	for b.Loop() {
		for i := range batch {
			n.do(n.Ask(w.now, "owner", name(next+i), id(next+i)))
		}
		read(next, batch)
		next += batch
		w.now = w.now.Add(time.Millisecond)
	}
	if len(n.answers) == 0 {
		b.Fatal("no verdicts")
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/claim")
	b.ReportMetric(perClaim, "B/claim")
}

func name(i int) request.KeyHash { return request.KeyHash(fmt.Sprintf("%064x", i)) }

func id(i int) ident.RequestID {
	return ident.PrefixFor(ident.NewIncarnation(uint64(i), 1_700_000_000), 3).ID(fmt.Sprint("caller-", i))
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
