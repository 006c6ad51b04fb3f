// Package peerset keeps what an entry knows of the other entries: who is heard,
// where callers may be sent, and who may still be at work unheard. The register
// of entries only says whom to talk to; being heard is what counts. Entries are divided
// into cells: those of a cell hear each other, those of other cells are heard through
// relays, so that what membership costs an entry does not grow with the square of the
// fleet.
//
// Time is an argument. A Set is not safe for concurrent use.
package peerset

import (
	"cmp"
	"slices"
	"time"

	"sycamoretrail/internal/core/dispatch"
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

// Config sets the intervals.
type Config struct {
	// Silence is how long an entry may be unheard and still get callers, where all
	// entries hear each other.
	Silence time.Duration
	// RelayedSilence is the same where there are several cells: word of other cells comes
	// through relays, some of which may be lost.
	RelayedSilence time.Duration
	// Removal is how long an entry may be unheard and still count as one that may
	// be serving: instances are replaced for good without notice.
	Removal time.Duration
}

// Member is another entry.
type Member struct {
	Entry
	State State
	// Heard is when its last word came, Started when it began, both on this clock.
	Heard, Started time.Time
	// Blind: it cannot read the store.
	Blind bool
	// Version is the configuration that it has in force.
	Version int64
	// Sequence is the number of its last message, Direct when it was last heard without
	// a relay.
	Sequence uint64
	Direct   time.Time
	// place orders entries before they are divided into cells; see dispatch.Place.
	place uint64
}

// Word is what an entry has said of itself.
type Word struct {
	Entry
	State State
	// Sequence rises with each message of an incarnation.
	Sequence uint64
	// Age is how long the entry had been running when it said so.
	Age     time.Duration
	Blind   bool
	Version int64
	// Relayed: another entry has passed it on, which knows no addresses.
	Relayed bool
}

// News is what a word changes.
type News struct {
	// Old: a later word is known, or this one is of an incarnation that has been replaced.
	Old bool
	// Unknown: the entry is not known, and the word does not tell its addresses.
	Unknown bool
	// Joined: it was not live before. Returned: it had been, until it fell silent.
	// Replaced: it is another incarnation than was known.
	Joined, Returned, Replaced bool
}

// Set holds the other entries by name.
type Set struct {
	config  Config
	self    Entry
	members map[string]*Member
	// order holds the members by place.
	order []*Member
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
		known = s.add(entry)
		known.Started, known.Heard = now, now.Add(-s.silence())
		return
	}
	if !s.live(now, known) && known.Incarnation != entry.Incarnation {
		known.Entry = entry
		known.Sequence = 0
	}
}

// add makes a member that has not been heard.
func (s *Set) add(entry Entry) *Member {
	m := &Member{Entry: entry, place: dispatch.Place(entry.Zone, entry.Name)}
	s.members[entry.Name] = m
	at, _ := slices.BinarySearchFunc(s.order, m, compareMembers)
	s.order = slices.Insert(s.order, at, m)
	return m
}

// compareMembers orders members as they are divided into cells.
func compareMembers(a, b *Member) int {
	return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.Name, b.Name))
}

// Heard takes an entry's word; at is when it was said, on this clock.
func (s *Set) Heard(now, at time.Time, word Word) News {
	if word.Name == s.self.Name {
		return News{Old: true}
	}
	known, found := s.members[word.Name]
	if !found {
		if word.Relayed {
			return News{Unknown: true}
		}
		known = s.add(word.Entry)
	}
	started := at.Add(-word.Age)
	if found && s.outdated(now, known, word, started) {
		return News{Old: true}
	}
	news := News{Joined: !found || !s.live(now, known), Replaced: found && known.Incarnation != word.Incarnation}
	news.Returned = news.Joined && found && known.Sequence > 0
	if word.Relayed {
		known.Incarnation = word.Incarnation
	} else {
		known.Entry, known.Direct = word.Entry, at
	}
	known.State, known.Blind, known.Version, known.Sequence = word.State, word.Blind, word.Version, word.Sequence
	known.Heard, known.Started = at, started
	return news
}

// outdated reports whether a word is older than what is known. Datagrams come late, and
// relays pass on the word of an incarnation that they do not know to be replaced.
func (s *Set) outdated(now time.Time, known *Member, word Word, started time.Time) bool {
	if known.Incarnation == word.Incarnation {
		return word.Sequence <= known.Sequence
	}
	return known.Started.After(started) && s.live(now, known)
}

// Touched notes any other message of an entry, such as a report of its load, which also
// shows that it lives; false: it is old, or its sender is not known yet.
func (s *Set) Touched(now time.Time, name string, incarnation, sequence uint64) bool {
	known, found := s.members[name]
	if !found || known.Incarnation != incarnation || sequence <= known.Sequence {
		return false
	}
	known.Sequence, known.Heard, known.Direct = sequence, now, now
	return true
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
	s.order = slices.DeleteFunc(s.order, func(m *Member) bool { return s.members[m.Name] != m })
	return old
}

// Members returns all other entries that may be serving, in the order of their places.
func (s *Set) Members() []Member {
	return s.filter(func(*Member) bool { return true })
}

func (s *Set) filter(holds func(*Member) bool) []Member {
	var members []Member
	for _, m := range s.order {
		if holds(m) {
			members = append(members, *m)
		}
	}
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
	return s.filter(func(m *Member) bool { return s.serves(now, m) })
}

func (s *Set) serves(now time.Time, m *Member) bool { return m.State == Ready && s.live(now, m) }

// Readers returns the live entries among which the one is chosen that reads the
// store for the others: those that serve and can read it; where there are none, all
// that live.
func (s *Set) Readers(now time.Time) []Member {
	able := s.filter(func(m *Member) bool { return s.serves(now, m) && !m.Blind })
	if len(able) > 0 {
		return able
	}
	return s.filter(func(m *Member) bool { return m.State != Draining && s.live(now, m) })
}

// Size is the number of entries that may be serving, this one included.
func (s *Set) Size() int { return len(s.members) + 1 }

func (s *Set) silence() time.Duration {
	if dispatch.Cells(s.Size()) > 1 {
		return s.config.RelayedSilence
	}
	return s.config.Silence
}
