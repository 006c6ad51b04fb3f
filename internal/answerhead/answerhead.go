// Package answerhead checks the heads of HTTP/1 answers against RFC 9112. The HTTP libraries accept more: spaces
// in the names of fields, statuses that don't exist, other versions of the protocol.
package answerhead

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// ErrInvalid is wrapped by errors of heads that violate the protocol. They quote the beginning of the line.
var ErrInvalid = errors.New("invalid head")

const (
	// maxQuoted is the number of bytes of a line that are kept, for errors and to recognize fields.
	maxQuoted = 64

	versionPrefix  = "HTTP/1."
	transferCoding = "Transfer-Encoding"

	statusDigits       = 3
	minStatus          = 100
	switchingProtocols = 101
	minFinalStatus     = 200
	maxStatus          = 599
)

// state is what the next byte belongs to.
type state uint8

const (
	inStatusLine state = iota
	atLineStart
	inName
	inValue
	// inFoldedLine: in a line that continues the value of the line before.
	inFoldedLine
	// afterCR: the next byte ends the line. beforeEnd: the next byte ends the head.
	afterCR
	beforeEnd
	ended
)

// Checker checks one head, whose bytes may arrive in parts. The zero value is ready for the first byte. It keeps
// no more than the beginning of the current line.
type Checker struct {
	state state
	// quoted is the beginning of the current line, length the number of bytes in it.
	quoted [maxQuoted]byte
	length int
	// status is 0 before the end of the status line. oldVersion: the answer is of HTTP/1.0.
	status     int
	oldVersion bool
	// hasField: a field has begun.
	hasField bool
}

// Check checks the next bytes and returns how many of them belong to the head. Its errors wrap ErrInvalid; no
// bytes may be checked after one.
func (c *Checker) Check(p []byte) (n int, err error) {
	for n < len(p) && c.state != ended {
		ordinary := c.ordinary(p[n:])
		c.quote(p[n : n+ordinary])
		if n += ordinary; n == len(p) {
			break
		}
		c.quote(p[n : n+1])
		if err := c.next(p[n]); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// Ended reports whether the whole head has been checked.
func (c *Checker) Ended() bool { return c.state == ended }

// Informational reports whether the final answer has yet to follow.
func (c *Checker) Informational() bool { return c.status < minFinalStatus }

// ordinary returns the number of bytes up to the first one that may change the state or be invalid.
func (c *Checker) ordinary(p []byte) int {
	set := &textBytes
	switch c.state {
	case inName:
		set = &tokenBytes
	case inFoldedLine:
		set = &foldedBytes
	case inStatusLine, inValue:
	default:
		return 0
	}
	for i, b := range p {
		if !set[b] {
			return i
		}
	}
	return len(p)
}

func (c *Checker) quote(p []byte) { c.length += copy(c.quoted[c.length:], p) }

// next handles a byte that is not ordinary.
func (c *Checker) next(b byte) error {
	switch c.state {
	case atLineStart:
		return c.beginLine(b)
	case inName:
		return c.endName(b)
	case afterCR, beforeEnd:
		return c.endLine(b)
	default:
		return c.endText(b)
	}
}

// beginLine handles the first byte of a line after the status line.
func (c *Checker) beginLine(b byte) error {
	switch {
	case b == '\r':
		c.state = beforeEnd
	case b == '\n':
		c.state = ended
	case tokenBytes[b]:
		c.state = inName
	case b != ' ' && b != '\t':
		return c.endName(b)
	case !c.hasField:
		return c.invalid("whitespace before the first field")
	default:
		c.state = inFoldedLine
	}
	return nil
}

// endName handles the byte after the name of a field.
func (c *Checker) endName(b byte) error {
	name := c.quoted[:max(0, c.length-1)]
	switch {
	case b != ':':
		return c.invalid("the name of a field is not a token")
	case len(name) == 0:
		return c.invalid("a field without a name")
	case c.oldVersion && bytes.EqualFold(name, []byte(transferCoding)):
		return c.invalid("a transfer coding in HTTP/1.0")
	}
	c.hasField = true
	c.state = inValue
	return nil
}

// endText handles a byte after the text of a line.
func (c *Checker) endText(b byte) error {
	switch {
	case b == '\n':
		return c.endLine(b)
	case b == '\r':
		c.state = afterCR
		return nil
	case b == ':':
		// It can't be told from a field whose name begins with whitespace.
		return c.invalid("a folded line with a colon")
	default:
		return c.invalid("a control byte")
	}
}

// endLine handles the last byte of a line.
func (c *Checker) endLine(b byte) error {
	switch {
	case b != '\n':
		return c.invalid("a CR inside a line")
	case c.state == beforeEnd:
		c.state = ended
		return nil
	case c.status == 0:
		if err := c.readStatus(); err != nil {
			return err
		}
	}
	c.state = atLineStart
	c.length = 0
	return nil
}

// readStatus reads the version and the code in the status line.
func (c *Checker) readStatus() error {
	line := bytes.TrimRight(c.quoted[:c.length], "\r\n")
	minor, hasVersion := bytes.CutPrefix(line, []byte(versionPrefix))
	if !hasVersion || len(minor) < 2 || !isDigit(minor[0]) || minor[1] != ' ' {
		return c.invalid("the version is not HTTP/1")
	}
	code, _, _ := bytes.Cut(bytes.TrimLeft(minor[1:], " "), []byte{' '})
	for _, b := range code {
		if !isDigit(b) {
			return c.invalid("the status is not a number")
		}
	}
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != statusDigits || status < minStatus || status > maxStatus {
		return c.invalid("the status does not exist")
	}
	if status == switchingProtocols {
		return c.invalid("a switch of protocols that was not requested")
	}
	c.status, c.oldVersion = status, minor[0] == '0'
	return nil
}

func (c *Checker) invalid(reason string) error {
	return fmt.Errorf("%w: %s: %q", ErrInvalid, reason, c.quoted[:c.length])
}

// IsToken reports whether a text may be the name of a field.
func IsToken(text string) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return text != ""
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// byteSet is a set of bytes.
type byteSet [256]bool

var (
	// tokenBytes are those of a token; RFC 9110, section 5.6.2.
	tokenBytes = newByteSet(func(b byte) bool {
		return isDigit(b) || 'a' <= b|0x20 && b|0x20 <= 'z' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0
	})
	// textBytes are those of a value or a reason; RFC 9110, section 5.5.
	textBytes   = newByteSet(func(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' })
	foldedBytes = newByteSet(func(b byte) bool { return textBytes[b] && b != ':' })
)

func newByteSet(contains func(byte) bool) (set byteSet) {
	for b := range set {
		set[b] = contains(byte(b))
	}
	return set
}
