package ingress

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"sycamoretrail/internal/netconn"
)

// activity is what a connection waits for.
type activity uint8

const (
	// running: a request is with this entry, which is not waiting for the client.
	running activity = iota
	// idle: the client has sent nothing since the last answer.
	idle
	// receiving: a part of a request has arrived.
	receiving
	// delivering: an answer is being written.
	delivering
	// lingering: the answer has been written, the client may not have read it.
	lingering
	activities
)

// Reasons for which a connection is closed to make room, or a new one refused.
const (
	ReasonIdle      = "idle"
	ReasonStalled   = "stalled"
	ReasonReceiving = "receiving"
	ReasonUnread    = "unread"
	ReasonLingering = "lingering"
	ReasonNoRoom    = "no_room"
)

// Times for which a client may stand still while new ones find no room.
const (
	maxStandstill     = 500 * time.Millisecond
	deliverStandstill = time.Second
)

// maxPolls bounds the connections that are asked for unread bytes to make room for one.
const maxPolls = 16

// place is a connection's place among those of its gate.
type place struct {
	element  *list.Element
	activity activity
	counted  bool
	// moved is when the activity began, or the client last went on with it.
	moved time.Time
}

// Gate bounds the connections of several listeners together. To make room for a new one it closes one whose
// client does not go on: first those that have their answer, then those that have stood still in the middle of
// a request or an answer, then the one that has not moved for longest, with a part of a request or without. If
// there is none, the new one is closed unread, so that its caller knows that nothing was run, instead of waiting
// to be accepted.
type Gate struct {
	max func() int
	// OnClose, if not nil, is called with each connection that is closed to make room, or for want of it.
	OnClose func(client net.Addr, reason string)

	mutex sync.Mutex
	open  int
	// lists hold the connections by activity, but for running ones; the one that has not moved for longest is
	// in front.
	lists  [activities]list.List
	closed map[string]int64
	// resumed is when the process went on after a pause, for which its clients are not to blame.
	resumed time.Time
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
func NewGate(max int) *Gate { return NewChangingGate(func() int { return max }) }

// NewChangingGate returns a gate for a number of connections that may change.
func NewChangingGate(max func() int) *Gate { return &Gate{max: max, closed: make(map[string]int64)} }

// Max returns the number of connections that the gate admits.
func (g *Gate) Max() int { return g.max() }

// Resume notes that the process has not run for a while: clients that seem to stand still may have gone on.
func (g *Gate) Resume(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.resumed = now
}

// Closed returns how many connections were closed to make room, or for want of it, by reason.
func (g *Gate) Closed() map[string]int64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	closed := make(map[string]int64, len(g.closed))
	for reason, n := range g.closed {
		closed[reason] = n
	}
	return closed
}

// Open returns the number of open connections.
func (g *Gate) Open() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.open
}

// admit counts a new connection. It returns false if there is no room for it.
func (g *Gate) admit(client net.Addr) bool {
	for {
		most := g.max()
		g.mutex.Lock()
		if g.open < most {
			g.open++
			g.mutex.Unlock()
			return true
		}
		g.mutex.Unlock()
		if !g.MakeRoom() {
			g.report(client, ReasonNoRoom)
			return false
		}
	}
}

// MakeRoom closes the connection that gives way first. It returns false if none does.
func (g *Gate) MakeRoom() bool {
	g.mutex.Lock()
	conn, reason := g.dispensable(time.Now())
	if conn == nil {
		g.mutex.Unlock()
		return false
	}
	g.remove(conn)
	g.mutex.Unlock()
	g.drop(conn, reason)
	return true
}

// drop closes a connection that has been removed.
func (g *Gate) drop(conn *Conn, reason string) {
	close(conn.dropped)
	_ = conn.Conn.Close()
	g.report(conn.RemoteAddr(), reason)
}

