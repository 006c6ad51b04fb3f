package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// turnDelay is the delay between two successive entries for taking a free slot: longer
// than a report takes to the others, so that the next entry sees that the slot is taken.
const turnDelay = 8 * time.Millisecond

// hasPrecedence reports whether this entry may send the ticket to a free slot now.
// When an entry releases a slot, all others of the cell with waiting requests receive
// the report at the same time. If all of them took it, the target would get ten requests for
// one slot: with 78 entries under overload, targets held 1.4 requests per slot, and the
// queues of those shared by all cells were full. So the entries take turns:
// those with more urgent requests go first, since otherwise each entry would use the slots
// that it frees itself for its less urgent requests; those with equally urgent ones follow in
// an order that differs by target. An entry takes a slot that it has released itself at once
// for a request as urgent as those of the others.
func (s *Scheduler) hasPrecedence(now time.Time, t *target, ticket *Ticket) bool {
	urgency := ticket.urgency
	ahead, known := t.snapshot.ahead[urgency]
	if !known {
		ahead = s.entriesAhead(now, t, urgency)
		t.snapshot.ahead[urgency] = ahead
	}
	return ahead == 0 || !now.Before(t.freeSince.Add(time.Duration(ahead)*turnDelay))
}

// entriesAhead returns the number of entries that precede this one for such a request.
func (s *Scheduler) entriesAhead(now time.Time, t *target, urgency Urgency) int {
	freedHere := t.releasedAt.Equal(now)
	ahead := 0
	for name, peer := range s.peers {
		if now.Sub(peer.at) > reportTTL {
			continue
		}
		theirs, waits := peer.waiting[t.Service]
		switch {
		case !waits || theirs > urgency:
		case theirs < urgency, !freedHere && s.precedes(name, t):
			ahead++
		}
	}
	return ahead
}

// precedes reports whether a peer precedes this entry if both have equally urgent
// requests.
func (s *Scheduler) precedes(peer string, t *target) bool {
	return xxhash.Sum64String(t.incarnation+peer) < xxhash.Sum64String(t.incarnation+s.config.Name)
}

// trackFree records since when a target has a free slot.
func (t *target) trackFree(now time.Time, free bool) {
	switch {
	case !free:
		t.freeSince = time.Time{}
	case t.freeSince.IsZero():
		t.freeSince = now
	}
}
