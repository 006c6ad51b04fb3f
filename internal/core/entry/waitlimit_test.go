package entry

import (
	"testing"
	"time"

	"sycamoretrail/internal/core/request"
)

// TestPausesBetweenOffers: under a floor every scheduler refuses lower work for
// a second. A request with much time left is offered again after pauses and
// gets its final offer only near its deadline; the top tier gets its final
// offer at once. A pause past that time would leave none for the final offer,
// and the request would be refused for its deadline while lower work is served.
func TestPausesBetweenOffers(t *testing.T) {
	w := newWorld(1, nil)
	e := w.nodes[0].core
	e.now = w.now
	flightOf := func(tier request.Tier, first time.Duration) *flight {
		f := &flight{req: request.Request{ID: "p", Tier: tier, Arrived: e.now, Deadline: e.now.Add(10 * time.Second)}}
		if first > 0 {
			f.req.FirstTokenBy = e.now.Add(first)
		}
		return f
	}
	if f := flightOf(0, 0); e.mayWait(f) {
		t.Error("the top tier waits at its owner")
	}
	f := flightOf(1, 2*time.Second)
	if got := f.waitLimit().Sub(e.now); got != 1700*time.Millisecond {
		t.Errorf("final offer after %v of 2 s, want 1.7 s", got)
	}
	f.tried = []string{"t1", "t2"}
	last := f.waitLimit()
	for range 40 {
		if !e.mayWait(f) {
			t.Fatal("wait ended early")
		}
		e.pauseOffers(f)
		if len(f.tried) > 0 || f.stage != stageWaiting {
			t.Fatal("the next round excludes targets, or does not wait")
		}
		if !f.wake.After(e.now) || f.wake.After(last) {
			t.Fatalf("wakes %v after the final offer is due", f.wake.Sub(last))
		}
		e.now = f.wake
		if e.now.Equal(last) {
			break
		}
	}
	if e.mayWait(f) || !e.now.Equal(last) {
		t.Error("does not wake for its final offer")
	}
}
