package gateway

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"

	"sycamoretrail/internal/upstream"
)

const (
	// maxBufferedAnswer bounds an answer that is buffered before it is passed on.
	maxBufferedAnswer = 8 << 20
	// bufferShare is the part of the process' memory that all buffered answers may use.
	bufferShare = 0.25
	// maxAnswerWire bounds the bytes of its body on the connection: a chunk may hold a single byte, and
	// costs as much processor time as a long one.
	maxAnswerWire = maxBufferedAnswer + maxBufferedAnswer/4
	// minBlock and maxBlock are the sizes of the blocks in which a body is read.
	minBlock = 4 << 10
	maxBlock = 256 << 10
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
	answer.LimitWire(maxAnswerWire)
	var blocks [][]byte
	for total := 0; total <= maxBufferedAnswer; {
		block, err := c.newBlock(total)
		if err != nil {
			return nil, err
		}
		n, err := readFull(answer, block)
		blocks, total = append(blocks, block[:n]), total+n
		switch {
		case errors.Is(err, io.EOF) && total <= maxBufferedAnswer:
			return slices.Concat(blocks...), nil
		case errors.Is(err, upstream.ErrTooLong):
			return nil, errAnswerTooLong
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		}
	}
	return nil, errAnswerTooLong
}

// newBlock returns the next block of a body: each is as long as all before it, up to maxBlock. Blocks
// leave no garbage while a body grows.
func (c *call) newBlock(total int) ([]byte, error) {
	size := min(max(minBlock, total), maxBlock)
	if !c.gateway.buffers.reserve(size) {
		return nil, errNoMemory
	}
	c.buffered += size
	return make([]byte, size), nil
}

// readFull reads until p is full or the answer ends.
func readFull(answer *upstream.Answer, p []byte) (int, error) {
	read := 0
	for read < len(p) {
		n, err := answer.Read(p[read:])
		read += n
		if err != nil {
			return read, err
		}
	}
	return read, nil
}

// releaseBody releases the memory of the bodies that the call has read.
func (c *call) releaseBody() {
	c.gateway.buffers.release(c.buffered)
	c.buffered = 0
}
