package logclient

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that a client of the platform sent and received,
// including HTTP headers but not TCP and IP headers.
type Traffic struct{ sent, received atomic.Int64 }

// Sent and Received return the counters.
func (t *Traffic) Sent() int64     { return t.sent.Load() }
func (t *Traffic) Received() int64 { return t.received.Load() }

// meteredConn is a connection that counts its bytes.
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
