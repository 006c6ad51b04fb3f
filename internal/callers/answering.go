package callers

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
)

// answering counts the answers whose last byte has not left, and tells the core
// during a drain.
//
// Failure: the run of a request ends, its caller reads slowly, and the core,
// which knows of nothing in flight any more, is drained. Symptom: the process
// closes its links and its log, and may be ended, with answers half sent. The
// core waits while it was last told a count above 0, so the first answer is told
// before its request is submitted; the rest is told at most every answeringEvery.
type answering struct {
	core Core
	view func() *entry.View

	mu   sync.Mutex
	open int
	told int
}

// answeringEvery bounds how often the core is told of a changed count.
const answeringEvery = 50 * time.Millisecond

// begin counts the answer to the connection's present request in.
func (a *answering) begin(conn net.Conn) {
	c, ok := conn.(*countedConn)
	if !ok || c.owed.Swap(true) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	if a.told == 0 {
		a.tell()
	}
}

// left is told when a connection's answer has left, or never will.
func (a *answering) left(conn net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateIdle && state != fasthttp.StateClosed {
		return
	}
	if c, ok := conn.(*countedConn); ok && c.owed.Swap(false) {
		a.mu.Lock()
		a.open--
		a.mu.Unlock()
	}
}

// report tells of changes until done is closed.
func (a *answering) report(done <-chan struct{}) {
	ticker := time.NewTicker(answeringEvery)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			a.mu.Lock()
			a.tell()
			a.mu.Unlock()
		}
	}
}

// tell submits the count if the core drains and was told another. It is called
// with the lock held, so that the core hears of counts in their order; a full
// ring leaves it to the next call.
func (a *answering) tell() {
	if a.told == a.open || a.view().State != message.Draining {
		return
	}
	if a.core.Submit(entry.Answering{Open: a.open}) {
		a.told = a.open
	}
}
