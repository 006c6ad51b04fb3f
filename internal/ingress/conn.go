// Package ingress accepts callers' connections and detects when a caller disconnects
// while its request is still running.
package ingress

import (
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
type Listener struct{ net.Listener }

// Accept returns the next connection, as a *Conn.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

// Conn is a caller's connection. The server does not read from it while a request runs, so
// a disconnect would go unnoticed and the request would occupy a slot at a target in vain.
// Watch reads during that time.
type Conn struct {
	net.Conn
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
		return n, nil
	}
	readErr := c.readErr
	c.mutex.Unlock()
	if readErr != nil {
		return 0, readErr
	}
	return c.Conn.Read(p)
}

// Write fails if the caller does not read for writeTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}
