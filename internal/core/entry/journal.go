package entry

import (
	"time"

	"sycamoretrail/internal/core/ident"
)

// journalSize is how many decisions an entry remembers for explain.
const journalSize = 20000

// Noted is a decision with its time.
type Noted struct {
	At time.Time
	Decision
}

// journal keeps the latest decisions in a ring, for operators who ask why.
type journal struct {
	ring []Noted
	next int
}

func (j *journal) add(now time.Time, d Decision) {
	if len(j.ring) < journalSize {
		j.ring = append(j.ring, Noted{At: now, Decision: d})
		return
	}
	j.ring[j.next] = Noted{At: now, Decision: d}
	j.next = (j.next + 1) % journalSize
}

// about lists what is remembered of a request, the oldest first.
func (j *journal) about(id ident.RequestID) []Noted {
	var found []Noted
	for i := range j.ring {
		n := &j.ring[(j.next+i)%len(j.ring)]
		if n.ID == id {
			found = append(found, *n)
		}
	}
	return found
}
