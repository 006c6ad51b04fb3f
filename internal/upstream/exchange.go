package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// inlineBody is the longest body that is written before the answer is read. A
	// longer one may fill the connection's windows while the target answers without
	// having read it, so it is written beside.
	inlineBody = 32 << 10
	// maxForeign is the number of answers to other requests that are passed over on
	// one connection before it is given up.
	maxForeign = 2
	// writeTimeout bounds the writing of an inline request.
	writeTimeout = 2 * time.Second
)

// Answer is the head of a target's answer; its body is read with Read.
type Answer struct {
	Status int
	Header http.Header
	// Length is the declared length of the body, -1 where there is none.
	Length int64

	conn     *Conn
	pool     *Pool
	body     io.ReadCloser
	keep     time.Duration
	finished bool
}

// Exchange is one request to a target.
type Exchange struct {
	Method string
	// Head is the request line and the headers with the empty line, Body what follows.
	Head, Body []byte
	// Deadline is when the answer has to be whole.
	Deadline time.Time
	// Matches reports whether an answer's head belongs to the request.
	Matches func(http.Header) bool
}

// Send writes the request and reads the head of its answer. Errors wrap ErrNotSent
// or ErrBroken, and the connection is closed.
func (p *Pool) Send(conn *Conn, x *Exchange) (*Answer, error) {
	if err := conn.write(x); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetReadDeadline(x.Deadline)
	for range maxForeign + 1 {
		response, err := readHead(conn.reader, x.Method)
		if err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if x.Matches(response.Header) {
			return &Answer{
				Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
				conn: conn, pool: p, body: response.Body, keep: p.keepAlive(response),
			}, nil
		}
		// A second answer to an earlier request, come late: the next one may be ours.
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			break
		}
	}
	_ = conn.Close()
	return nil, ErrForeign
}

// readHead reads the head of a final answer.
func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func (c *Conn) write(x *Exchange) error {
	c.writing, c.failed = nil, nil
	if len(x.Body) > inlineBody {
		return c.writeBeside(x)
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(append(x.Head, x.Body...))
	return writeError(n, err)
}

// writeBeside writes the head, and the body in a goroutine of its own.
func (c *Conn) writeBeside(x *Exchange) error {
	_ = c.SetWriteDeadline(x.Deadline)
	if n, err := c.Conn.Write(x.Head); err != nil {
		return writeError(n, err)
	}
	c.writing = make(chan struct{})
	go func() {
		defer close(c.writing)
		_, c.failed = c.Conn.Write(x.Body)
	}()
	return nil
}

// written reports whether the whole request has been written.
func (c *Conn) written() bool {
	if c.writing == nil {
		return true
	}
	select {
	case <-c.writing:
		return c.failed == nil
	default:
		return false
	}
}

func writeError(n int, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
}

// Read reads the body. io.EOF says that it is whole, as far as its framing tells.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.finished = true
		return n, io.EOF
	default:
		return n, fmt.Errorf("%w: %w", ErrBroken, err)
	}
}

// Close keeps the connection where the answer was read to its end and nothing
// follows it; otherwise it closes the connection, by which a target that is still
// at work is told to stop.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	conn := a.conn
	a.conn = nil
	if a.finished && a.keep > 0 && conn.reader.Buffered() == 0 && conn.written() {
		conn.keep = a.keep
		a.pool.put(conn)
		return
	}
	_ = conn.Close()
}
