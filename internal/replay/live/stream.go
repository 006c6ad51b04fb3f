package live

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/outcome"
)

// Faults of an answer that is declared complete.
const (
	faultNumbering    = "chunks not numbered one by one"
	faultCount        = "count differs from the end mark"
	faultChecksum     = "checksum differs"
	faultOtherRequest = "answer of another request"
	faultEmpty        = "no chunks"
)

// errTruncated is returned if the stream ends without its outcome event. The caller then
// attaches again.
var errTruncated = errors.New("stream ended without an outcome")

// outcomeEvent is the data of the outcome event, which ends a stream.
type outcomeEvent struct {
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	Chunks       int             `json:"chunks"`
	Checksum     string          `json:"checksum"`
}

// answer collects a streamed answer over one or more connections.
type answer struct {
	// ids are the request's own id and that of the earlier request that it repeats,
	// whose answer is valid for both.
	ids []string
	// next is the number of the next expected chunk.
	next   int
	digest *xxhash.Digest
	fault  string
	first  time.Time
	last   time.Time
	gaps   []time.Duration
}

func newAnswer(ids ...string) *answer { return &answer{ids: ids, digest: xxhash.New()} }

// own reports whether the answer to the request id is valid for this request.
func (a *answer) own(id string) bool { return slices.Contains(a.ids, id) }

// event is one server-sent event.
type event struct {
	name, id, data string
}

// follow reads a stream up to its outcome event. It returns errTruncated if there is
// none, or the error of the read.
func (a *answer) follow(r io.Reader) (outcomeEvent, error) {
	reader := bufio.NewReader(r)
	for {
		e, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			return outcomeEvent{}, errTruncated
		}
		if err != nil {
			return outcomeEvent{}, err
		}
		if e.name == "outcome" {
			return a.end(e)
		}
		if e.data != "" && e.data != "[DONE]" {
			a.chunk(e, time.Now())
		}
	}
}

// chunk adds one numbered chunk. It ignores duplicates: after an attach the entry
// may begin with an earlier chunk than requested.
func (a *answer) chunk(e event, now time.Time) {
	number, err := strconv.Atoi(e.id)
	if err != nil || number > a.next {
		a.setFault(faultNumbering)
		return
	}
	if number < a.next {
		return
	}
	if number == 0 {
		a.first = now
		if !slices.ContainsFunc(a.ids, func(id string) bool { return strings.Contains(e.data, id) }) {
			a.setFault(faultOtherRequest)
		}
	} else {
		a.gaps = append(a.gaps, now.Sub(a.last))
	}
	a.last = now
	a.next++
	_, _ = a.digest.WriteString(e.data)
}

// end compares the outcome event of a complete answer with the received chunks.
func (a *answer) end(e event) (outcomeEvent, error) {
	var mark outcomeEvent
	if err := json.Unmarshal([]byte(e.data), &mark); err != nil {
		return outcomeEvent{}, fmt.Errorf("outcome event: %w", err)
	}
	if mark.Outcome != outcome.Answered {
		return mark, nil
	}
	switch {
	case a.next == 0:
		a.setFault(faultEmpty)
	case mark.Chunks != a.next:
		a.setFault(faultCount)
	case mark.Checksum != checksum(a.digest):
		a.setFault(faultChecksum)
	}
	return mark, nil
}

func (a *answer) setFault(fault string) {
	if a.fault == "" {
		a.fault = fault
	}
}

// checksum formats an xxhash64 as entries do, as 16 hex digits.
func checksum(d *xxhash.Digest) string { return fmt.Sprintf("%016x", d.Sum64()) }

// readEvent reads one event up to the empty line that ends it. It skips comments
// and discards an event that is truncated by the end of the stream.
func readEvent(r *bufio.Reader) (event, error) {
	var e event
	empty := true
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return event{}, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			if empty {
				continue
			}
			return e, nil
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		empty = empty && field == ""
		switch field {
		case "event":
			e.name = value
		case "id":
			e.id = value
		case "data":
			if e.data != "" {
				e.data += "\n"
			}
			e.data += value
		}
	}
}
