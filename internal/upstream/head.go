package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"sycamoretrail/internal/answerhead"
)

// readHead reads the head of the final answer and skips informational ones (status 1xx).
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.source.left = maxHead
	defer func() { c.source.left = unbounded }()
	for {
		if err := c.bufferHead(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// bufferHead reads until the buffer begins with a whole head. It returns an error if the head is one that
// the HTTP library would accept although it violates the protocol.
func (c *Conn) bufferHead() error {
	c.checker = answerhead.Checker{}
	for checked := 0; ; {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		n, err := c.checker.Check(buffered[checked:])
		if err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidAnswer, err)
		}
		if c.checker.Ended() {
			return nil
		}
		checked += n
		if checked == c.reader.Size() {
			c.growBuffer(buffered)
		}
		if _, err := c.reader.Peek(checked + 1); err != nil {
			return headError(err)
		}
	}
}

// headError returns the error for a head that could not be read to its end.
func headError(err error) error {
	switch {
	case errors.Is(err, ErrTooLong):
		return ErrHeadTooLong
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

// growBuffer gives the connection a larger buffer with the same content.
func (c *Conn) growBuffer(content []byte) {
	content = bytes.Clone(content)
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(content), c.source), 2*len(content))
	_, _ = c.reader.Peek(len(content))
}

// shrinkBuffer gives a connection whose buffer is empty one of the usual size.
func (c *Conn) shrinkBuffer() {
	if c.reader.Size() > readBuffer {
		c.reader = bufio.NewReaderSize(c.source, readBuffer)
	}
}

// checkTrailers returns an error if the fields after the body violate the protocol in a way that the HTTP
// library accepts.
func checkTrailers(trailers http.Header) error {
	for name := range trailers {
		if !answerhead.IsToken(name) {
			return fmt.Errorf("%w: trailer %.64q", ErrInvalidAnswer, name)
		}
	}
	return nil
}
