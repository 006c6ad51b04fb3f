package upstream

import (
	"errors"
	"fmt"
	"net"
)

const (
	// maxHead bounds the bytes of the head of an answer, with the informational heads before it.
	maxHead = 64 << 10
	// maxSkipped bounds the bodies of the answers to other requests that are skipped, in all.
	maxSkipped = 8 << 20
	// unbounded means that a source may bring any number of bytes.
	unbounded = -1
)

var (
	// ErrInvalidAnswer is wrapped by errors of answers that violate the protocol. Unlike a lost
	// connection they don't suggest that the target has crashed.
	ErrInvalidAnswer = fmt.Errorf("%w: invalid answer", ErrBroken)
	// ErrTooLong is wrapped by errors of answers that exceed a bound on their bytes.
	ErrTooLong = fmt.Errorf("%w: too many bytes", ErrInvalidAnswer)
	// ErrHeadTooLong is wrapped by errors of answers whose head exceeds its bound.
	ErrHeadTooLong = fmt.Errorf("%w in the head", ErrTooLong)
)

// source reads from a connection. It fails with ErrTooLong after left bytes.
type source struct {
	conn net.Conn
	left int
	// ended: a read has failed, as it does when the connection is lost.
	ended bool
	// requested: a request has been written, and nothing read since. observed: it matters when the end of
	// the answer arrives.
	requested, observed bool
	wait                wait
}

func (s *source) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, ErrTooLong
	}
	if s.left != unbounded {
		p = p[:min(len(p), s.left)]
	}
	n, err := s.wait.read(s.conn, p, s.isEmpty())
	s.requested = false
	if s.left != unbounded {
		s.left -= n
	}
	s.ended = s.ended || err != nil
	return n, err
}

// readError wraps an error of reading an answer. An answer that a lost connection cuts in the middle of a
// line can't be told from a malformed one, so it counts as lost.
func (c *Conn) readError(err error) error {
	switch {
	case errors.Is(err, ErrBroken):
		return err
	case c.source.ended:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	default:
		return fmt.Errorf("%w: %w", ErrInvalidAnswer, err)
	}
}
