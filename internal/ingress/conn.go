// Package ingress accepts callers' connections and tells when a caller leaves
// while its request is still running.
package ingress

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// writeTimeout bounds one write to a caller that does not read; what has not been
// read holds memory here and a place at a target.
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

// Conn is a caller's connection. While a request runs nobody reads from it, so a
// caller's leaving would go unnoticed and its request would hold a place at a
// target for nothing; Watch reads in the meantime.
type Conn struct {
	net.Conn
	mutex sync.Mutex
	// early is what the watcher read: the beginning of the caller's next request.
	early []byte
	// ended is what the watcher's read ended with.
	ended   error
	watcher chan struct{}
}

// Watch calls gone once, from another goroutine, if the caller closes or resets
// the connection before Unwatch.
func (c *Conn) Watch(gone func()) {
	done := make(chan struct{})
	c.watcher = done
	go func() {
		defer close(done)
		var one [1]byte
		n, err := c.Conn.Read(one[:])
		if n > 0 {
			c.mutex.Lock()
			c.early = append(c.early, one[:n]...)
			c.mutex.Unlock()
			return
		}
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		c.mutex.Lock()
		c.ended = err
		c.mutex.Unlock()
		gone()
	}()
}

// longAgo is a read deadline that has passed, which ends the watcher's read.
var longAgo = time.Unix(1, 0)

// Unwatch ends Watch; afterwards the connection may be read again.
func (c *Conn) Unwatch() {
	if c.watcher == nil {
		return
	}
	_ = c.Conn.SetReadDeadline(longAgo)
	<-c.watcher
	c.watcher = nil
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// Read returns what the watcher read first.
func (c *Conn) Read(p []byte) (int, error) {
	c.mutex.Lock()
	if len(c.early) > 0 {
		n := copy(p, c.early)
		c.early = c.early[n:]
		c.mutex.Unlock()
		return n, nil
	}
	ended := c.ended
	c.mutex.Unlock()
	if ended != nil {
		return 0, ended
	}
	return c.Conn.Read(p)
}

// Write gives up on a caller that reads nothing for too long.
func (c *Conn) Write(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}
