package targets

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"sycamoretrail/internal/netconn"

	"github.com/valyala/fasthttp"
)

// errNothingSent is wrapped by errors after which the target provably has no
// byte of the request: it was not dispatched, and may be sent elsewhere.
var errNothingSent = errors.New("nothing was sent")

// errStale says that the target had closed a kept connection.
var errStale = fmt.Errorf("%w: the target closed the kept connection", errNothingSent)

// errIdle says that a target sent nothing for too long in mid-answer.
var errIdle = errors.New("the target fell silent in mid-answer")

// guardedConn is a connection to a target that knows when nothing of a request
// has been sent. A kept-alive connection that the target has closed meanwhile
// would take the request and fail: the caller would see a failure of unknown
// extent, although a fresh connection had worked. So a connection is looked at
// before the first byte of each request. Once a byte has left, no error of this
// type wraps errNothingSent, so that no second dispatch can follow.
type guardedConn struct {
	net.Conn
	// writing: the first byte of the present request has been handed over.
	writing bool
	// idle bounds the silence after the first byte of an answer; 0: no bound.
	idle time.Duration
	// answering: a byte of the present answer has been read.
	answering bool
	// deadline is the request's own read deadline in Unix ns; 0: none.
	deadline atomic.Int64
}

func (c *guardedConn) Write(p []byte) (int, error) {
	if c.writing {
		return c.Conn.Write(p)
	}
	if netconn.Stale(c.Conn) {
		return 0, errStale
	}
	// The silence allowed in the last answer on this connection is over.
	_ = c.SetReadDeadline(time.Time{})
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		return 0, fmt.Errorf("%w: %w", errNothingSent, err)
	}
	c.writing = true
	c.answering = false
	return n, err
}

func (c *guardedConn) Read(p []byte) (int, error) {
	idleFirst := c.limitSilence()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.writing = false
		c.answering = true
	}
	if idleFirst && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, errIdle
	}
	return n, err
}

// limitSilence sets the earlier of the request's deadline and the end of the
// silence allowed; it reports whether the latter comes first.
func (c *guardedConn) limitSilence() bool {
	if c.idle == 0 || !c.answering {
		return false
	}
	limit := time.Now().Add(c.idle)
	deadline := c.deadline.Load()
	if deadline != 0 && deadline <= limit.UnixNano() {
		_ = c.Conn.SetReadDeadline(time.Unix(0, deadline))
		return false
	}
	_ = c.Conn.SetReadDeadline(limit)
	return true
}

func (c *guardedConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.deadline.Store(0)
	} else {
		c.deadline.Store(t.UnixNano())
	}
	return c.Conn.SetReadDeadline(t)
}

// newClient forms the client of one target address. A fasthttp client sends an
// idempotent request again by itself when the connection breaks; that would be
// a second dispatch behind the core's back, so every kind of retry is off.
func newClient(address string, cfg Config, idle time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		NoDefaultUserAgentHeader:  true,
		MaxConns:                  cfg.MaxRuns + cfg.ControlWorkers,
		MaxIdleConnDuration:       cfg.KeepAlive,
		ReadBufferSize:            clientBufferBytes,
		WriteBufferSize:           clientBufferBytes,
		DisablePathNormalizing:    true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", addr, cfg.DialTimeout)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", errNothingSent, err)
			}
			return &guardedConn{Conn: conn, idle: idle}, nil
		},
	}
}

const clientBufferBytes = 4 << 10

// nothingSent reports whether the target provably has no byte of the request.
func nothingSent(err error) bool {
	return errors.Is(err, errNothingSent) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
