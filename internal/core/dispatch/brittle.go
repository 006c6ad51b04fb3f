package dispatch

import "time"

// Brittleness is a target's declaration that it crashes if it has to reject more than a number of
// requests in a second for want of room, over all entries.
type Brittleness struct {
	Declared   bool
	Rejections int
	// Malformed: the declaration can't be read, so that the one before goes on to hold.
	Malformed bool
}

// maxBrittlePause bounds the time for which a brittle target gets nothing from an entry after a
// rejection: the target may have ended the declaration.
const maxBrittlePause = time.Minute

// ObserveBrittleness applies what an answer declares; an answer that declares nothing ends it. It
// reports whether that differs from what was known.
func (s *Scheduler) ObserveBrittleness(ticket *Ticket, brittleness Brittleness) (changed bool) {
	at := ticket.target
	if at == nil {
		return false
	}
	if brittleness.Malformed {
		brittleness.Declared, brittleness.Rejections = at.brittleness.Declared, at.brittleness.Rejections
	}
	if at.brittleness == brittleness {
		return false
	}
	at.brittleness = brittleness
	return true
}

// turns is the order in which entries try a target: their number and this entry's position among them.
type turns struct{ entries, position int }

// turnsAt returns the turns at a target, among the entries that report their load. Where cells share the
// target, those of the other cells are taken to be as many, and the cells' turns alternate.
func (s *Scheduler) turnsAt(now time.Time, t *target) turns {
	order := turns{entries: 1}
	for name, peer := range s.peers {
		if now.Sub(peer.at) > reportTTL {
			continue
		}
		order.entries++
		if s.precedes(name, t) {
			order.position++
		}
	}
	if sharing := t.pool.sharing; sharing > 1 {
		order.entries *= sharing
		order.position = order.position*sharing + s.cell
	}
	return order
}

// interval returns the time between two tries of a brittle target by the entries of a cell, so that
// it rejects no more than it bears if all are rejected.
func (b Brittleness) interval() time.Duration {
	return time.Second / time.Duration(max(1, b.Rejections))
}

// rejected updates the target after it has rejected a request. If it is brittle, the entries try it
// in turn, each with one request. Entries that were rejected at the same time are spread by their
// positions; after that each keeps its place by pausing for one round.
func (t *target) rejected(now time.Time, order turns) {
	pause := rejectionPause
	if t.brittleness.Declared {
		interval := t.brittleness.interval()
		round := min(maxBrittlePause, time.Duration(order.entries)*interval)
		pause = max(pause, round)
		if now.Sub(t.rejectedAt) > 2*round {
			pause += time.Duration(order.position) * interval
		}
		t.rejectedAt = now
	}
	t.ejectedUntil = later(t.ejectedUntil, now.Add(pause))
	t.probing = t.brittleness.Declared
}
