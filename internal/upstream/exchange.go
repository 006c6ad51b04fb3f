package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

const (
	// maxInlineBody is the size up to which a body is written before the answer is read. A
	// larger body may fill the socket buffers while the target answers without reading
	// it, so it is written in the background.
	maxInlineBody = 32 << 10
	// maxMismatches is the number of answers to other requests that are skipped before the
	// connection is closed.
	maxMismatches = 8
	// writeTimeout bounds the writing of a request with an inline body.
	writeTimeout = 2 * time.Second
)

// Answer is the head of a target's answer. Its body is read with Read.
type Answer struct {
	Status int
	Header http.Header
	// Length is the declared length of the body, or -1 if none is declared.
	Length int64
	// Framing determines where the body ends.
	Framing Framing

	conn     *Conn
	pool     *Pool
	exchange *Exchange
	response *http.Response
	keep     time.Duration
	finished bool
}

// Framing is how the end of an answer's body is determined; see RFC 9112, section 6.3.
type Framing string

const (
	// FramedByLength: the body has a declared length, or is empty by definition.
	FramedByLength Framing = "length"
	// FramedByChunks: the body ends with its last chunk.
	FramedByChunks Framing = "chunks"
	// FramedByClose: the body ends when the target closes the connection. Since the kernel
	// also closes the connections of a process that ends, the body counts as complete only
	// if the target still runs.
	FramedByClose Framing = "close"
)

func framingOf(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0:
		return FramedByLength
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	default:
		return FramedByClose
	}
}

// Exchange is one request to a target.
type Exchange struct {
	// ID is the request's id, Expires when the request is no longer sent to any target.
	ID      string
	Expires time.Time
	Method  string
	// Head is the request line and the headers, including the empty line. Body follows it.
	Head, Body []byte
	// Deadline is the time by which the answer has to be complete.
	Deadline time.Time
	// Matches reports whether an answer's head belongs to the request.
	Matches func(http.Header) bool
	// Identity is how the target says who it is, which is asked where the end of an answer shows nothing;
	// nil: it can't.
	Identity *Identity

	// Use is set by Send.
	Use Use
}

// Use describes the connection that carried an exchange.
type Use struct {
	// Connection is its number in the order in which the pool opened them, Age the time since then,
	// Earlier the number of requests that it had carried before.
	Connection int64
	Age        time.Duration
	Earlier    int
	// Skipped is the number of answers to other requests that were skipped, SkippedBytes the length of
	// their bodies.
	Skipped      int
	SkippedBytes int64
}

// Send writes the request and reads the head of its answer. If it fails, it closes the
// connection, and the error wraps ErrNotSent or ErrBroken.
func (p *Pool) Send(conn *Conn, x *Exchange) (*Answer, error) {
	x.Use = Use{Connection: conn.number, Age: time.Since(conn.opened), Earlier: conn.requests}
	conn.requests++
	conn.carried.add(x.ID, time.Now(), x.Expires)
	if err := conn.write(x); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetReadDeadline(x.Deadline)
	conn.source.requested = true
	for range maxMismatches + 1 {
		response, err := conn.readHead(x.Method)
		if err != nil {
			_ = conn.Close()
			return nil, conn.readError(err)
		}
		if x.Matches(response.Header) {
			framing := framingOf(response)
			conn.source.observed = framing == FramedByClose
			return &Answer{
				Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Framing: framing,
				conn: conn, pool: p, exchange: x, response: response, keep: p.keepAlive(response),
			}, nil
		}
		// This may be a late second answer to an earlier request, followed by the answer
		// to this one.
		x.Use.Skipped++
		p.skipped.Add(1)
		conn.source.left = maxSkipped
		skipped, err := io.CopyN(io.Discard, response.Body, maxSkipped-x.Use.SkippedBytes+1)
		x.Use.SkippedBytes += skipped
		if !errors.Is(err, io.EOF) || response.Close {
			break
		}
	}
	_ = conn.Close()
	return nil, ErrMismatch
}

func (c *Conn) write(x *Exchange) error {
	c.writing, c.writeErr = nil, nil
	if len(x.Body) > maxInlineBody {
		return c.writeInBackground(x)
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(append(x.Head, x.Body...))
	return writeError(n, err)
}

// writeInBackground writes the head, and starts a goroutine that writes the body.
func (c *Conn) writeInBackground(x *Exchange) error {
	_ = c.SetWriteDeadline(x.Deadline)
	if n, err := c.Conn.Write(x.Head); err != nil {
		return writeError(n, err)
	}
	c.writing = make(chan struct{})
	go func() {
		defer close(c.writing)
		_, c.writeErr = c.Conn.Write(x.Body)
	}()
	return nil
}

// written reports whether the complete request has been written.
func (c *Conn) written() bool {
	if c.writing == nil {
		return true
	}
	select {
	case <-c.writing:
		return c.writeErr == nil
	default:
		return false
	}
}

// writeReset ends the writing of the request's body, and reports whether it failed with a reset of
// the connection. The kernel reports a reset once: if the write got the report, a read sees a
// regular end. A reset that follows a regular end is reported as EPIPE.
func (c *Conn) writeReset() bool {
	if c.writing == nil {
		return false
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	<-c.writing
	return errors.Is(c.writeErr, syscall.ECONNRESET)
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

// Read reads the body. io.EOF means that the body is complete according to its framing. It must not be
// called after Close.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		if err := a.checkEnd(); err != nil {
			return n, err
		}
		a.finished = true
		return n, io.EOF
	default:
		return n, a.conn.readError(err)
	}
}

// LimitWire bounds the bytes that are read from the connection for the rest of the answer. What has been
// buffered with the head isn't counted.
func (a *Answer) LimitWire(bytes int) { a.conn.source.left = bytes }

// Drain reads a body that is of no interest, so that Close can keep the connection. It gives up
// beyond a number of bytes and after a time.
func (a *Answer) Drain(limit int64, within time.Duration) {
	_ = a.conn.SetReadDeadline(time.Now().Add(within))
	_, _ = io.CopyN(io.Discard, a, limit)
}

// checkEnd returns an error if the trailers are invalid, or if the body ends with the connection and the
// target may have been interrupted: its connection was reset, or its process has ended.
func (a *Answer) checkEnd() error {
	switch {
	case a.Framing != FramedByClose || a.finished:
		return checkTrailers(a.response.Trailer)
	case a.conn.writeReset():
		return fmt.Errorf("%w: reset while the request was written", ErrBroken)
	case !a.pool.alive(a.conn.address):
		return errEnded
	case a.conn.source.isRecent(a.pool.options.Paused):
		return nil
	default:
		return a.pool.identify(a.conn.address, a.exchange)
	}
}

// Close returns the connection to the pool if the answer was read to its end and nothing
// follows it. Otherwise it closes the connection, which signals a target that is still
// processing the request to stop. It reports whether the connection is kept.
func (a *Answer) Close() (kept bool) {
	if a.conn == nil {
		return false
	}
	conn := a.conn
	conn.source.left = unbounded
	a.conn = nil
	if a.finished && a.keep > 0 && conn.reader.Buffered() == 0 && conn.written() && !conn.carried.full(time.Now()) {
		conn.keep = a.keep
		conn.shrinkBuffer()
		return a.pool.put(conn)
	}
	_ = conn.Close()
	return false
}
