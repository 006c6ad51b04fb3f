package entry

import (
	"time"

	"sycamoretrail/internal/core/ident"
)

// journalSize is how many decisions an entry keeps for Explain.
const journalSize = 20000

// TimedDecision is a decision with its time.
type TimedDecision struct {
	At time.Time
	Decision
}

// journal is a ring buffer of the latest decisions, for operators who analyse a
// request.
type journal struct {
	ring []TimedDecision
	next int
}

func (j *journal) add(now time.Time, d Decision) {
	if len(j.ring) < journalSize {
		j.ring = append(j.ring, TimedDecision{At: now, Decision: d})
		return
	}
	j.ring[j.next] = TimedDecision{At: now, Decision: d}
	j.next = (j.next + 1) % journalSize
}

// decisionsOn returns the stored decisions on a request, oldest first.
func (j *journal) decisionsOn(id ident.RequestID) []TimedDecision {
	var found []TimedDecision
	for i := range j.ring {
		n := &j.ring[(j.next+i)%len(j.ring)]
		if n.ID == id {
			found = append(found, *n)
		}
	}
	return found
}
