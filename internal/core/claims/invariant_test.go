package claims_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoretrail/internal/core/claims"
	"sycamoretrail/internal/core/ident"
)

// owners records the final state of each request: it runs on the first decision
// if that names it the winner, and is voided after any other.
type owners struct {
	ran, void map[ident.RequestID]bool
}

func (o *owners) collect(n *node) {
	for _, v := range n.decisions {
		if o.ran[v.ID] || o.void[v.ID] {
			continue
		}
		if v.Winner == v.ID {
			o.ran[v.ID] = true
			continue
		}
		o.void[v.ID] = true
	}
	n.decisions = nil
}

// TestAtMostOneRequestPerKeyRuns draws schedules of two coordinators that are
// replaced, appends that lose their answers or reach the log late, outages, and
// owners that claim twice, at both coordinators, and release late or never. At
// most one request runs for one key.
func TestAtMostOneRequestPerKeyRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		nodes := []*node{w.node(config()), w.node(config())}
		o := &owners{ran: map[ident.RequestID]bool{}, void: map[ident.RequestID]bool{}}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			n := rapid.SampledFrom(nodes).Draw(t, "node")
			id := ident.RequestID(fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "id")))
			w.step(t, n, id, o)
			o.collect(n)
			if len(o.ran) > 1 {
				t.Fatalf("ran twice for one key: %v", o.ran)
			}
		}
	})
}

func (w *world) step(t *rapid.T, n *node, id ident.RequestID, o *owners) {
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1, 2:
		if !o.void[id] {
			n.claim(id)
		}
	case 3, 4:
		w.now = w.now.Add(60 * time.Millisecond)
		n.do(n.Tick(w.now))
	case 5, 6:
		w.now = w.now.Add(time.Millisecond)
		n.read()
	case 7:
		if o.void[id] {
			n.release(id)
		}
	case 8:
		w.fault = rapid.SampledFrom([]appendFault{faultNone, faultAnswerLost, faultRecordLost, faultDelayed, faultRefused}).Draw(t, "lose")
		if len(w.delayed) > 0 {
			w.appendRecord(w.delayed[0])
			w.delayed = w.delayed[1:]
		}
	case 9:
		if rapid.Bool().Draw(t, "down") {
			n.do(n.Down(w.now, 0))
			return
		}
		// The coordinator is replaced by a new process without state.
		n.Coordinator = claims.New(config())
		n.do(n.SetPartitions(w.now, []int{0}))
	}
}
