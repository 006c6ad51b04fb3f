package peerset

import (
	"cmp"
	"slices"
	"time"

	"sycamoretrail/internal/core/dispatch"
)

const (
	// relaysPerCell is the number of entries of a cell that relay its status: the first ones
	// that are live. When one is lost, the next takes over within the failure-detection
	// timeout of the cell, long before the other cells consider the whole cell unresponsive.
	relaysPerCell = 1
	// directTimeout is the time for which a contact without a relay is valid: eight
	// heartbeats.
	directTimeout = 2 * time.Second
)

// Cells is the division into cells as seen by this entry.
type Cells struct {
	// Own is this entry's cell, Count the number of cells, Entries the number of entries
	// that serve, including this one.
	Own, Count, Entries int
	// Peers are the other entries of the cell that serve. Audience is Peers and the live
	// entries that would be in the cell if they served.
	Peers, Audience []Entry
	// IsRelay reports whether this entry relays the status of its cell.
	IsRelay bool
	// OtherCells are the serving entries of the other cells, by cell, if IsRelay.
	OtherCells [][]Entry
}

// Cells divides the live entries into cells. ready reports whether this entry serves.
func (s *Set) Cells(now time.Time, ready bool) Cells {
	serving := make([]*Member, 0, len(s.order))
	for _, m := range s.order {
		if s.serves(now, m) {
			serving = append(serving, m)
		}
	}
	c := Cells{Entries: len(serving) + 1}
	c.Count = dispatch.Cells(c.Entries)
	own := positionAmong(serving, dispatch.CellKey(s.self.Zone, s.self.Name))
	c.Own = dispatch.CellOf(own, c.Entries)
	ahead := 0
	for i, m := range serving {
		switch {
		case cellAt(i, own, c.Entries) != c.Own:
		case i < own && now.Sub(m.LastDirect) < s.config.FailureTimeout:
			ahead++
			fallthrough
		default:
			c.Peers = append(c.Peers, m.Entry)
		}
	}
	c.Audience = slices.Clone(c.Peers)
	for _, m := range s.order {
		if m.State != Ready && s.live(now, m) && dispatch.CellOf(positionAmong(serving, m.position), c.Entries) == c.Own {
			c.Audience = append(c.Audience, m.Entry)
		}
	}
	if c.IsRelay = ready && c.Count > 1 && ahead < relaysPerCell; c.IsRelay {
		c.OtherCells = others(serving, own, c)
	}
	return c
}

// cellAt returns the cell of the i-th of the other entries, of which own come before this
// entry.
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

// positionAmong returns the number of entries, sorted by position, that come before a
// position.
func positionAmong(sorted []*Member, position uint64) int {
	i, _ := slices.BinarySearchFunc(sorted, position, func(m *Member, position uint64) int { return cmp.Compare(m.position, position) })
	return i
}

// RelayedMembers returns the entries whose status this one relays: those with recent direct
// contact, whatever cell they consider themselves in.
func (s *Set) RelayedMembers(now time.Time) []Member {
	return s.filter(func(m *Member) bool { return now.Sub(m.LastDirect) < directTimeout })
}

// NextProbe returns the unresponsive entry to be probed next, as turn increases; false: none is
// unresponsive. Heartbeats and digests go to live entries only. Without probes, two parts of
// a fleet would never reconnect after a network partition.
func (s *Set) NextProbe(now time.Time, turn int) (Entry, bool) {
	unresponsive := s.filter(func(m *Member) bool { return !s.live(now, m) })
	if len(unresponsive) == 0 {
		return Entry{}, false
	}
	return unresponsive[turn%len(unresponsive)].Entry, true
}
