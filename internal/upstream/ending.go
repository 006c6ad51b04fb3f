package upstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"sycamoretrail/internal/netconn"
)

const (
	// maxUnobserved is how long ago the end of an answer may have arrived if whoever accepts connections at
	// the target's address is still taken for the target: addresses are assigned again after seconds.
	maxUnobserved = 500 * time.Millisecond
	// maxIdentify bounds the time in which a target has to say who it is.
	maxIdentify = time.Second
)

// Identity tells a target from another process at its address.
type Identity struct {
	// Head returns a GET request that each target answers with its name.
	Head func() []byte
	// Confirms reports whether an answer to it names the target.
	Confirms func(http.Header) bool
}

var errEnded = fmt.Errorf("%w: the target ended with its answer", ErrBroken)

// identify returns an error unless the process at an address is the one that an exchange was meant for.
func (p *Pool) identify(address string, x *Exchange) error {
	if x.Identity == nil {
		return errEnded
	}
	conn, err := p.open(address)
	if err != nil {
		return errEnded
	}
	deadline := time.Now().Add(maxIdentify)
	if x.Deadline.Before(deadline) {
		deadline = x.Deadline
	}
	answer, err := p.Send(conn, &Exchange{
		Method: http.MethodGet, Head: x.Identity.Head(), Deadline: deadline,
		Matches: func(http.Header) bool { return true },
	})
	if err != nil {
		return errors.Join(errEnded, err)
	}
	defer answer.Close()
	if !x.Identity.Confirms(answer.Header) {
		return errEnded
	}
	if answer.Framing != FramedByClose {
		answer.Drain(maxSkipped, time.Until(deadline))
	}
	return nil
}

// wait is the last time for which a connection had nothing to read. What is read after it arrived after its
// begin, and not before its end unless the process was paused.
type wait struct{ begin, end time.Time }

// read reads from a connection. empty: nothing is unread.
func (w *wait) read(conn net.Conn, p []byte, empty bool) (int, error) {
	if !empty {
		return conn.Read(p)
	}
	w.begin = time.Now()
	n, err := conn.Read(p)
	w.end = time.Now()
	return n, err
}

// isEmpty reports whether a read would wait.
func (s *source) isEmpty() bool {
	return s.requested || s.observed && !netconn.Readable(s.conn)
}

// isRecent reports whether what was read last has just arrived.
func (s *source) isRecent(paused func(since time.Time) bool) bool {
	return time.Since(s.wait.end) < maxUnobserved && (paused == nil || !paused(s.wait.begin))
}
