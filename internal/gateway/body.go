package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"sycamoretrail/internal/core/memory"
)

// The body of a request is read after its head has been checked, into memory that is reserved for it.

const (
	// firstBodyBytes is the size at which a body without a length begins to grow.
	firstBodyBytes = 4 << 10
	// growthShare is the part of the account that the longest body may use, besides its buffer: while one without a
	// length grows, it is held one and a half times.
	growthShare = 2.0 / 3
	// freeHeadBytes is the size up to which a head is part of what each connection costs. Longer ones count in
	// the account: the HTTP library keeps headCopies of it, and a record of headerCost for each header.
	freeHeadBytes = 4 << 10
	headCopies    = 4
	headerCost    = 96
	// keptHeadBytes is the size of heads from which on the connection is closed with the answer: the library
	// keeps the memory of a connection's longest head while it is open.
	keptHeadBytes = 8 << 10
	// maxDroppedBytes bounds the rest of a refused request that is read to keep the connection.
	maxDroppedBytes = 64 << 10
)

// bodyLimit returns the length of the longest body that is accepted.
func (c *call) bodyLimit() int {
	limit := c.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	return min(limit, int(growthShare*float64(c.gateway.held.largest()-wideBuffer)))
}

// checkSize refuses a request whose head is too long, or announces a body that is.
func (c *call) checkSize() *reply {
	header := &c.ctx.Request.Header
	if limit := c.config.Limits.HeaderBytes; limit > 0 && len(header.RawHeaders()) > limit {
		return headTooLarge
	}
	if header.ContentLength() > c.bodyLimit() {
		return tooLarge
	}
	return nil
}

// receive reads the body of the request. It returns the reply to a request whose body is not accepted or does not
// come in time.
func (c *call) receive() *reply {
	c.holding = c.newHolding()
	first := c.firstBodyMemory()
	if err := c.reserveRequest(c.headMemory() + first + bufferFor(first)); err != nil {
		return c.replyToBody(err)
	}
	if c.hasBody() {
		began := time.Now()
		// A stop does not wait for clients that may never go on.
		c.gateway.running.Add(-1)
		err := c.readRequestBody()
		c.gateway.running.Add(1)
		if err != nil {
			return c.replyToBody(err)
		}
		c.arrived = c.arrived.Add(time.Since(began) - c.holding.waited)
		c.setExpiry()
	}
	c.endBody()
	if reply := c.acceptInStop(time.Now()); reply != nil {
		return reply
	}
	if !c.enter(memory.Waiting) {
		return noMemoryToReceive()
	}
	return nil
}

// headMemory returns the memory of a long head.
func (c *call) headMemory() int {
	header := &c.ctx.Request.Header
	raw := header.RawHeaders()
	length := len(raw) + len(header.RequestURI())
	if length <= freeHeadBytes {
		return 0
	}
	if length > keptHeadBytes {
		c.closing = true
	}
	return headCopies*length + headerCost*bytes.Count(raw, []byte{'\n'})
}

// firstBodyMemory returns the memory that the body needs to begin with: all, if its length is known, so that no two
// bodies that have a part each keep each other from the rest.
func (c *call) firstBodyMemory() int {
	length := c.ctx.Request.Header.ContentLength()
	switch {
	case !c.hasBody():
		return 0
	case length < 0:
		return c.grownSize(0)
	default:
		return length
	}
}

// bufferFor returns the memory of the kernel's buffer for a body of a size, as far as the connection does not account
// for it.
func bufferFor(size int) int {
	if size <= receiveBuffer {
		return 0
	}
	return min(size, wideBuffer)
}

// hasBody reports whether there is a body that has not been read.
func (c *call) hasBody() bool {
	return c.unread && c.ctx.RequestBodyStream() != nil && c.ctx.Request.Header.ContentLength() != 0
}

func (c *call) beginBody(deadline time.Time) {
	if c.conn != nil {
		c.conn.BeginBody(deadline)
	}
}

