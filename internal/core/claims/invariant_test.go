package claims_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoretrail/internal/core/claims"
	"sycamoretrail/internal/core/ident"
)

// owners hold each request's one decision: it runs on the first verdict that
// names it, and is void after any other.
type owners struct {
	ran, void map[ident.RequestID]bool
}

func (o *owners) hear(n *node) {
	for _, v := range n.answers {
		if o.ran[v.ID] || o.void[v.ID] {
			continue
		}
		if v.Winner == v.ID {
			o.ran[v.ID] = true
			continue
		}
		o.void[v.ID] = true
	}
	n.answers = nil
}

// TestOneRuns draws schedules of two homes that come and go, appends that lose
// their answers or land late, outages, and owners that ask twice, at both
// homes, and release with delay or never. Of one key at most one request runs.
func TestOneRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		nodes := []*node{w.node(config()), w.node(config())}
		o := &owners{ran: map[ident.RequestID]bool{}, void: map[ident.RequestID]bool{}}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			n := rapid.SampledFrom(nodes).Draw(t, "node")
			id := ident.RequestID(fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "id")))
			w.step(t, n, id, o)
			o.hear(n)
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
			n.ask(id)
		}
	case 3, 4:
		w.now = w.now.Add(60 * time.Millisecond)
		n.do(n.Tick(w.now))
	case 5, 6:
		w.now = w.now.Add(time.Millisecond)
		n.read()
	case 7:
		if o.void[id] {
			n.giveUp(id)
		}
	case 8:
		w.lose = rapid.SampledFrom([]lose{loseNothing, loseAnswer, loseRecord, loseBoth, refuse}).Draw(t, "lose")
		if len(w.late) > 0 {
			w.land(w.late[0])
			w.late = w.late[1:]
		}
	case 9:
		if rapid.Bool().Draw(t, "down") {
			n.do(n.Down(w.now, 0))
			return
		}
		// Replaced: the new process knows nothing.
		n.Home = claims.New(config())
		n.do(n.SetHome(w.now, []int{0}))
	}
}
