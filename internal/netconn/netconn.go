// Package netconn opens TCP connections that notice a peer that is gone. An
// instance without power or behind a partition answers nothing, and an open
// connection can fall silent for good; without these options a write or a read on
// it would hang for minutes.
package netconn

import (
	"net"
	"syscall"
	"time"
)

// Options bounds how long a dead peer goes unnoticed.
type Options struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// Unacknowledged bounds how long sent bytes may stay unacknowledged.
	Unacknowledged time.Duration
	// ProbeAfter is the silence after which the peer's kernel is probed, ProbeEvery
	// the time between probes; after probes unanswered ones the connection is dead.
	ProbeAfter, ProbeEvery time.Duration
}

const (
	probes = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
	tcpUserTimeout = 0x12
)

// Dialer forms a dialer with the options.
func (o Options) Dialer() *net.Dialer {
	return &net.Dialer{Timeout: o.Connect, KeepAliveConfig: o.keepAlive(), Control: o.control}
}

// ListenConfig forms a listener configuration whose connections have the options.
func (o Options) ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: o.keepAlive(), Control: o.control}
}

func (o Options) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: o.ProbeAfter, Interval: o.ProbeEvery, Count: probes}
}

// control sets the user timeout; accepted connections inherit it.
func (o Options) control(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(o.Unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// Stale reports whether the peer of an idle connection has closed it, or has sent
// what nobody asked for.
func Stale(conn net.Conn) bool {
	_, err := peek(conn)
	return err != syscall.EAGAIN
}

// Closed reports whether the peer has closed the connection; what it has sent before
// that counts as open. Unlike a read it takes no notice of deadlines.
func Closed(conn net.Conn) bool {
	n, err := peek(conn)
	return n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
}

// peek looks at whether there is something to read, without taking it or waiting:
// EAGAIN if there is nothing, also of connections of which that cannot be seen.
func peek(conn net.Conn) (n int, err error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var seen error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, seen = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, seen
}
