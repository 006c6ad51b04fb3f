package targets

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"sycamoretrail/internal/answerhead"
	"sycamoretrail/internal/netconn"

	"github.com/valyala/fasthttp"
)

// errNothingSent is wrapped by errors after which the target has certainly received no
// byte of the request: it was not dispatched, and may be sent to another target.
var errNothingSent = errors.New("nothing was sent")

// errStale is returned if the target had closed a kept-alive connection.
var errStale = fmt.Errorf("%w: the target closed the kept connection", errNothingSent)

// errIdle is returned if a target sends no data for too long within an answer.
var errIdle = errors.New("the target fell silent in mid-answer")

// guardedConn is a connection to a target that detects whether any part of a request has
// been sent. Writing to a kept-alive connection that the target has closed would succeed
// and the request would fail: its outcome would be unknown to the caller, although a fresh
// connection would have worked. So the connection is checked before the first byte of each
// request. Once a byte has been sent, no error of this type wraps errNothingSent, so that
// the request is not dispatched a second time.
type guardedConn struct {
	net.Conn
	// writing is set once the first byte of the current request has been written.
	writing bool
	// idle bounds the time without data after the first byte of an answer; 0 means no
	// bound.
	idle time.Duration
	// answering is set once a byte of the current answer has been read.
	answering bool
	// deadline is the request's own read deadline in Unix nanoseconds; 0 means none.
	deadline atomic.Int64
}

func (c *guardedConn) Write(p []byte) (int, error) {
	if c.writing {
		return c.Conn.Write(p)
	}
	if netconn.Stale(c.Conn) {
		return 0, errStale
	}
	// Clears the idle deadline of the previous answer on this connection.
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
	idleEndsFirst := c.setIdleDeadline()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.writing = false
		c.answering = true
	}
	if idleEndsFirst && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, errIdle
	}
	return n, err
}

// setIdleDeadline sets the read deadline to the request's deadline or to the end of the idle
// time, whichever is earlier. It reports whether the idle time ends first.
func (c *guardedConn) setIdleDeadline() bool {
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

// newClient returns the client of one target address. By default a fasthttp client sends
// an idempotent request again when the connection breaks. That would be a second dispatch
// without a decision of the core, so all retries are disabled.
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
		Dial: answerhead.Checked(func(addr string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", addr, cfg.DialTimeout)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", errNothingSent, err)
			}
			return &guardedConn{Conn: conn, idle: idle}, nil
		}),
	}
}

const clientBufferBytes = 4 << 10

// nothingSent reports whether the target has certainly received no byte of the request.
func nothingSent(err error) bool {
	return errors.Is(err, errNothingSent) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// accepts reports whether a target accepts connections. The kernel closes the connections of a
// process that has ended like any others, so an answer without a declared length is known to be
// complete only if its target still runs.
func (t *Targets) accepts(address string) bool {
	conn, err := net.DialTimeout("tcp", address, t.cfg.DialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
