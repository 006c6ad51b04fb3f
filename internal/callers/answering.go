package callers

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
)

// pendingAnswers counts the answers that have not been sent completely, and reports
// the count to the core during a drain.
//
// When a run has ended but its caller reads slowly, the core has nothing in flight
// any more. If that completed the drain, the process would close its links and its
// log, and could be terminated, with answers partly sent. The core therefore waits
// while the last reported count is above 0. The first answer is reported before its
// request is submitted, later changes at most once per answeringInterval.
type pendingAnswers struct {
	core Core
	view func() *entry.View

	mu       sync.Mutex
	open     int
	reported int
}

// answeringInterval is the interval at which a changed count is reported to the core.
const answeringInterval = 50 * time.Millisecond

// begin counts the answer to the connection's current request as pending.
func (a *pendingAnswers) begin(conn net.Conn) {
	c, ok := conn.(*countedConn)
	if !ok || c.answerPending.Swap(true) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	if a.reported == 0 {
		a.submitCount()
	}
}

// connState is the server's ConnState hook. An idle or closed connection has no
// pending answer any more.
func (a *pendingAnswers) connState(conn net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateIdle && state != fasthttp.StateClosed {
		return
	}
	if c, ok := conn.(*countedConn); ok && c.answerPending.Swap(false) {
		a.mu.Lock()
		a.open--
		a.mu.Unlock()
	}
}

// run reports changes of the count until done is closed.
func (a *pendingAnswers) run(done <-chan struct{}) {
	ticker := time.NewTicker(answeringInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			a.mu.Lock()
			a.submitCount()
			a.mu.Unlock()
		}
	}
}

// submitCount submits the count if the core is draining and the last reported count
// differs. It is called with the lock held, so that the core receives counts in
// order. If the ring is full, the next call submits the count.
func (a *pendingAnswers) submitCount() {
	if a.reported == a.open || a.view().State != message.Draining {
		return
	}
	if a.core.Submit(entry.OpenAnswers{Open: a.open}) {
		a.reported = a.open
	}
}
