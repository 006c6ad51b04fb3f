package logclient

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that a client of the platform sent and received,
// HTTP headers included, TCP and IP headers not.
type Traffic struct{ sent, received atomic.Int64 }

// Sent and Received read the counters.
func (t *Traffic) Sent() int64     { return t.sent.Load() }
func (t *Traffic) Received() int64 { return t.received.Load() }

// meteredConn is a connection whose bytes are counted.
type meteredConn struct {
	net.Conn
	traffic *Traffic
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}
