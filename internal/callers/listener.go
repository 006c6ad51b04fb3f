package callers

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/outcome"
)

// limitedListener refuses connections beyond the document's limit. Without a limit
// many idle connections would take the memory that answers in progress need.
type limitedListener struct {
	net.Listener
	server *Server
	open   atomic.Int64
}

// refuseTimeout bounds the refusal of one connection.
const refuseTimeout = 100 * time.Millisecond

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= int64(l.server.limits().Connections) {
			return &countedConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		_ = conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = conn.Write(connectionRefusal())
		_ = conn.Close()
	}
}

// connectionRefusal returns a complete HTTP response. It is sent without reading
// the request.
func connectionRefusal() []byte {
	body := refusalBody("", outcome.Refused(outcome.ReasonEntryFull, notReadyRetry, "this entry has limits.connections open"))
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		fasthttp.StatusServiceUnavailable, fasthttp.StatusMessage(fasthttp.StatusServiceUnavailable), jsonType, len(body), body)
}

// countedConn releases its slot of the connection limit when it is closed.
type countedConn struct {
	net.Conn
	open      *atomic.Int64
	once      sync.Once
	lingering atomic.Bool
	// answerPending is set until the answer to the current request has been sent.
	answerPending atomic.Bool
}

const (
	// lingerTimeout and lingerBytes bound the reading after a refusal.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 4 << 20
)

// linger makes the connection's Close discard what the caller still sends. Closing a
// socket with unread bytes resets the connection, and a caller that is still sending
// an oversize body would see the reset instead of the refusal.
func linger(conn net.Conn) {
	if c, ok := conn.(*countedConn); ok {
		c.lingering.Store(true)
	}
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.open.Add(-1)
		if c.lingering.Load() {
			c.drain()
		}
	})
	return c.Conn.Close()
}

func (c *countedConn) drain() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
}

// NetConn returns the underlying connection, for checks of its socket.
func (c *countedConn) NetConn() net.Conn { return c.Conn }
