package gateway

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"sycamoretrail/internal/upstream"
)

const (
	// maxBufferedAnswer bounds an answer that is buffered before it is passed on.
	maxBufferedAnswer = 8 << 20
	// bufferShare is the part of the process' memory that all buffered answers may use.
	bufferShare = 0.25
	// minBuffer is the size of the buffer for a short answer.
	minBuffer = 4 << 10
	// maxEvent bounds an event of a stream. The share of the memory is checked for events beyond
	// freeEvent only.
	maxEvent  = 1 << 20
	freeEvent = 64 << 10
)

var (
	// errAnswerTooLong and errEventTooLong end answers that exceed maxBufferedAnswer or maxEvent.
	errAnswerTooLong = fmt.Errorf("%w in the body", upstream.ErrTooLong)
	errEventTooLong  = fmt.Errorf("%w in an event", upstream.ErrTooLong)
	// errNoMemory ends an answer for which all buffered answers together leave no memory.
	errNoMemory = errors.New("the buffered answers use up their share of the memory")
)

// buffers accounts for the memory of the answers that are buffered.
type buffers struct {
	limit int64
	used  atomic.Int64
}

func newBuffers(memoryMB int) *buffers {
	return &buffers{limit: int64(bufferShare * float64(memoryMB<<20))}
}

// reserve returns false if the memory is used up.
func (b *buffers) reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.limit {
		return true
	}
	b.release(n)
	return false
}

func (b *buffers) release(n int) { b.used.Add(-int64(n)) }

// readBody reads an answer to its end. The call holds the memory until releaseBody.
func (c *call) readBody(answer *upstream.Answer) ([]byte, error) {
	if answer.Length > maxBufferedAnswer {
		return nil, errAnswerTooLong
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			larger, err := c.growBody(body)
			if err != nil {
				return nil, err
			}
			body = larger
		}
		n, err := answer.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// growBody doubles the capacity of a body. One byte beyond the bound shows that a body is too long.
func (c *call) growBody(body []byte) ([]byte, error) {
	if len(body) > maxBufferedAnswer {
		return nil, errAnswerTooLong
	}
	size := min(max(minBuffer, 2*cap(body)), maxBufferedAnswer+1)
	if !c.gateway.buffers.reserve(size - cap(body)) {
		return nil, errNoMemory
	}
	c.buffered += size - cap(body)
	return append(make([]byte, 0, size), body...), nil
}

// releaseBody releases the memory of the bodies that the call has read.
func (c *call) releaseBody() {
	c.gateway.buffers.release(c.buffered)
	c.buffered = 0
}
