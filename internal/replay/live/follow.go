package live

import (
	"io"
	"time"

	"sycamoretrail/internal/core/outcome"
)

// Streamed is what a caller received of one streamed answer.
type Streamed struct {
	// First and Last are the times at which the first and last chunk were read.
	First, Last time.Time
	Chunks      int
	Outcome     outcome.Outcome
	Reason      outcome.Reason
	// Fault describes what is wrong with an answer that is declared complete:
	// missing or reordered chunks, a wrong checksum, or another request's answer.
	Fault string
}

// Follow reads the streamed answer of the request id up to its outcome event and
// checks numbering, count and checksum. It returns an error if the stream is
// truncated before the event.
func Follow(r io.Reader, id string) (Streamed, error) {
	a := newAnswer(id)
	mark, err := a.follow(r)
	return Streamed{
		First: a.first, Last: a.last, Chunks: a.next,
		Outcome: mark.Outcome, Reason: mark.Reason, Fault: a.fault,
	}, err
}
