package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"sycamoretrail/internal/core/dispatch"
)

// BenchmarkReportUnderOverload measures the cost of a peer's report to an entry of a cell of
// twelve, with all but one of nine targets full and fifty waiting requests that have already
// been tried at that one.
func BenchmarkReportUnderOverload(b *testing.B) {
	s := dispatch.New(dispatch.Config{Name: "a", Zone: "a"})
	list := targets(9, 8)
	s.SetTargets(start, list)
	load := dispatch.Load{InFlight: make(map[string]int), Reading: make(map[string]int), Waiting: waiting}
	for _, target := range list[1:] {
		load.InFlight[target.ID] = 1
		load.Reading[target.ID] = 4000
	}
	for i := range 11 {
		s.SetPeerLoad(start, fmt.Sprintf("peer-%d", i), load)
	}
	for i := range 50 {
		request := ask(fmt.Sprint(i))
		request.Rank = 1
		request.Tried = []string{list[0].ID}
		s.Submit(start, request)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.SetPeerLoad(start.Add(time.Millisecond), "peer-0", load)
	}
}
