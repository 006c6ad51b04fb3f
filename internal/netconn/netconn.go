// Package netconn configures TCP connections to detect a lost peer. An instance without
// power or behind a network partition sends nothing, not even a reset; without these
// options a write or a read on its connections would block for minutes.
package netconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options bounds the time until a lost peer is detected.
type Options struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// Unacknowledged bounds how long sent bytes may stay unacknowledged.
	Unacknowledged time.Duration
	// Source is the local address of outgoing connections; nil: the kernel chooses it.
	Source net.IP
	// ProbeAfter is the idle time after which keep-alive probes are sent to the peer's
	// kernel, ProbeEvery the time between probes. The kernel closes the connection when a
	// probe is due and nothing has been received for Unacknowledged; that is set, so it
	// ignores the number of probes.
	ProbeAfter, ProbeEvery time.Duration
}

const (
	maxProbes = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
	tcpUserTimeout = 0x12
)

// Dialer returns a dialer with the options.
func (o Options) Dialer() *net.Dialer {
	dialer := &net.Dialer{Timeout: o.Connect, KeepAliveConfig: o.keepAlive(), Control: o.control}
	if o.Source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: o.Source}
	}
	return dialer
}

// Dial opens a TCP connection.
func (o Options) Dial(address string) (net.Conn, error) { return o.Dialer().Dial("tcp", address) }

// ListenConfig returns a listener configuration whose connections have the options.
func (o Options) ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: o.keepAlive(), Control: o.control}
}

func (o Options) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: o.ProbeAfter, Interval: o.ProbeEvery, Count: maxProbes}
}

// control sets TCP_USER_TIMEOUT on a socket. Accepted connections inherit it.
func (o Options) control(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(o.Unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// Stale reports whether the peer of an idle connection has closed it or has sent
// unsolicited data.
func Stale(conn net.Conn) bool {
	_, err := peek(conn)
	return err != syscall.EAGAIN
}

// Closed reports whether the peer has closed the connection. While data sent before the
// close is unread, the connection counts as open. Unlike a read, Closed ignores deadlines.
func Closed(conn net.Conn) bool {
	n, err := peek(conn)
	return n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
}

// Readable reports whether a read would return at once: with data, the end or an error. Unlike Stale it
// leaves an error to the next call on the connection, as the kernel reports a reset once. It returns false
// if the connection does not give access to its socket.
func Readable(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	var ready int
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		pollErr = unix.EINTR
		for pollErr == unix.EINTR {
			ready, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}, 0)
		}
	})
	return err != nil || pollErr != nil || ready > 0
}

// peek checks for unread data, without consuming it and without blocking. It returns
// EAGAIN if there is none, or if the connection does not give access to its socket.
func peek(conn net.Conn) (n int, err error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}
