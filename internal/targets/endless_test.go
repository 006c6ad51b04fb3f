package targets

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/inflight"
	"sycamoretrail/platform/platformtest"
)

// Guards against answers that don't end using up the memory of the process.
func TestEndlessAnswersStayInBoundedMemory(t *testing.T) {
	const (
		runs      = 8
		maxAnswer = 1 << 20
		// keptBound is what the answers may keep: each a body, an event, and a line in two buffers while it grows.
		keptBound = runs * (maxAnswer + 3*maxLineBytes)
	)
	play := map[string]func(*platformtest.Arrival){"event": platformtest.EndlessEvent}
	for name, answer := range platformtest.Endless {
		play[name] = answer
	}
	for name, answer := range play {
		for _, kind := range []request.Kind{request.Service, request.Engine} {
			t.Run(fmt.Sprintf("%s of %v", name, kind), func(t *testing.T) {
				g := NewWithT(t)
				address := serveArrivals(t, answer)
				core := &fakeCore{}
				flights := inflight.NewRegistry(inflight.Config{MaxOpen: runs, Retain: time.Minute, RetainBytes: 1 << 20})
				targets := New(Config{Core: core, Flights: flights, Log: discardLogger()})
				defer targets.Close()
				before := keptBytes()
				for i := range runs {
					id := ident.RequestID(fmt.Sprint(i))
					_, _ = flights.Put(inflight.New(&inflight.Flight{ID: id, Kind: kind, Method: "POST", Path: "/", MaxAnswer: maxAnswer}, nil, maxAnswer))
					targets.Dispatch(entry.Dispatch{ID: id, Target: "s1", Address: address, Deadline: time.Now().Add(time.Second), Kind: kind})
				}
				most := before
				g.Eventually(func() []message.Result {
					most = max(most, keptBytes())
					return results(core)
				}, 20*time.Second, 5*time.Millisecond).Should(HaveLen(runs))
				g.Expect(results(core)).NotTo(ContainElement(message.ResultComplete))
				g.Expect(most - before).To(BeNumerically("<", keptBound))
			})
		}
	}
}

// keptBytes returns the bytes on the heap that are still in use.
func keptBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
