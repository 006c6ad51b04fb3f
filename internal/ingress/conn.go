// Package ingress accepts callers' connections, bounds those of several listeners together and the time
// that each phase of a request may take, and detects when a caller disconnects while its request is still
// running.
package ingress

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"sycamoretrail/internal/netconn"
)

const (
	// writeTimeout bounds the writing of a part of an answer to a caller that does not read. Unread data occupies
	// memory at this entry and a slot at a target.
	writeTimeout = 5 * time.Second
	// writeSize is the size of the parts in which a long answer is written, and minWriteRate the least rate,
	// in bytes a second, at which callers have to take it.
	writeSize    = 64 << 10
	minWriteRate = 64 << 10
	// progressBytes is what a client has to send to count as going on: less may be a trickle.
	progressBytes = 1 << 10
)

// Limits bound the time that callers take; 0: it is not bounded.
type Limits struct {
	// Head is the time from the first byte of a request to the end of its head, Idle the time without a
	// request.
	Head, Idle time.Duration
}

// Listener wraps the connections that it accepts in Conn.
type Listener struct {
	net.Listener
	// Gate bounds the connections.
	Gate *Gate
	// Limits returns the limits in force; nil: there are none, and the server sets all deadlines.
	Limits func() Limits
	// ReceiveBuffer is the memory in which the kernel holds bytes of a client until they are read; 0: the kernel
	// chooses it, and makes it larger with what is read. See WidenBuffer.
	ReceiveBuffer int
	// Refuse, if not nil, is called with each connection for which there is no room before it is closed.
	Refuse func(net.Conn)
	// Paused reports whether this process has been paused since a time; nil: it never is.
	Paused func(since time.Time) bool
}

// Accept returns the next connection, as a *Conn. It closes those for which the gate has no room.
func (l Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.Gate.admit(accepted.RemoteAddr()) {
			conn := &Conn{
				Conn: accepted, gate: l.Gate, place: place{counted: true}, dropped: make(chan struct{}), awaitingRequest: true,
				limits: l.Limits, paused: l.Paused, receiveBuffer: l.ReceiveBuffer,
			}
			conn.setReceiveBuffer(l.ReceiveBuffer)
			l.Gate.note(conn, idle)
			return conn, nil
		}
		if l.Refuse != nil {
			l.Refuse(accepted)
		}
		_ = accepted.Close()
	}
}

// Conn is a caller's connection. The server does not read from it while a request runs, so
// a disconnect would go unnoticed and the request would occupy a slot at a target in vain.
// Watch reads during that time.
type Conn struct {
	net.Conn
	gate   *Gate
	limits func() Limits
	paused func(since time.Time) bool
	// receiveBuffer is Listener.ReceiveBuffer, widened: the connection's buffer is larger at the moment.
	receiveBuffer int
	widened       bool
	// place is what the gate knows of the connection. Its mutex guards it.
	place
	// dropped is closed when the gate closes the connection.
	dropped chan struct{}
	// awaitingRequest: an answer has been written, or nothing has been read yet, so that the next read
	// waits for a request. Only the server's goroutine uses it and the fields after it.
	awaitingRequest bool
	// phaseBegan is when the current phase of reading began, received what has arrived since the last
	// progress that the gate knows.
	phaseBegan time.Time
	received   int
	// lingering: the connection is closed only when the client has had time to read the answer.
	lingering bool

	mutex sync.Mutex
	// interrupted: the read under way, and later ones, end at once.
	interrupted bool
	// buffered holds the data that the watcher read: the beginning of the caller's next
	// request.
	buffered []byte
	// readErr is the error that ended the watcher's read.
	readErr error
	watcher chan struct{}
	// unwritten are called when the answers under way have been handed to the kernel.
	unwritten []func()
}

// Watch calls disconnected once, from another goroutine, if the caller closes or resets
// the connection before Unwatch is called.
func (c *Conn) Watch(disconnected func()) {
	done := make(chan struct{})
	c.watcher = done
	go func() {
		defer close(done)
		var one [1]byte
		n, err := c.Conn.Read(one[:])
		if n > 0 {
			c.mutex.Lock()
			c.buffered = append(c.buffered, one[:n]...)
			c.mutex.Unlock()
			return
		}
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		c.mutex.Lock()
		c.readErr = err
		c.mutex.Unlock()
		disconnected()
	}()
}

// pastDeadline is a read deadline in the past, which ends the watcher's read.
var pastDeadline = time.Unix(1, 0)

