package callers

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/ingress"
)

// limitedListener refuses connections beyond the document's limit. Without a limit
// many idle connections would take the memory that answers in progress need.
type limitedListener struct{ ingress.Listener }

func (s *Server) newLimitedListener(ln net.Listener) limitedListener {
	gate := ingress.NewChangingGate(func() int { return s.limits().Connections })
	return limitedListener{ingress.Listener{Listener: ln, Gate: gate, Refuse: refuseConnection}}
}

// Accept returns the next connection, as a *countedConn.
func (l limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted, _ := conn.(*ingress.Conn)
	return &countedConn{Conn: accepted}, nil
}

// refuseTimeout bounds the refusal of one connection.
const refuseTimeout = 100 * time.Millisecond

func refuseConnection(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = conn.Write(connectionRefusal())
}

// connectionRefusal returns a complete HTTP response. It is sent without reading
// the request.
func connectionRefusal() []byte {
	body := refusalBody("", outcome.Refused(outcome.ReasonEntryFull, notReadyRetry, "this entry has limits.connections open"))
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		fasthttp.StatusServiceUnavailable, fasthttp.StatusMessage(fasthttp.StatusServiceUnavailable), jsonType, len(body), body)
}

// countedConn is a caller's connection whose answers are counted while they are pending.
type countedConn struct {
	*ingress.Conn
	// answerPending is set until the answer to the current request has been sent.
	answerPending atomic.Bool
}

// NetConn returns the underlying connection, for checks of its socket.
func (c *countedConn) NetConn() net.Conn { return c.Conn.Conn }

// linger makes the connection's Close discard what the caller still sends. Closing a
// socket with unread bytes resets the connection, and a caller that is still sending
// an oversize body would see the reset instead of the refusal.
func linger(conn net.Conn) {
	if c, ok := conn.(*countedConn); ok {
		c.Linger()
	}
}
