package gateway

import (
	"errors"
	"sync"
	"time"

	"sycamoretrail/internal/core/memory"
)

const (
	// heldShare is the part of the process' memory that the bodies of requests and buffered answers may use
	// together.
	heldShare = 0.25
	// memoryWaitShare is the part of the time left to a request for which it may wait for memory, maxMemoryWait
	// bounds it: its caller may find room at another entry.
	memoryWaitShare = 0.33
	maxMemoryWait   = 2 * time.Second
	// relieveEvery is the interval at which holdings that stand still are looked for while requests wait.
	relieveEvery = 25 * time.Millisecond
)

// errNoMemory ends a body or an answer for which the requests of the entry together leave no memory.
var errNoMemory = errors.New("the requests of this entry use up their share of the memory")

// heldMemory is the account of the memory that clients make this entry hold. It is safe for concurrent use.
type heldMemory struct {
	mutex   sync.Mutex
	account *memory.Account
	// granted holds a channel for each holding that waits, which is closed when it gets the memory.
	granted map[*memory.Holding]chan struct{}
	// relieving: the next look for holdings that stand still is scheduled.
	relieving bool
}

func newHeldMemory(bytes int64) *heldMemory {
	return &heldMemory{account: memory.New(bytes), granted: make(map[*memory.Holding]chan struct{})}
}

// heldBytes returns the memory that requests may hold in a process.
func heldBytes(memoryMB int) int64 { return int64(heldShare * float64(memoryMB<<20)) }

// used returns the bytes that are held, and the number of requests that wait for some.
func (m *heldMemory) used() (bytes int64, waiting int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.account.Used(), m.account.Waiting()
}

// largest returns the size of the longest body that can be held.
func (m *heldMemory) largest() int { return int(m.account.Largest()) }

// reserve adds bytes to a holding. If there is no room, it returns a channel that is closed when there is; nil: the
// holding has been evicted.
func (m *heldMemory) reserve(h *memory.Holding, bytes int) (reserved bool, granted chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.account.Reserve(time.Now(), h, int64(bytes)) {
		return true, nil
	}
	if h.Evicted() {
		return false, nil
	}
	granted = make(chan struct{})
	m.granted[h] = granted
	return false, granted
}

// await waits until the bytes that were asked for are granted, until a time. It ends too if the holding is evicted, or
// the client is gone.
func (m *heldMemory) await(h *memory.Holding, granted chan struct{}, until time.Time, evicted, gone <-chan struct{}) error {
	m.relieve()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-granted:
		return nil
	case <-evicted:
	case <-gone:
	case <-timer.C:
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, waits := m.granted[h]; !waits {
		return nil // it was granted meanwhile
	}
	delete(m.granted, h)
	m.account.Withdraw(h)
	return errNoMemory
}

// release gives bytes of a holding back.
func (m *heldMemory) release(h *memory.Holding, bytes int) {
	if bytes == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.account.Release(h, int64(bytes))
	m.grant()
}

// grant wakes the requests that get what they waited for. The mutex must be held.
func (m *heldMemory) grant() {
	for _, h := range m.account.Grant(time.Now()) {
		close(m.granted[h])
		delete(m.granted, h)
	}
}

// setPhase returns false if the holding has been evicted.
func (m *heldMemory) setPhase(h *memory.Holding, phase memory.Phase) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.account.SetPhase(time.Now(), h, phase)
}

// resume notes that this process has not run for a while.
func (m *heldMemory) resume() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.account.Resume(time.Now())
}

// relieve takes memory from holdings that stand still, and looks again as long as requests wait.
func (m *heldMemory) relieve() {
	m.mutex.Lock()
	m.grant()
	evicted := m.account.Evict(time.Now())
	if m.account.Waiting() > 0 && !m.relieving {
		m.relieving = true
		time.AfterFunc(relieveEvery, func() {
			m.mutex.Lock()
			m.relieving = false
			m.mutex.Unlock()
			m.relieve()
		})
	}
	m.mutex.Unlock()
	for _, h := range evicted {
		h.Evict()
	}
}

