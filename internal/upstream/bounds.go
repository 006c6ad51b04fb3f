package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
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
)

// source reads from a connection. It fails with ErrTooLong after left bytes.
type source struct {
	conn net.Conn
	left int
}

func (s *source) Read(p []byte) (int, error) {
	if s.left == unbounded {
		return s.conn.Read(p)
	}
	if s.left == 0 {
		return 0, ErrTooLong
	}
	n, err := s.conn.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}

// readError wraps an error of reading an answer.
func readError(err error) error {
	var network net.Error
	var system syscall.Errno
	lost := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) || errors.As(err, &system)
	switch {
	case errors.Is(err, ErrBroken):
		return err
	case lost:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	default:
		return fmt.Errorf("%w: %w", ErrInvalidAnswer, err)
	}
}
