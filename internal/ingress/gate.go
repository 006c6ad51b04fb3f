package ingress

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Gate bounds the connections of several listeners together. To make room for a new one it closes
// the connection that has been idle for the longest time. If none is idle, the new one is closed
// unread, so that its caller knows that nothing was run, instead of waiting to be accepted.
type Gate struct {
	max int

	mutex sync.Mutex
	open  int
	// idle holds the connections without a request, the one that has been idle longest in front.
	idle list.List

	evicted, refused atomic.Int64
}

// Descriptors returns the number of descriptors that the process may open: the setting, or the limit of
// the process if that is lower.
func Descriptors(setting int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return setting
	}
	return int(min(uint64(setting), limit.Cur))
}

// NewGate returns a gate for up to max connections.
func NewGate(max int) *Gate { return &Gate{max: max} }

// Evicted returns how many idle connections were closed to make room.
func (g *Gate) Evicted() int64 { return g.evicted.Load() }

// Refused returns how many new connections were closed because none was idle.
func (g *Gate) Refused() int64 { return g.refused.Load() }

// Open returns the number of open connections.
func (g *Gate) Open() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.open
}

// admit counts a new connection. It returns false if there is no room for it.
func (g *Gate) admit() bool {
	for {
		g.mutex.Lock()
		if g.open < g.max {
			g.open++
			g.mutex.Unlock()
			return true
		}
		g.mutex.Unlock()
		if !g.EvictIdle() {
			g.refused.Add(1)
			return false
		}
	}
}

// EvictIdle closes the connection that has been idle longest. It returns false if none is idle.
func (g *Gate) EvictIdle() bool {
	g.mutex.Lock()
	front := g.idle.Front()
	if front == nil {
		g.mutex.Unlock()
		return false
	}
	conn, _ := front.Value.(*Conn)
	g.remove(conn)
	g.mutex.Unlock()
	g.evicted.Add(1)
	_ = conn.Conn.Close()
	return true
}

// remove takes a connection out of the idle ones and out of the count. The mutex must be held.
func (g *Gate) remove(conn *Conn) {
	g.forgetIdle(conn)
	if conn.counted {
		conn.counted = false
		g.open--
	}
}

func (g *Gate) forgetIdle(conn *Conn) {
	if conn.idle != nil {
		g.idle.Remove(conn.idle)
		conn.idle = nil
	}
}

func (g *Gate) noteIdle(conn *Conn) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if conn.counted && conn.idle == nil {
		conn.idle = g.idle.PushBack(conn)
	}
}

// noteBusy returns false if the connection has been closed to make room.
func (g *Gate) noteBusy(conn *Conn) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.forgetIdle(conn)
	return conn.counted
}

func (g *Gate) noteClosed(conn *Conn) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.remove(conn)
}

// dialAttempts bounds the attempts to open a connection while descriptors are short, dialPause is the time
// between two of them.
const (
	dialAttempts = 10
	dialPause    = 5 * time.Millisecond
)

// Dialer returns a dial function that closes idle connections if no descriptor is left for a new one.
func (g *Gate) Dialer(dial func(address string) (net.Conn, error)) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		for attempt := 1; ; attempt++ {
			conn, err := dial(address)
			if !ShortOfDescriptors(err) || attempt == dialAttempts {
				return conn, err
			}
			g.EvictIdle()
			time.Sleep(dialPause)
		}
	}
}

// Pauses between attempts to accept while descriptors or memory are short.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 200 * time.Millisecond
)

// RetryingListener accepts again after errors that pass: without it, a server would end at the first
// one.
type RetryingListener struct {
	net.Listener
	// MakeRoom, if not nil, is called when descriptors or memory are short.
	MakeRoom func()
	// OnError, if not nil, is called with each such error.
	OnError func(error)
}

// Accept returns the next connection, or an error that does not pass.
func (l *RetryingListener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !Passes(err) {
			return conn, err
		}
		if l.OnError != nil {
			l.OnError(err)
		}
		if l.MakeRoom != nil && !errors.Is(err, syscall.ECONNABORTED) {
			l.MakeRoom()
		}
		time.Sleep(pause)
		pause = min(2*pause, maxAcceptPause)
	}
}

// Passes reports whether an error to accept may pass: descriptors or memory are short, or the
// connection was aborted before it was accepted.
func Passes(err error) bool {
	return ShortOfDescriptors(err) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) ||
		errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR)
}

// ShortOfDescriptors reports whether an error means that the process or the machine has no descriptor left.
func ShortOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
