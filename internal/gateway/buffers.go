package gateway

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"sycamoretrail/internal/upstream"
)

const (
	// maxBufferedAnswer bounds an answer that is buffered before it is passed on.
	maxBufferedAnswer = 8 << 20
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
)

// reserveAnswer reserves memory for a part of the answer.
func (c *call) reserveAnswer(bytes int) error {
	if err := c.reserve(bytes); err != nil {
		return err
	}
	c.holding.answer += bytes
	return nil
}

// unreserveAnswer gives a part of it back.
func (c *call) unreserveAnswer(bytes int) {
	c.gateway.held.release(&c.holding.Holding, bytes)
	c.holding.answer -= bytes
}

// readBody reads an answer to its end. The call holds the memory until releaseAnswer.
func (c *call) readBody(answer *upstream.Answer) ([]byte, error) {
	if answer.Length > maxBufferedAnswer {
		return nil, errAnswerTooLong
	}
	answer.LimitWire(maxAnswerWire)
	if answer.Length > minBlock {
		return c.readKnownBody(answer)
	}
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
			return c.joinBlocks(blocks, total)
		case errors.Is(err, upstream.ErrTooLong):
			return nil, errAnswerTooLong
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		}
	}
	return nil, errAnswerTooLong
}

// readKnownBody reads an answer with a length.
func (c *call) readKnownBody(answer *upstream.Answer) ([]byte, error) {
	if err := c.reserveAnswer(int(answer.Length)); err != nil {
		return nil, err
	}
	body := make([]byte, answer.Length)
	n, err := readFull(answer, body)
	if err == nil {
		_, err = answer.Read(make([]byte, 1))
	}
	switch {
	case errors.Is(err, io.EOF):
		return body[:n], nil
	case err == nil, errors.Is(err, upstream.ErrTooLong):
		return nil, errAnswerTooLong
	default:
		return nil, err
	}
}

// joinBlocks returns the blocks of a body as one. Until it is copied, both are held.
func (c *call) joinBlocks(blocks [][]byte, total int) ([]byte, error) {
	if len(blocks) == 1 {
		return blocks[0], nil
	}
	if err := c.reserveAnswer(total); err != nil {
		return nil, err
	}
	body := slices.Concat(blocks...)
	for _, block := range blocks {
		c.unreserveAnswer(cap(block))
	}
	return body, nil
}

// newBlock returns the next block of a body: each is as long as all before it, up to maxBlock. Blocks
// leave no garbage while a body grows.
func (c *call) newBlock(total int) ([]byte, error) {
	size := min(max(minBlock, total), maxBlock)
	if err := c.reserveAnswer(size); err != nil {
		return nil, err
	}
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
