package peerset

import (
	"cmp"
	"slices"
	"time"

	"sycamoretrail/internal/core/dispatch"
)

const (
	// relays is the number of entries of a cell that pass on its word: the first of those
	// that are heard, so that when one is lost the next takes over within the silence limit
	// of the cell, long before the others take the whole cell for silent.
	relays = 1
	// directFor is how long an entry counts as heard without a relay: eight heartbeats.
	directFor = 2 * time.Second
)

// Cells is how this entry sees the cells at a moment.
type Cells struct {
	// Own is this entry's cell, Count their number, Entries that of all that serve, this
	// one included.
	Own, Count, Entries int
	// Mates are the other entries of the cell that serve, Audience all others that live
	// and would be in the cell if they served.
	Mates, Audience []Entry
	// Relays: this entry is one of those that pass on the word of the cell.
	Relays bool
	// Others are the entries that serve in the other cells, by cell, if Relays.
	Others [][]Entry
}

// Cells divides the live entries. ready: this entry serves.
func (s *Set) Cells(now time.Time, ready bool) Cells {
	serving := make([]*Member, 0, len(s.order))
	for _, m := range s.order {
		if s.serves(now, m) {
			serving = append(serving, m)
		}
	}
	c := Cells{Entries: len(serving) + 1}
	c.Count = dispatch.Cells(c.Entries)
	own := placeAmong(serving, dispatch.Place(s.self.Zone, s.self.Name))
	c.Own = dispatch.CellOf(own, c.Entries)
	ahead := 0
	for i, m := range serving {
		switch {
		case cellAt(i, own, c.Entries) != c.Own:
		case i < own && now.Sub(m.Direct) < s.config.Silence:
			ahead++
			fallthrough
		default:
			c.Mates = append(c.Mates, m.Entry)
		}
	}
	c.Audience = slices.Clone(c.Mates)
	for _, m := range s.order {
		if m.State != Ready && s.live(now, m) && dispatch.CellOf(placeAmong(serving, m.place), c.Entries) == c.Own {
			c.Audience = append(c.Audience, m.Entry)
		}
	}
	if c.Relays = ready && c.Count > 1 && ahead < relays; c.Relays {
		c.Others = others(serving, own, c)
	}
	return c
}

// cellAt is the cell of the i-th of the others, where this entry comes after own of them.
func cellAt(i, own, entries int) int {
	if i >= own {
		i++
	}
	return dispatch.CellOf(i, entries)
}

func others(serving []*Member, own int, c Cells) [][]Entry {
	others := make([][]Entry, c.Count)
	for i, m := range serving {
		if cell := cellAt(i, own, c.Entries); cell != c.Own {
			others[cell] = append(others[cell], m.Entry)
		}
	}
	return others
}

// placeAmong is the number of entries, in the order of their places, that come before
// a place.
func placeAmong(sorted []*Member, place uint64) int {
	i, _ := slices.BinarySearchFunc(sorted, place, func(m *Member, place uint64) int { return cmp.Compare(m.place, place) })
	return i
}

// Relayed returns the entries whose word this one passes on: those that it has heard
// itself of late, whatever the cell in which they count themselves.
func (s *Set) Relayed(now time.Time) []Member {
	return s.filter(func(m *Member) bool { return now.Sub(m.Direct) < directFor })
}

// Probed is the silent entry whose turn it is to be told that this one lives, as turns go
// up; false: none is silent. Heartbeats and digests go to entries that are heard. Without
// probes two parts of a fleet that were cut off from each other would never meet again.
func (s *Set) Probed(now time.Time, turn int) (Entry, bool) {
	silent := s.filter(func(m *Member) bool { return !s.live(now, m) })
	if len(silent) == 0 {
		return Entry{}, false
	}
	return silent[turn%len(silent)].Entry, true
}