// widenBuffer gives the kernel the buffer that has been reserved for the body.
func (c *call) widenBuffer() {
	if size := bufferFor(len(c.body)); size > 0 && c.conn != nil {
		c.conn.WidenBuffer(size)
	}
}

func (c *call) endBody() {
	c.unread = false
	if c.conn != nil {
		c.conn.EndBody()
	}
}

// errBodyTooLong ends a body without a length that exceeds the limit.
var errBodyTooLong = errors.New("the body exceeds the limit")

// readRequestBody reads the body into the memory that firstBodyMemory has reserved.
func (c *call) readRequestBody() error {
	c.beginBody(c.leaves)
	stream := c.ctx.RequestBodyStream()
	if c.ctx.Request.Header.ContentLength() < 0 {
		return c.readGrowingBody(stream)
	}
	c.body = make([]byte, c.firstBodyMemory())
	c.widenBuffer()
	_, err := io.ReadFull(stream, c.body)
	return err
}

// readGrowingBody reads a body whose length is not known.
func (c *call) readGrowingBody(stream io.Reader) error {
	limit := c.bodyLimit()
	c.body = make([]byte, c.firstBodyMemory())
	for read := 0; ; {
		if read == len(c.body) {
			if err := c.growBody(); err != nil {
				return err
			}
		}
		n, err := stream.Read(c.body[read:])
		read += n
		switch {
		case read > limit:
			return errBodyTooLong
		case errors.Is(err, io.EOF):
			c.body = c.body[:read]
			return nil
		case err != nil:
			return err
		}
	}
}

// grownSize returns the size to which a body of a size grows. One byte beyond the limit shows that a body exceeds it.
func (c *call) grownSize(size int) int {
	limit := c.bodyLimit()
	if grown := max(firstBodyBytes, 2*size); grown < limit {
		return grown
	}
	return limit + 1
}

// growBody moves the body to a longer block. Both are held until it is copied.
func (c *call) growBody() error {
	former := len(c.body)
	size := c.grownSize(former)
	if err := c.reserveRequest(size + bufferFor(size) - bufferFor(former)); err != nil {
		return err
	}
	grown := make([]byte, size)
	copy(grown, c.body)
	c.body = grown
	c.gateway.held.release(&c.holding.Holding, former)
	c.holding.request -= former
	c.widenBuffer()
	return nil
}

func (c *call) reserveRequest(bytes int) error {
	if bytes == 0 {
		return nil
	}
	if err := c.reserve(bytes); err != nil {
		return err
	}
	c.holding.request += bytes
	return nil
}

// replyToBody returns the reply to a request whose body could not be read.
func (c *call) replyToBody(err error) *reply {
	switch {
	case isClosed(c.dropped()):
		return closedForRoom
	case errors.Is(err, errNoMemory), c.holding.isEvicted():
		return noMemoryToReceive()
	case errors.Is(err, errBodyTooLong):
		return tooLarge
	case errors.Is(err, os.ErrDeadlineExceeded), !time.Now().Before(c.leaves):
		return bodyTimeout
	default:
		return badRequest(fmt.Sprintf("the body is malformed or incomplete: %v", err))
	}
}

// dropBody prepares the connection of a request that is refused before its body has been read: it reads the rest
// of a short one that has arrived, and otherwise ends the connection after the answer.
func (c *call) dropBody() {
	if c.hasBody() && !c.skipBody() {
		c.closing = true
		c.ctx.SetConnectionClose()
		if c.conn != nil {
			c.conn.Linger()
		}
	}
	c.endBody()
}

// skipBody reads what is left of a body, and reports whether that was all.
func (c *call) skipBody() bool {
	if c.body != nil || c.ctx.Request.Header.ContentLength() > maxDroppedBytes || c.holding.isEvicted() {
		return false
	}
	c.beginBody(time.Now().Add(maxDrainTime))
	_, err := io.CopyN(io.Discard, c.ctx.RequestBodyStream(), maxDroppedBytes+1)
	return errors.Is(err, io.EOF)
}
