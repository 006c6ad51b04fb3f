package peerset

import (
	"cmp"
	"slices"
	"time"

	"sycamoretrail/internal/core/dispatch"
)

const (
	// relaysPerCell is the number of entries of a cell that report its status: the first ones
	// that are live. When one is lost, the next takes over within the failure-detection
	// timeout of the cell, long before the other cells consider the whole cell unresponsive.
	relaysPerCell = 1
	// hubCandidates is the number of entries of a zone, by rank, from which its hub is chosen.
	hubCandidates = 16
)

// Cells is the division into cells as seen by this entry. A cell belongs to the availability
// zone of its first entry.
type Cells struct {
	// Own is this entry's cell, Count the number of cells, Entries the number of entries
	// that are live and do not drain, including this one.
	Own, Count, Entries int
	// Peers are the other entries of the cell that do not drain. Audience is Peers and the
	// draining entries that would be in the cell.
	Peers, Audience []Entry
	// IsRelay reports whether this entry reports the status of its cell.
	IsRelay bool
	// Zone is the zone to which the cell belongs.
	Zone string
	// Siblings are the entries of the other cells of the zone, by cell.
	Siblings [][]Entry
	// Hubs are the first entries by rank in the cells of each zone.
	Hubs map[string][]Entry
}

// Cells divides the live entries into cells. staying reports whether this entry does not
// drain.
func (s *Set) Cells(now time.Time, staying bool) Cells {
	present := s.presentMembers(now)
	c := Cells{Entries: len(present), Count: dispatch.Cells(len(present)), Hubs: make(map[string][]Entry)}
	own, _ := slices.BinarySearchFunc(present, &s.self, compareMembers)
	c.Own = dispatch.CellOf(own, c.Entries)
	zones := zonesOf(present, c.Count)
	c.Zone = zones[c.Own]
	s.divide(now, &c, present, zones)
	c.IsRelay = staying && c.Count > 1 && s.isRelay(now, c, present[:own])
	for _, zone := range zones {
		if _, known := c.Hubs[zone]; !known {
			c.Hubs[zone] = firstInRank(present, zones, zone)
		}
	}
	return c
}

// presentMembers returns the entries that are live and do not drain, including this one, in
// the order of their positions.
func (s *Set) presentMembers(now time.Time) []*Member {
	present := make([]*Member, 0, len(s.order)+1)
	for _, m := range s.order {
		if m.State != Draining && s.live(now, m) {
			present = append(present, m)
		}
	}
	at, _ := slices.BinarySearchFunc(present, &s.self, compareMembers)
	return slices.Insert(present, at, &s.self)
}

// zonesOf returns the zone to which each cell belongs.
func zonesOf(present []*Member, cells int) []string {
	zones := make([]string, cells)
	for i := len(present) - 1; i >= 0; i-- {
		zones[dispatch.CellOf(i, len(present))] = present[i].Zone
	}
	return zones
}

// divide sets the entries of this entry's cell and of the other cells of its zone.
func (s *Set) divide(now time.Time, c *Cells, present []*Member, zones []string) {
	siblings := make(map[int][]Entry)
	for i, m := range present {
		cell := dispatch.CellOf(i, c.Entries)
		switch {
		case cell == c.Own && m != &s.self:
			c.Peers = append(c.Peers, m.Entry)
		case cell != c.Own && zones[cell] == c.Zone:
			siblings[cell] = append(siblings[cell], m.Entry)
		}
	}
	for cell := range c.Count {
		if entries := siblings[cell]; len(entries) > 0 {
			c.Siblings = append(c.Siblings, entries)
		}
	}
	c.Audience = slices.Clone(c.Peers)
	for _, m := range s.order {
		if m.State == Draining && s.live(now, m) && dispatch.CellOf(positionAmong(present, m), c.Entries) == c.Own {
			c.Audience = append(c.Audience, m.Entry)
		}
	}
}

