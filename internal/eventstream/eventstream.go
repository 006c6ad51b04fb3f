// Package eventstream finds the ends of server-sent events; see the HTML standard,
// section 9.2.5. An event ends with an empty line; a line ends with LF, CR or CRLF.
package eventstream

import (
	"bytes"
	"iter"
	"mime"
)

// ContentType is the media type of event streams.
const ContentType = "text/event-stream"

// HasContentType reports whether a Content-Type header names an event stream.
func HasContentType(header string) bool {
	mediaType, _, _ := mime.ParseMediaType(header)
	return mediaType == ContentType
}

// CompleteLen returns the length of the complete events at the beginning of data.
func CompleteLen(data []byte) int {
	for end := len(data); end > 0; end-- {
		if !isLineEnd(data[end-1]) {
			continue
		}
		line := end - 1
		if data[line] == '\n' && line > 0 && data[line-1] == '\r' {
			line--
		}
		if line > 0 && isLineEnd(data[line-1]) {
			return end
		}
	}
	return 0
}

// Lines returns the lines that are not empty, without their ends.
func Lines(data []byte) iter.Seq[[]byte] {
	return bytes.FieldsFuncSeq(data, func(r rune) bool { return r == '\n' || r == '\r' })
}

func isLineEnd(b byte) bool { return b == '\n' || b == '\r' }

// Position returns the id of the last of the complete events in data. numbered is false if that event
// has data and no id of its own; ok is false if there is no event but comments.
func Position(data []byte) (id string, numbered, ok bool) {
	for event := range Events(data) {
		hasData, hasID, own := false, false, ""
		for line := range Lines(event) {
			if value, found := bytes.CutPrefix(line, []byte("id:")); found {
				own = string(bytes.TrimSpace(value))
				hasID = own != ""
			}
			hasData = hasData || bytes.HasPrefix(line, []byte("data:"))
		}
		switch {
		case hasID:
			id, numbered, ok = own, true, true
		case hasData:
			numbered, ok = false, true
		}
	}
	return id, numbered, ok
}

// Events returns the complete events in data, with the empty lines that end them.
func Events(data []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(data) > 0 {
			n := firstLen(data)
			if n == 0 || !yield(data[:n]) {
				return
			}
			data = data[n:]
		}
	}
}

// firstLen returns the length of the first complete event in data.
func firstLen(data []byte) int {
	line := 0
	for i := 0; i < len(data); i++ {
		if !isLineEnd(data[i]) {
			continue
		}
		empty := i == line
		if data[i] == '\r' && i+1 < len(data) && data[i+1] == '\n' {
			i++
		}
		if empty {
			return i + 1
		}
		line = i + 1
	}
	return 0
}

// EndsInside reports whether data, which follows a complete event, ends inside another one. A
// client discards such an event at the end of the stream. Comments belong to no event.
func EndsInside(data []byte) bool {
	rest := data[CompleteLen(data):]
	for line := range Lines(rest) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}
