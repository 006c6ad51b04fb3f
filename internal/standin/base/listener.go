package base

import (
	"net"
	"sync"

	"sycamoretrail/internal/ingress"
)

// trackedListener tracks its connections, so that a crash can close them.
type trackedListener struct {
	net.Listener
	mu     sync.Mutex
	closed bool
	conns  map[*trackedConn]struct{}
}

type trackedConn struct {
	net.Conn
	listener *trackedListener
}

func listen(address string) (*trackedListener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &trackedListener{Listener: &ingress.RetryingListener{Listener: inner}, conns: make(map[*trackedConn]struct{})}, nil
}

// Accept implements net.Listener. It closes a connection that arrives during a
// crash, which would otherwise remain open after the crash.
func (l *trackedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = inner.Close()
		return nil, net.ErrClosed
	}
	l.conns[conn] = struct{}{}
	return conn, nil
}

// Close stops accepting connections and closes the open ones.
func (l *trackedListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	err := l.Listener.Close()
	for conn := range l.conns {
		_ = conn.Conn.Close()
	}
	clear(l.conns)
	return err
}

func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func closeConn(conn net.Conn) { _ = conn.Close() }
