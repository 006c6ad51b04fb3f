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

// BenchmarkClaim measures one claim from request to decision, including its share
// of a batch of 64, at a coordinator that remembers 100,000 claims. It also
// reports the memory of a remembered claim.
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
			rec.Claims = append(rec.Claims, record.Claim{Key: benchKey(first + i), ID: benchID(first + i)})
		}
		offset++
		n.do(n.Record(w.now, 0, int64(offset), 0, rec))
	}
	before := heapBytes()
	for i := 0; i < remembered; i += batch {
		read(i, batch)
	}
	perClaim := float64(heapBytes()-before) / remembered
	next := remembered + batch
	b.ResetTimer()
	for b.Loop() {
		for i := range batch {
			n.do(n.Claim(w.now, "owner", benchKey(next+i), benchID(next+i)))
		}
		read(next, batch)
		next += batch
		w.now = w.now.Add(time.Millisecond)
	}
	if len(n.decisions) == 0 {
		b.Fatal("no decisions")
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/claim")
	b.ReportMetric(perClaim, "B/claim")
}

func benchKey(i int) request.KeyHash { return request.KeyHash(fmt.Sprintf("%064x", i)) }

func benchID(i int) ident.RequestID {
	return ident.PrefixFor(ident.NewIncarnation(uint64(i), 1_700_000_000), 3).ID(fmt.Sprint("caller-", i))
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