// holding is the memory that a call holds.
type holding struct {
	memory.Holding
	// evicted is closed when the call has to give it up.
	evicted chan struct{}
	// waited is how long the body has waited for memory.
	waited time.Duration
	// request and answer are the parts that its request's body and its buffered answer use.
	request, answer int
}

// newHolding returns the call's holding, which is empty at first.
func (c *call) newHolding() *holding {
	h := &holding{evicted: make(chan struct{})}
	h.Owner = c.organisation
	if c.conn != nil {
		h.Client = c.conn
	}
	h.Evict = func() {
		close(h.evicted)
		switch h.Phase() {
		case memory.Receiving:
			c.conn.Interrupt()
		case memory.Delivering:
			c.conn.Abort()
		}
	}
	return h
}

// evicted is closed when the call has to give up what it holds; nil: it holds nothing yet.
func (c *call) evicted() <-chan struct{} {
	if c.holding == nil {
		return nil
	}
	return c.holding.evicted
}

// dropped is closed if the caller's connection has been closed to make room; nil: it can't be.
func (c *call) dropped() <-chan struct{} {
	if c.conn == nil {
		return nil
	}
	return c.conn.Dropped()
}

func (h *holding) isEvicted() bool { return h != nil && isClosed(h.evicted) }

// isClosed reports whether a channel on which nothing is sent has been closed; a nil channel never is.
func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// enter begins a phase of what the call holds. It returns false if that has been evicted.
func (c *call) enter(phase memory.Phase) bool {
	return c.holding == nil || c.gateway.held.setPhase(&c.holding.Holding, phase)
}

// gone is closed when there is no client any more: its connection has been closed to make room while it sent, or it has
// left. The connection is watched only once a request has been received.
func (c *call) gone() <-chan struct{} {
	if c.holding.Phase() == memory.Receiving {
		return c.dropped()
	}
	return c.disconnected
}

// memoryDeadline returns the time until which the call may wait for memory.
func (c *call) memoryDeadline(now time.Time) time.Time {
	left := c.expires.Sub(now)
	if c.holding.Phase() == memory.Receiving {
		left = c.leaves.Sub(now)
	}
	return now.Add(min(fraction(left, memoryWaitShare), maxMemoryWait))
}

// reserve adds bytes to what the call holds.
func (c *call) reserve(bytes int) error {
	if c.holding == nil {
		c.holding = c.newHolding()
	}
	held, h := c.gateway.held, &c.holding.Holding
	reserved, granted := held.reserve(h, bytes)
	switch {
	case reserved:
		return nil
	case granted == nil:
		return errNoMemory
	}
	began := time.Now()
	if h.Phase() == memory.Receiving {
		defer func() {
			c.holding.waited += time.Since(began)
			c.beginBody(c.leaves) // the client could not go on meanwhile
		}()
	}
	return held.await(h, granted, c.memoryDeadline(began), c.evicted(), c.gone())
}

// releaseRequest gives the request's body back.
func (c *call) releaseRequest() {
	c.body = nil
	if c.holding == nil {
		return
	}
	c.gateway.held.release(&c.holding.Holding, c.holding.request)
	c.holding.request = 0
}

// releaseAnswer gives the buffered answers back.
func (c *call) releaseAnswer() { c.releaseAnswerBeyond(0) }

// releaseAnswerBeyond gives back what buffered answers hold beyond some bytes.
func (c *call) releaseAnswerBeyond(kept int) {
	if c.holding == nil {
		return
	}
	c.gateway.held.release(&c.holding.Holding, c.holding.answer-kept)
	c.holding.answer = kept
}

// answerBytes returns what buffered answers hold.
func (c *call) answerBytes() int {
	if c.holding == nil {
		return 0
	}
	return c.holding.answer
}