func (g *Gate) report(client net.Addr, reason string) {
	g.mutex.Lock()
	g.closed[reason]++
	g.mutex.Unlock()
	if g.OnClose != nil {
		g.OnClose(client, reason)
	}
}

// dispensable returns the connection that gives way, and why. The mutex must be held.
func (g *Gate) dispensable(now time.Time) (*Conn, string) {
	if conn := g.front(lingering); conn != nil {
		return conn, ReasonLingering
	}
	receives, unread := g.longestStill(receiving)
	if receives != nil && !unread && g.stillFor(receives, now) >= maxStandstill {
		return receives, ReasonStalled
	}
	if conn := g.front(delivering); conn != nil && g.stillFor(conn, now) >= deliverStandstill {
		return conn, ReasonUnread
	}
	idles, _ := g.longestStill(idle)
	switch {
	case idles != nil && (receives == nil || idles.moved.Before(receives.moved)):
		return idles, ReasonIdle
	case receives != nil:
		return receives, ReasonReceiving
	default:
		return nil, ""
	}
}

// stillFor returns how long a client has not moved, although it could.
func (g *Gate) stillFor(conn *Conn, now time.Time) time.Duration {
	if conn.moved.Before(g.resumed) {
		return now.Sub(g.resumed)
	}
	return now.Sub(conn.moved)
}

// longestStill returns the connection that has not moved for longest, if possible one of which this process has
// read all bytes that have arrived; unread: there is none.
func (g *Gate) longestStill(a activity) (conn *Conn, unread bool) {
	element := g.lists[a].Front()
	for range maxPolls {
		if element == nil {
			break
		}
		if conn, _ := element.Value.(*Conn); !netconn.Readable(conn.Conn) {
			return conn, false
		}
		element = element.Next()
	}
	return g.front(a), true
}

func (g *Gate) front(a activity) *Conn {
	element := g.lists[a].Front()
	if element == nil {
		return nil
	}
	conn, _ := element.Value.(*Conn)
	return conn
}

// move notes progress. The mutex must be held.
func (g *Gate) move(conn *Conn, now time.Time) {
	conn.moved = now
	if conn.element != nil {
		g.lists[conn.activity].MoveToBack(conn.element)
	}
}

// remove takes a connection out of its list and out of the count. The mutex must be held.
func (g *Gate) remove(conn *Conn) {
	g.unlist(conn)
	if conn.counted {
		conn.counted = false
		g.open--
	}
}

func (g *Gate) unlist(conn *Conn) {
	if conn.element != nil {
		g.lists[conn.activity].Remove(conn.element)
		conn.element = nil
	}
}

// note records what a connection does. It returns false if the connection has been closed to make room.
func (g *Gate) note(conn *Conn, a activity) bool {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.set(conn, a, now)
}

// set is note with the mutex held.
func (g *Gate) set(conn *Conn, a activity, now time.Time) bool {
	if !conn.counted {
		return false
	}
	if a == idle && conn.activity == idle && conn.element != nil {
		return true // it has been so since it was accepted
	}
	g.unlist(conn)
	conn.activity, conn.moved = a, now
	if a != running {
		conn.element = g.lists[a].PushBack(conn)
	}
	return true
}

// noteLingering is note for a connection that lingers. Only a part of the connections does so at a time.
func (g *Gate) noteLingering(conn *Conn) bool {
	most := lingerShare * float64(g.max())
	g.mutex.Lock()
	noted := g.set(conn, lingering, time.Now())
	var oldest *Conn
	if float64(g.lists[lingering].Len()) > most {
		oldest = g.front(lingering)
		g.remove(oldest)
	}
	g.mutex.Unlock()
	if oldest != nil {
		g.drop(oldest, ReasonLingering)
	}
	return noted && oldest != conn
}

func (g *Gate) noteProgress(conn *Conn) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.move(conn, time.Now())
}

func (g *Gate) movedAt(conn *Conn) time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return conn.moved
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
			g.MakeRoom()
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