// Unwatch ends Watch. Afterwards the connection may be read again.
func (c *Conn) Unwatch() {
	if c.watcher == nil {
		return
	}
	_ = c.Conn.SetReadDeadline(pastDeadline)
	<-c.watcher
	c.watcher = nil
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// AfterAnswer calls do once the answer to the current request has been handed to the kernel, or the
// connection has been closed. The server writes an answer completely before it reads the next
// request.
func (c *Conn) AfterAnswer(do func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unwritten = append(c.unwritten, do)
}

// settleAnswers calls the functions of the answers that are no longer under way.
func (c *Conn) settleAnswers() {
	c.mutex.Lock()
	unwritten := c.unwritten
	c.unwritten = nil
	c.mutex.Unlock()
	for _, do := range unwritten {
		do()
	}
}

// BeginBody begins the phase in which the body of a request is read, until a deadline.
func (c *Conn) BeginBody(deadline time.Time) {
	c.awaitingRequest = false
	c.phaseBegan = time.Now()
	c.gate.note(c, receiving)
	c.setReadDeadline(deadline)
}

// WidenBuffer gives the kernel a larger buffer than usual for the client's bytes, until EndBody: on a long way a client
// sends one buffer in each round trip.
func (c *Conn) WidenBuffer(size int) {
	c.widened = true
	c.setReceiveBuffer(size)
}

// kernelShare is the part of a buffer that the kernel is asked for: it doubles the size, for its own use.
const kernelShare = 0.5

// setReceiveBuffer sets the size of the kernel's buffer; 0: the kernel chooses it. An error leaves the one before.
func (c *Conn) setReceiveBuffer(size int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && size > 0 {
		_ = tcp.SetReadBuffer(int(kernelShare * float64(size)))
	}
}

// EndBody ends the phase: a whole request has been read, or the rest of it is of no interest.
func (c *Conn) EndBody() {
	c.awaitingRequest = false
	if c.widened {
		c.widened = false
		c.setReceiveBuffer(c.receiveBuffer)
	}
	c.gate.note(c, running)
	c.setReadDeadline(time.Time{})
}

// Interrupt ends the reading of a body.
func (c *Conn) Interrupt() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// IsIdle reports whether no part of a request has arrived since the last answer. Only the server's goroutine may ask.
func (c *Conn) IsIdle() bool { return c.awaitingRequest }

// Abort closes the connection at once, whatever is under way on it.
func (c *Conn) Abort() { _ = c.Conn.Close() }

func (c *Conn) setReadDeadline(deadline time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.interrupted {
		_ = c.Conn.SetReadDeadline(deadline)
	}
}

// Dropped is closed if the connection has been closed to make room for others.
func (c *Conn) Dropped() <-chan struct{} { return c.dropped }

// Unread reports whether bytes have arrived that have not been read yet.
func (c *Conn) Unread() bool { return netconn.Readable(c.Conn) }

// Moved returns when the client last sent, or took, a substantial part of what is under way.
func (c *Conn) Moved() time.Time { return c.gate.movedAt(c) }

// Close closes the connection. If Linger was called, it first gives the client time to read the answer.
func (c *Conn) Close() error {
	c.settleAnswers()
	if c.lingering {
		c.linger()
	}
	c.gate.noteClosed(c)
	return c.Conn.Close()
}

// Read returns the data that the watcher has read before any other data.
func (c *Conn) Read(p []byte) (int, error) {
	c.settleAnswers()
	c.mutex.Lock()
	if len(c.buffered) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		c.mutex.Unlock()
		c.beginHead()
		return n, nil
	}
	readErr := c.readErr
	c.mutex.Unlock()
	if readErr != nil {
		return 0, readErr
	}
	if c.awaitingRequest {
		return c.awaitRequest(p)
	}
	n, err := c.readAcrossPauses(p, c.limitsInForce().Head)
	c.noteReceived(n)
	return n, err
}

func (c *Conn) limitsInForce() Limits {
	if c.limits == nil {
		return Limits{}
	}
	return c.limits()
}

// awaitRequest reads the first bytes of a request. Until they come the connection counts as idle.
func (c *Conn) awaitRequest(p []byte) (int, error) {
	limits := c.limitsInForce()
	c.gate.note(c, idle)
	c.phaseBegan = time.Now()
	c.limitReading(limits.Idle)
	n, err := c.readAcrossPauses(p, limits.Head)
	if n > 0 && !c.beginHead() {
		return 0, net.ErrClosed // it isn't handled: it could not be answered
	}
	return n, err
}

// beginHead begins the phase in which a request's head is read. It returns false if the connection has been
// closed to make room.
func (c *Conn) beginHead() bool {
	c.awaitingRequest = false
	c.phaseBegan, c.received = time.Now(), 0
	c.limitReading(c.limitsInForce().Head)
	return c.gate.note(c, receiving)
}

// limitReading bounds the phase that begins. Without a limit, the server's own stays in force.
func (c *Conn) limitReading(limit time.Duration) {
	if limit > 0 {
		c.setReadDeadline(c.phaseBegan.Add(limit))
	}
}

// readAcrossPauses reads. A deadline that has passed while this process was paused is no fault of the client,
// which then has as long as for a head.
func (c *Conn) readAcrossPauses(p []byte, limit time.Duration) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.paused == nil || !c.paused(c.phaseBegan) {
		return n, err
	}
	c.phaseBegan = time.Now()
	c.limitReading(limit)
	return c.Conn.Read(p)
}

func (c *Conn) noteReceived(n int) {
	if c.received += n; c.received >= progressBytes {
		c.received = 0
		c.gate.noteProgress(c)
	}
}

// Write fails if the caller does not read for writeTimeout, or takes a long answer more slowly than
// minWriteRate, unless the server sets all deadlines.
func (c *Conn) Write(p []byte) (int, error) {
	c.awaitingRequest = true
	c.gate.note(c, delivering)
	defer c.gate.note(c, running)
	latest := time.Now().Add(writeTimeout + time.Duration(len(p))*time.Second/minWriteRate)
	written := 0
	for {
		part := p[written:min(len(p), written+writeSize)]
		if c.limits != nil {
			_ = c.Conn.SetWriteDeadline(earlier(time.Now().Add(writeTimeout), latest))
		}
		n, err := c.Conn.Write(part)
		if written += n; err != nil || written == len(p) {
			return written, err
		}
		c.gate.noteProgress(c)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
