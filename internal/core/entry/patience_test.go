package entry

import (
	"testing"
	"time"

	"sycamoretrail/internal/core/request"
)

// TestPatience: under a floor every scheduler turns lower work down for a second.
// A request with minutes left comes again after pauses and asks for the last word
// near its end only; the top tier asks at once. A pause that went past that time
// would leave no time for the last word, and the request would be refused for its
// deadline while lower work is served.
func TestPatience(t *testing.T) {
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
	if f := flightOf(0, 0); e.patient(f) {
		t.Error("the top tier waits at its owner")
	}
	f := flightOf(1, 2*time.Second)
	if got := f.patience().Sub(e.now); got != 1700*time.Millisecond {
		t.Errorf("last word after %v of 2 s, want 1.7 s", got)
	}
	f.tried = []string{"t1", "t2"}
	last := f.patience()
	for range 40 {
		if !e.patient(f) {
			t.Fatal("patience ended early")
		}
		e.rest(f)
		if len(f.tried) > 0 || f.stage != stageWaiting {
			t.Fatal("a new round leaves targets out, or does not wait")
		}
		if !f.wake.After(e.now) || f.wake.After(last) {
			t.Fatalf("wakes %v after the last word is due", f.wake.Sub(last))
		}
		e.now = f.wake
		if e.now.Equal(last) {
			break
		}
	}
	if e.patient(f) || !e.now.Equal(last) {
		t.Error("does not wake for its last word")
	}
}
