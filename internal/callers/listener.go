package callers

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/outcome"
)

// limitedListener refuses connections beyond the document's limit. Without it
// many idle connections would take the memory that running answers need.
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

// connectionRefusal is a whole HTTP answer; nothing of the request was read.
func connectionRefusal() []byte {
	body := refusalBody("", outcome.Refused(outcome.ReasonEntryFull, notReadyRetry, "this entry has limits.connections open"))
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		fasthttp.StatusServiceUnavailable, fasthttp.StatusMessage(fasthttp.StatusServiceUnavailable), jsonType, len(body), body)
}

// countedConn gives its place back when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// NetConn is the connection itself, for looking at its socket.
func (c *countedConn) NetConn() net.Conn { return c.Conn }
