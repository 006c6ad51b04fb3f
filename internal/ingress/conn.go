// Package ingress accepts callers' connections, bounds those of several listeners together, and
// detects when a caller disconnects while its request is still running.
package ingress

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// writeTimeout bounds one write to a caller that does not read. Unread data occupies
// memory at this entry and a slot at a target.
const writeTimeout = 5 * time.Second

// Listener wraps the connections that it accepts in Conn.
type Listener struct {
	net.Listener
	// Gate bounds the connections; nil: they are not bounded.
	Gate *Gate
}

// Accept returns the next connection, as a *Conn. It closes those for which the gate has no room.
func (l Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.Gate == nil {
			return &Conn{Conn: accepted}, nil
		}
		if l.Gate.admit() {
			conn := &Conn{Conn: accepted, gate: l.Gate, counted: true, awaitingRequest: true}
			l.Gate.noteIdle(conn)
			return conn, nil
		}
		_ = accepted.Close()
	}
}

// Conn is a caller's connection. The server does not read from it while a request runs, so
// a disconnect would go unnoticed and the request would occupy a slot at a target in vain.
// Watch reads during that time.
type Conn struct {
	net.Conn
	// gate is nil if the connection is not counted. Its mutex guards idle and counted.
	gate    *Gate
	idle    *list.Element
	counted bool
	// awaitingRequest: an answer has been written, or nothing has been read yet, so that the next read
	// waits for a request. Only the server's goroutine uses it.
	awaitingRequest bool

	mutex sync.Mutex
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

// Close closes the connection.
func (c *Conn) Close() error {
	defer c.settleAnswers()
	if c.gate != nil {
		c.gate.noteClosed(c)
	}
	return c.Conn.Close()
}

// Read returns the data that the watcher has read before any other data.
func (c *Conn) Read(p []byte) (int, error) {
	c.settleAnswers()
	c.mutex.Lock()
	if len(c.buffered) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		c.awaitingRequest = false
		c.mutex.Unlock()
		return n, nil
	}
	readErr := c.readErr
	c.mutex.Unlock()
	if readErr != nil {
		return 0, readErr
	}
	return c.awaitData(p)
}

// awaitData reads from the connection, which counts as idle while no request has begun.
func (c *Conn) awaitData(p []byte) (int, error) {
	if c.gate == nil || !c.awaitingRequest {
		return c.Conn.Read(p)
	}
	c.gate.noteIdle(c)
	n, err := c.Conn.Read(p)
	if !c.gate.noteBusy(c) {
		return 0, net.ErrClosed // what has arrived meanwhile isn't handled: it could not be answered
	}
	c.awaitingRequest = n == 0
	return n, err
}

// Write fails if the caller does not read for writeTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.awaitingRequest = true
	return c.Conn.Write(p)
}
