package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// turnStep is the time by which entries of a cell take turns for a place: longer than
// a report takes to the others, so that who comes next sees that it is taken.
const turnStep = 8 * time.Millisecond

// mayTake reports whether it is this entry's turn for a free place. When an entry gives
// a place back and has nothing to send there, all others of the cell that have requests
// waiting see it at once. Taken by all of them, the target gets ten requests for one
// place: measured at 78 entries under overload, targets held 1.4 requests for each
// place, and those shared by all cells were filled to the end of their own queues. So
// each entry waits its turn, in an order that differs by target. A place that it has
// given back itself, and any place while nobody waits, it takes at once.
func (s *Scheduler) mayTake(now time.Time, t *target) bool {
	if t.freed.Equal(now) || !s.contended(now, t.pool) {
		return true
	}
	return !now.Before(t.freeSince.Add(time.Duration(s.turn(t)) * turnStep))
}

// contended reports whether requests wait for the pool, here or elsewhere.
func (s *Scheduler) contended(now time.Time, p *pool) bool {
	if len(p.waiting) > 1 {
		return true
	}
	for _, peer := range s.peers {
		if now.Sub(peer.at) > reportLife {
			continue
		}
		for _, n := range peer.waiting {
			if n > 0 {
				return true
			}
		}
	}
	return false
}

// turn is this entry's place among those that report their load, for one target.
func (s *Scheduler) turn(t *target) int {
	if t.turnOf == s.reporting {
		return t.turn
	}
	own := xxhash.Sum64String(t.ID + s.config.Name)
	t.turn, t.turnOf = 0, s.reporting
	for name := range s.peers {
		if xxhash.Sum64String(t.ID+name) < own {
			t.turn++
		}
	}
	return t.turn
}

// observe notes since when a target has room.
func (t *target) observe(now time.Time, load int) {
	switch {
	case load >= t.limit():
		t.freeSince = time.Time{}
	case t.freeSince.IsZero():
		t.freeSince = now
	}
}
