package answerhead

import (
	"fmt"
	"net"
)

const (
	// readSize is the number of bytes that are read at a time while a head arrives.
	readSize = 4 << 10
	// maxHeads bounds the bytes of a head, with the informational heads before it.
	maxHeads = 64 << 10
)

// Conn is a connection of a client that sends one request at a time. It returns the head of an answer when the
// whole of it has been checked, and leaves out informational answers.
type Conn struct {
	net.Conn
	// awaiting: a request has been sent, and the head of its final answer has yet to arrive.
	awaiting bool
	// buffer holds what was read with the head and has not been returned.
	buffer []byte
	// err ends the connection after the content of the buffer.
	err error
}

// Checked returns a dial function whose connections check the heads of answers.
func Checked(dial func(address string) (net.Conn, error)) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
}

// Write sends a part of a request.
func (c *Conn) Write(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	c.awaiting, c.buffer = true, nil
	return c.Conn.Write(p)
}

// Read returns a part of an answer. Its errors wrap ErrInvalid if the head is invalid; nothing after it is read.
func (c *Conn) Read(p []byte) (int, error) {
	if c.awaiting && c.err == nil {
		c.awaiting = false
		c.err = c.readHead()
	}
	switch {
	case len(c.buffer) > 0:
		n := copy(p, c.buffer)
		c.buffer = c.buffer[n:]
		return n, nil
	case c.err != nil:
		return 0, c.err
	default:
		return c.Conn.Read(p)
	}
}

// readHead reads into the buffer until it begins with the head of a final answer.
func (c *Conn) readHead() error {
	var checker Checker
	c.buffer = make([]byte, 0, readSize)
	checked, read := 0, 0
	for {
		n, err := checker.Check(c.buffer[checked:])
		if err != nil {
			// Libraries take an error before the first byte for a regular end of the connection.
			c.buffer = c.buffer[:1]
			return err
		}
		checked += n
		switch {
		case checker.Ended() && !checker.Informational():
			return nil
		case checker.Ended():
			c.buffer = append(c.buffer[:0], c.buffer[checked:]...)
			checked, checker = 0, Checker{}
			continue
		case read >= maxHeads:
			return fmt.Errorf("%w: longer than %d bytes", ErrInvalid, maxHeads)
		}
		if n, err = c.fill(); n == 0 && err != nil {
			return err
		}
		read += n
	}
}

// fill reads once into the buffer.
func (c *Conn) fill() (int, error) {
	if len(c.buffer) == cap(c.buffer) {
		c.buffer = append(make([]byte, 0, 2*cap(c.buffer)), c.buffer...)
	}
	n, err := c.Conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
	c.buffer = c.buffer[:len(c.buffer)+n]
	return n, err
}
