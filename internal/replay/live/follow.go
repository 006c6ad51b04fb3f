package live

import (
	"io"
	"time"

	"sycamoretrail/internal/core/outcome"
)

// Streamed is what a caller saw of one streamed answer.
type Streamed struct {
	// First and Last are when the first and the last chunk were read.
	First, Last time.Time
	Chunks      int
	Outcome     outcome.Outcome
	Reason      outcome.Reason
	// Fault says what is wrong with an answer that claims to be whole: chunks
	// missing, out of order, not those of the checksum, or of another request.
	Fault string
}

// Follow reads the streamed answer of the request id to its end mark and checks
// numbering, count and checksum. An error: it broke off before the end mark.
func Follow(r io.Reader, id string) (Streamed, error) {
	a := newAnswer(id)
	mark, err := a.follow(r)
	return Streamed{
		First: a.first, Last: a.last, Chunks: a.next,
		Outcome: mark.Outcome, Reason: mark.Reason, Fault: a.fault,
	}, err
}
