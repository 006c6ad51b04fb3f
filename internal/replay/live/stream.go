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

// Faults of an answer that claims to be whole.
const (
	faultNumbering = "chunks not numbered one by one"
	faultCount     = "count differs from the end mark"
	faultChecksum  = "checksum differs"
	faultForeign   = "answer of another request"
	faultEmpty     = "no chunks"
)

// errCut: the stream ended without its outcome; the caller attaches again.
var errCut = errors.New("stream ended without an outcome")

// endMark is the data of the outcome event.
type endMark struct {
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	Chunks       int             `json:"chunks"`
	Checksum     string          `json:"checksum"`
}

// answer gathers a streamed answer over one or more connections.
type answer struct {
	// ids are the request's, and that of the earlier request whose key it
	// repeats: its answer is this one's too.
	ids []string
	// next is the number of the chunk that is due.
	next   int
	digest *xxhash.Digest
	fault  string
	first  time.Time
	last   time.Time
	gaps   []time.Duration
}

func newAnswer(ids ...string) *answer { return &answer{ids: ids, digest: xxhash.New()} }

// own reports whether an answer of a request id is this request's.
func (a *answer) own(id string) bool { return slices.Contains(a.ids, id) }

// event is one server-sent event.
type event struct {
	name, id, data string
}

// follow reads a stream to its outcome, or returns errCut or a read error.
func (a *answer) follow(r io.Reader) (endMark, error) {
	reader := bufio.NewReader(r)
	for {
		e, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			return endMark{}, errCut
		}
		if err != nil {
			return endMark{}, err
		}
		if e.name == "outcome" {
			return a.end(e)
		}
		if e.data != "" && e.data != "[DONE]" {
			a.chunk(e, time.Now())
		}
	}
}

// chunk takes one numbered chunk. A chunk seen already is dropped: after an
// attach the entry may begin earlier than asked.
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
			a.setFault(faultForeign)
		}
	} else {
		a.gaps = append(a.gaps, now.Sub(a.last))
	}
	a.last = now
	a.next++
	_, _ = a.digest.WriteString(e.data)
}

// end compares the end mark of a whole answer with what came.
func (a *answer) end(e event) (endMark, error) {
	var mark endMark
	if err := json.Unmarshal([]byte(e.data), &mark); err != nil {
		return endMark{}, fmt.Errorf("outcome event: %w", err)
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

// checksum is how entries write an xxhash64: 16 hex digits.
func checksum(d *xxhash.Digest) string { return fmt.Sprintf("%016x", d.Sum64()) }

// readEvent reads up to the empty line that ends an event. Comments are passed
// over; an event cut off by the end of the stream is no event.
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