// isRelay reports whether fewer than relaysPerCell of the entries before this one are in its
// cell and have direct contact with it.
func (s *Set) isRelay(now time.Time, c Cells, before []*Member) bool {
	ahead := 0
	for i, m := range before {
		if dispatch.CellOf(i, c.Entries) == c.Own && now.Sub(m.LastDirect) < s.config.FailureTimeout {
			ahead++
		}
	}
	return ahead < relaysPerCell
}

// firstInRank returns the first entries by rank in the cells that belong to a zone.
func firstInRank(present []*Member, zones []string, zone string) []Entry {
	var first []*Member
	for i, m := range present {
		if m.lost || zones[dispatch.CellOf(i, len(present))] != zone {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, m, compareRanks)
		if at < hubCandidates {
			first = slices.Insert(first, at, m)
			first = first[:min(len(first), hubCandidates)]
		}
	}
	entries := make([]Entry, 0, len(first))
	for _, m := range first {
		entries = append(entries, m.Entry)
	}
	return entries
}

func compareRanks(a, b *Member) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name))
}

// positionAmong returns the number of entries, sorted by position, that come before an entry,
// at most the last position.
func positionAmong(sorted []*Member, m *Member) int {
	i, _ := slices.BinarySearchFunc(sorted, m, compareMembers)
	return min(i, len(sorted)-1)
}

// DirectTimeout is the time for which a direct contact shows that an entry is live: two
// heartbeats and a delay.
const DirectTimeout = 600 * time.Millisecond

// Direct returns the entries with which this one has direct contact, whatever cell they
// consider themselves in.
func (s *Set) Direct(now time.Time) []Member {
	return s.filter(func(m *Member) bool { return now.Sub(m.LastDirect) < DirectTimeout })
}

const (
	// suspectTimeout is the time after which a suspect that has not answered pings is lost:
	// three heartbeats, each with a ping.
	suspectTimeout = 750 * time.Millisecond
	// reportTimeout is the time for which the report of another relay shows that an entry has
	// moved to its cell: two intervals of blocks and their delay.
	reportTimeout = 1100 * time.Millisecond
)

// suspect reports whether an entry has had no direct contact with this one for a while, and no
// other relay reports it.
func (s *Set) suspect(now time.Time, m *Member) bool {
	silence := now.Sub(m.LastDirect)
	return m.State != Draining && silence >= DirectTimeout && silence < s.failureTimeout() && now.Sub(m.reported) >= reportTimeout && s.live(now, m)
}

// Suspects returns the entries that should be pinged, since they are lost, or consider
// themselves in another cell.
func (s *Set) Suspects(now time.Time) []Entry {
	var suspects []Entry
	for _, m := range s.order {
		switch {
		case !s.suspect(now, m):
			m.suspectedAt = time.Time{}
			continue
		case m.suspectedAt.IsZero():
			m.suspectedAt = now
		}
		suspects = append(suspects, m.Entry)
	}
	return suspects
}

// Silent returns the suspects that have not answered pings. It returns none if they are more
// than half of all that had contact: this entry has then been suspended or partitioned itself.
func (s *Set) Silent(now time.Time) []Member {
	silent := s.filter(func(m *Member) bool {
		return !m.suspectedAt.IsZero() && now.Sub(m.suspectedAt) >= suspectTimeout && s.suspect(now, m)
	})
	if len(silent) > len(s.Direct(now)) {
		return nil
	}
	return silent
}

// NextProbe returns the unresponsive entry to be probed next, as turn increases; false: none is
// unresponsive. Heartbeats and digests go to live entries only. Without probes, two parts of
// a fleet would never reconnect after a network partition.
func (s *Set) NextProbe(now time.Time, turn int) (Entry, bool) {
	unresponsive := 0
	for _, m := range s.order {
		if !s.live(now, m) {
			unresponsive++
		}
	}
	if unresponsive == 0 {
		return Entry{}, false
	}
	skip := turn % unresponsive
	for _, m := range s.order {
		if s.live(now, m) {
			continue
		}
		if skip == 0 {
			return m.Entry, true
		}
		skip--
	}
	return Entry{}, false
}
