// Package peerset keeps what an entry knows of the other entries: who is heard,
// where callers may be sent, and who may still be at work unheard. The register
// of entries only says whom to talk to; being heard is what counts.
//
// Time is an argument. A Set is not safe for concurrent use.
package peerset

import (
	"slices"
	"strings"
	"time"
)

// State is what an entry says of itself.
type State uint8

const (
	// Starting: it has no configuration yet.
	Starting State = iota
	// Ready: it takes callers.
	Ready
	// Draining: it finishes what it has and takes no new callers.
	Draining
)

func (s State) String() string { return [...]string{"starting", "ready", "draining"}[s] }

// Entry identifies one run of one entry.
type Entry struct {
	Name        string
	Incarnation uint64
	Zone        string
	// Callers is where callers connect, Links where the other entries send to.
	Callers, Links string
}

// Config sets the intervals for up to ScaleMembers entries; both grow in steps
// beyond, so that the cost of heartbeats grows more slowly than their number.
type Config struct {
	Heartbeat time.Duration
	// Silence is how long an entry may be unheard and still get callers.
	Silence time.Duration
	// Removal is how long an entry may be unheard and still count as one that may
	// be serving: instances are replaced for good without notice.
	Removal time.Duration
}

// ScaleMembers is the number of entries for one step of the intervals.
const ScaleMembers = 24

// Member is another entry.
type Member struct {
	Entry
	State State
	// Heard is when its last word came, Started when it began, both on this clock.
	Heard, Started time.Time
	// Blind: it cannot read the store.
	Blind bool
}

// Set holds the other entries by name.
type Set struct {
	config  Config
	self    Entry
	members map[string]*Member
}

// New makes a set that knows only this entry.
func New(config Config, self Entry) *Set {
	return &Set{config: config, self: self, members: make(map[string]*Member)}
}

// Registered adds an entry that the register names. It is not live before it is heard.
func (s *Set) Registered(now time.Time, entry Entry) {
	if entry.Name == s.self.Name {
		return
	}
	known, found := s.members[entry.Name]
	if !found {
		s.members[entry.Name] = &Member{Entry: entry, Started: now, Heard: now.Add(-s.silence())}
		return
	}
	if !s.live(now, known) && known.Incarnation != entry.Incarnation {
		known.Entry = entry
	}
}

// Heard takes an entry's word of itself; age is how long it has been running. It
// reports whether the entry was not live before, and whether this is another
// incarnation than the one known.
func (s *Set) Heard(now time.Time, entry Entry, state State, age time.Duration, blind bool) (joined, replaced bool) {
	if entry.Name == s.self.Name {
		return false, false
	}
	started := now.Add(-age)
	known, found := s.members[entry.Name]
	if found && known.Incarnation != entry.Incarnation && known.Started.After(started) && s.live(now, known) {
		// A late datagram of an incarnation that has been replaced.
		return false, false
	}
	if !found {
		known = &Member{}
		s.members[entry.Name] = known
	}
	joined = !found || !s.live(now, known)
	replaced = found && known.Incarnation != entry.Incarnation
	*known = Member{Entry: entry, State: state, Heard: now, Started: started, Blind: blind}
	return joined, replaced
}

// Prune removes entries that have been unheard for too long and returns them. An
// entry that hears less than half of the others removes none: it may be the one
// that is cut off, and the others still count on its keeping to its share.
func (s *Set) Prune(now time.Time) []Entry {
	var old []Entry
	for _, m := range s.members {
		if now.Sub(m.Heard) > s.config.Removal {
			old = append(old, m.Entry)
		}
	}
	if len(old)*2 > len(s.members) {
		return nil
	}
	for _, entry := range old {
		delete(s.members, entry.Name)
	}
	return old
}

// Members returns all other entries that may be serving, by name.
func (s *Set) Members() []Member {
	members := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		members = append(members, *m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Live reports whether an entry has been heard within the silence limit.
func (s *Set) Live(now time.Time, name string) bool {
	m, found := s.members[name]
	return found && s.live(now, m)
}

func (s *Set) live(now time.Time, m *Member) bool { return now.Sub(m.Heard) < s.silence() }

// Serving returns the other entries that callers may be sent to.
func (s *Set) Serving(now time.Time) []Member {
	var serving []Member
	for _, m := range s.Members() {
		if m.State == Ready && s.live(now, &m) {
			serving = append(serving, m)
		}
	}
	return serving
}

// Readers returns the live entries among which the one is chosen that reads the
// store for the others: those that serve and can read it; where there are none, all
// that live.
func (s *Set) Readers(now time.Time) []Member {
	var able, live []Member
	for _, m := range s.Members() {
		if !s.live(now, &m) || m.State == Draining {
			continue
		}
		live = append(live, m)
		if m.State == Ready && !m.Blind {
			able = append(able, m)
		}
	}
	if len(able) > 0 {
		return able
	}
	return live
}

// Size is the number of entries that may be serving, this one included.
func (s *Set) Size() int { return len(s.members) + 1 }

// Heartbeat is the interval between two words to each other entry.
func (s *Set) Heartbeat() time.Duration { return s.config.Heartbeat * s.scale() }

func (s *Set) silence() time.Duration { return s.config.Silence * s.scale() }

func (s *Set) scale() time.Duration {
	return time.Duration((len(s.members) + ScaleMembers) / ScaleMembers)
}
