package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/replay/report"
)

// HopOptions are the parameters of Hop.
type HopOptions struct {
	// Entry is the callers' address of an entry.
	Entry    string
	Document *document.Document
	// Organisation is the sender, Token its bearer token.
	Organisation, Token string
	// Count is the number of calls of each kind on each path, one at a time.
	Count int
	// PromptTokens and AnswerTokens are the size of the completion.
	PromptTokens, AnswerTokens int
}

// HopRow is the result for one kind of call on one path.
type HopRow struct {
	Kind Kind   `json:"kind"`
	Way  string `json:"way"`
	// FirstByte is the time to the first byte of the answer, Total to the last.
	FirstByte report.Percentiles `json:"first_byte_ms"`
	Total     report.Percentiles `json:"whole_ms"`
}

// Paths of a call.
const (
	WayDirect = "direct"
	WayEntry  = "entry"
)

// errTruncated is returned for a truncated answer.
var errTruncated = errors.New("the answer is not whole")

// hop measures both paths with one client.
type hop struct {
	options HopOptions
	model   string
	direct  map[Kind]string
	http    *fasthttp.Client
}

// Hop calls the same stand-ins alternately directly and through the entry, so that
// both paths have the same conditions on the machine, and summarises the times.
func Hop(options HopOptions) ([]HopRow, error) {
	h := &hop{options: options, direct: map[Kind]string{}, http: newHTTP()}
	var err error
	if h.model, err = modelOf(options.Document, options.Organisation); err != nil {
		return nil, err
	}
	h.findTargets()
	var rows []HopRow
	for _, kind := range []Kind{ServiceCall, Completion} {
		measured, err := h.measure(kind)
		if err != nil {
			return rows, err
		}
		rows = append(rows, measured...)
	}
	return rows, nil
}

// findTargets selects the first target of each kind that the entry could choose.
func (h *hop) findTargets() {
	for i := range h.options.Document.Targets {
		t := &h.options.Document.Targets[i]
		kind := Completion
		if t.Pool == servicePool {
			kind = ServiceCall
		}
		if _, known := h.direct[kind]; !known && (kind == ServiceCall || t.Pool == h.model) {
			h.direct[kind] = t.Address
		}
	}
}

// warmUp is the number of uncounted calls that open the connections.
const warmUp = 20

func (h *hop) measure(kind Kind) ([]HopRow, error) {
	ways := []string{WayDirect, WayEntry}
	first, whole := make([][]time.Duration, len(ways)), make([][]time.Duration, len(ways))
	for i := range warmUp + h.options.Count {
		for w, way := range ways {
			a, b, err := h.time(kind, way, i)
			if err != nil {
				return nil, fmt.Errorf("%s, %s: %w", kind, way, err)
			}
			if i >= warmUp {
				first[w], whole[w] = append(first[w], a), append(whole[w], b)
			}
		}
	}
	var rows []HopRow
	for w, way := range ways {
		rows = append(rows, HopRow{
			Kind: kind, Way: way,
			FirstByte: report.PercentilesOf(first[w]), Total: report.PercentilesOf(whole[w]),
		})
	}
	return rows, nil
}

// time makes one call and returns the times to the first and last byte.
func (h *hop) time(kind Kind, way string, number int) (first, whole time.Duration, err error) {
	c, err := h.call(kind, way, number)
	if err != nil {
		return 0, 0, err
	}
	sent := time.Now()
	err = c.do(h.http, func(resp *fasthttp.Response) error {
		if resp.StatusCode() != fasthttp.StatusOK {
			return fmt.Errorf("%w: status %d, %s", errStatus, resp.StatusCode(), resp.Header.Peek("X-Reason"))
		}
		src := resp.BodyStream()
		if src == nil {
			src = bytes.NewReader(resp.Body())
		}
		var one [1]byte
		if _, err := io.ReadFull(src, one[:]); err != nil {
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
		first = time.Since(sent)
		rest, err := io.ReadAll(src)
		if err != nil {
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
		if kind == Completion && !bytes.HasSuffix(rest, []byte("data: [DONE]\n\n")) {
			return errTruncated
		}
		whole = time.Since(sent)
		return nil
	})
	return first, whole, err
}

func (h *hop) call(kind Kind, way string, number int) (*call, error) {
	c := &call{address: h.direct[kind], method: fasthttp.MethodGet, path: "/items/1"}
	if way == WayEntry {
		c.address, c.token = h.options.Entry, h.options.Token
	}
	if kind == ServiceCall {
		if way == WayEntry {
			c.path = servicePath(1)
		}
		return c, nil
	}
	var err error
	c.method, c.path = fasthttp.MethodPost, completionPath
	// Each path has its own prompts, so that neither benefits from prefixes cached for
	// the other.
	if way == WayEntry {
		number += 1 << 20
	}
	c.body, err = completionBody(h.model, number, h.options.PromptTokens, h.options.AnswerTokens)
	return c, err
}
