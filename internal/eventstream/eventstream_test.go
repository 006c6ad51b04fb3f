package eventstream_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/eventstream"
)

func TestCompleteLen(t *testing.T) {
	g := NewWithT(t)
	for data, complete := range map[string]string{
		"":                             "",
		"data: a":                      "",
		"data: a\n":                    "",
		"data: a\n\n":                  "data: a\n\n",
		"data: a\n\ndata":              "data: a\n\n",
		"data: a\r\n\r\nid: 2\r\n":     "data: a\r\n\r\n",
		"data: a\r\rid: 2\r":           "data: a\r\r",
		"data: a\n\r\nid: 2":           "data: a\n\r\n",
		"data: a\r\ndata: b\r\n":       "",
		"\n":                           "",
		"data: a\n\n: note\n\nid: 3\n": "data: a\n\n: note\n\n",
	} {
		g.Expect(data[:eventstream.CompleteLen([]byte(data))]).To(Equal(complete), "%q", data)
	}
}

// Guards against a stream that was cut inside an event passing for complete, and a complete one
// for cut.
func TestEndsInside(t *testing.T) {
	g := NewWithT(t)
	for data, inside := range map[string]bool{
		"":                      false,
		"\n":                    false,
		"data: a\n\n":           false,
		"data: a\r\n\r\n":       false,
		": note":                false,
		"data: a\n\n: note\n":   false,
		"data: a\n\n\n":         false,
		"data: a\n":             true,
		"data: a\n\nid: 2\n":    true,
		"data: a\n\n: note\nda": true,
		"i":                     true,
	} {
		g.Expect(eventstream.EndsInside([]byte(data))).To(Equal(inside), "%q", data)
	}
}

func TestHasContentType(t *testing.T) {
	g := NewWithT(t)
	for header, want := range map[string]bool{
		"text/event-stream": true, "Text/Event-Stream; charset=utf-8": true, "application/json": false, "text/event-streams": false, "": false,
	} {
		g.Expect(eventstream.HasContentType(header)).To(Equal(want), header)
	}
}

// Guards against a stream being continued after an event that is not the last one.
func TestPosition(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]struct {
		id           string
		numbered, ok bool
	}{
		"":                              {},
		": comment\n\n":                 {},
		"id: 1\ndata: x\n":              {},
		"id: 1\ndata: x\n\n":            {"1", true, true},
		"data: x\r\nid:2\r\n\r\n":       {"2", true, true},
		"id: 1\rdata: x\r\r: ping\r\r":  {"1", true, true},
		"id: 1\ndata: x\n\ndata: y\n\n": {"1", false, true},
		"data: y\n\nid: 3\n\n":          {"3", true, true},
		"id: 1\ndata: x\n\nid: 2\ndata": {"1", true, true},
		"id: 1\n\nid:\ndata: x\n\n":     {"1", false, true},
	} {
		id, numbered, ok := eventstream.Position([]byte(text))
		g.Expect([]any{id, numbered, ok}).To(Equal([]any{want.id, want.numbered, want.ok}), "%q", text)
	}
}
