package targets

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// errStream is wrapped by the errors for input that is not a valid event stream.
var errStream = errors.New("malformed event stream")

const (
	startLineBytes = 4 << 10
	// maxLineBytes bounds one line of an event stream.
	maxLineBytes = 1 << 20
	// maxEventID bounds token numbers, so that arithmetic on them cannot overflow.
	maxEventID = 1 << 40
)

// event is one server-sent event. Data is valid until the next call of next.
type event struct {
	// id is the token's number, or -1 if the event has none.
	id   int64
	data []byte
}

// eventReader reads server-sent events as they arrive. It does not allocate for an event
// whose data is one line.
type eventReader struct {
	src        io.Reader
	buf        []byte
	start, end int
	joined     []byte // data lines of the current event, joined
}

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, buf: make([]byte, startLineBytes)}
}

// next returns the next event with data, or io.EOF at the end of the stream. An event
// truncated by the end is dropped.
func (r *eventReader) next() (event, error) {
	ev := event{id: -1}
	lines := 0
	r.joined = r.joined[:0]
	for {
		line, err := r.line()
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			if lines == 0 {
				ev.id = -1
				continue
			}
			ev.data = r.joined
			return ev, nil
		}
		field, value := splitField(line)
		switch field {
		case "data":
			if lines > 0 {
				r.joined = append(r.joined, '\n')
			}
			if len(r.joined)+len(value) > maxLineBytes {
				return event{}, fmt.Errorf("%w: event longer than %d bytes", errStream, maxLineBytes)
			}
			r.joined = append(r.joined, value...)
			lines++
		case "id":
			id, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil || id < 0 || id > maxEventID {
				return event{}, fmt.Errorf("%w: event id is not a token number", errStream)
			}
			ev.id = id
		}
	}
}

// splitField splits "name: value"; a comment has an empty name.
func splitField(line []byte) (name string, value []byte) {
	colon := bytes.IndexByte(line, ':')
	if colon < 0 {
		return fieldName(line), nil
	}
	value = line[colon+1:]
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	return fieldName(line[:colon]), value
}

// fieldName returns the field name without allocating a string for each line.
func fieldName(b []byte) string {
	switch string(b) {
	case "data":
		return "data"
	case "id":
		return "id"
	}
	return ""
}

// line returns the next line without its end, valid until the next call.
func (r *eventReader) line() ([]byte, error) {
	scanned := 0
	for {
		if i := bytes.IndexByte(r.buf[r.start+scanned:r.end], '\n'); i >= 0 {
			line := r.buf[r.start : r.start+scanned+i]
			r.start += scanned + i + 1
			return bytes.TrimSuffix(line, []byte{'\r'}), nil
		}
		scanned = r.end - r.start
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// fill reads more data after an incomplete line.
func (r *eventReader) fill() error {
	if r.start > 0 {
		copy(r.buf, r.buf[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buf) {
		if len(r.buf) >= maxLineBytes {
			return fmt.Errorf("%w: line longer than %d bytes", errStream, maxLineBytes)
		}
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	n, err := r.src.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}
