// Package peerset tracks the other entries: which are live, to which callers may be sent,
// and which may still be serving without contact. The registry of entries only provides the
// addresses; an entry counts as live only by the messages received from it. Entries are
// divided into cells: the entries of a cell exchange messages directly, and those of other
// cells are reached through relays, so that the messages for membership do not grow with the
// square of the fleet.
//
// Time is passed as an argument. A Set is not safe for concurrent use.
package peerset

import (
	"cmp"
	"slices"
	"time"

	"sycamoretrail/internal/core/dispatch"
)

// State is the state that an entry reports.
type State uint8

const (
	// Starting: it has no configuration yet.
	Starting State = iota
	// Ready: it accepts callers.
	Ready
	// Draining: it finishes its requests and accepts no new callers.
	Draining
)

func (s State) String() string { return [...]string{"starting", "ready", "draining"}[s] }

// Entry identifies one run of one entry.
type Entry struct {
	Name        string
	Incarnation uint64
	Zone        string
	// Callers is the address for callers, Links the address for the other entries.
	Callers, Links string
}

// Config sets the intervals.
type Config struct {
	// FailureTimeout is the failure-detection timeout where all entries exchange messages directly:
	// an entry without contact for longer gets no callers.
	FailureTimeout time.Duration
	// RelayedFailureTimeout is the failure-detection timeout where there are several cells: the
	// status of entries of other cells arrives through relays, and some of these messages
	// may be lost.
	RelayedFailureTimeout time.Duration
	// Removal is the time without contact after which an entry no longer counts as one that
	// may be serving: instances are replaced permanently without notice.
	Removal time.Duration
}

// Member is another entry.
type Member struct {
	Entry
	State State
	// LastContact is the time of the last contact, Started when it started, both by the
	// local clock.
	LastContact, Started time.Time
	// StoreDisconnected: it is disconnected from the store.
	StoreDisconnected bool
	// Version is the version of the configuration in force at the entry.
	Version int64
	// Sequence is the number of its last message, LastDirect the time of the last contact
	// without a relay.
	Sequence   uint64
	LastDirect time.Time
	// position determines the order in which entries are divided into cells; see
	// dispatch.Place.
	position uint64
}

// Status is the status that an entry reports.
type Status struct {
	Entry
	State State
	// Sequence increases with each message of an incarnation.
	Sequence uint64
	// Age is how long the entry had been running when it sent the status.
	Age               time.Duration
	StoreDisconnected bool
	Version           int64
	// Relayed: the status was passed on by another entry. Such a status has no addresses.
	Relayed bool
}

// Update is the effect of a status.
type Update struct {
	// Outdated: the status is outdated: a later one has been received, or its incarnation has
	// been replaced.
	Outdated bool
	// Unknown: the entry is not known, and the status does not have its addresses.
	Unknown bool
	// Joined: it was not live before. Returned: it had been live before it became
	// unresponsive. Replaced: its incarnation is not the one known before.
	Joined, Returned, Replaced bool
}

// Set holds the other entries by name.
type Set struct {
	config  Config
	self    Entry
	members map[string]*Member
	// order holds the members by position.
	order []*Member
}

// New returns a set without other entries.
func New(config Config, self Entry) *Set {
	return &Set{config: config, self: self, members: make(map[string]*Member)}
}

// AddRegistered adds an entry from the registry. It is not live before there is contact.
func (s *Set) AddRegistered(now time.Time, entry Entry) {
	if entry.Name == s.self.Name {
		return
	}
	known, found := s.members[entry.Name]
	if !found {
		known = s.add(entry)
		known.Started, known.LastContact = now, now.Add(-s.failureTimeout())
		return
	}
	if !s.live(now, known) && known.Incarnation != entry.Incarnation {
		known.Entry = entry
		known.Sequence = 0
	}
}

// add adds a member without contact.
func (s *Set) add(entry Entry) *Member {
	m := &Member{Entry: entry, position: dispatch.CellKey(entry.Zone, entry.Name)}
	s.members[entry.Name] = m
	at, _ := slices.BinarySearchFunc(s.order, m, compareMembers)
	s.order = slices.Insert(s.order, at, m)
	return m
}

// compareMembers orders members as they are divided into cells.
func compareMembers(a, b *Member) int {
	return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.Name, b.Name))
}

// ApplyStatus applies the status of an entry, sent at the given time by the local clock.
func (s *Set) ApplyStatus(now, at time.Time, status Status) Update {
	if status.Name == s.self.Name {
		return Update{Outdated: true}
	}
	known, found := s.members[status.Name]
	if !found {
		if status.Relayed {
			return Update{Unknown: true}
		}
		known = s.add(status.Entry)
	}
	started := at.Add(-status.Age)
	if found && s.outdated(now, known, status, started) {
		return Update{Outdated: true}
	}
	update := Update{Joined: !found || !s.live(now, known), Replaced: found && known.Incarnation != status.Incarnation}
	update.Returned = update.Joined && found && known.Sequence > 0
	if status.Relayed {
		known.Incarnation = status.Incarnation
	} else {
		known.Entry, known.LastDirect = status.Entry, at
	}
	known.State, known.StoreDisconnected, known.Version, known.Sequence = status.State, status.StoreDisconnected, status.Version, status.Sequence
	known.LastContact, known.Started = at, started
	return update
}

// outdated reports whether a status is older than the known one. Datagrams may arrive late,
// and relays pass on the status of an incarnation while they do not know that it has been
// replaced.
func (s *Set) outdated(now time.Time, known *Member, status Status, started time.Time) bool {
	if known.Incarnation == status.Incarnation {
		return status.Sequence <= known.Sequence
	}
	return known.Started.After(started) && s.live(now, known)
}

// RecordContact records any other message of an entry, such as a report of its load, which also
// shows that it is live. It returns false if the message is outdated or its sender is not
// known yet.
func (s *Set) RecordContact(now time.Time, name string, incarnation, sequence uint64) bool {
	known, found := s.members[name]
	if !found || known.Incarnation != incarnation || sequence <= known.Sequence {
		return false
	}
	known.Sequence, known.LastContact, known.LastDirect = sequence, now, now
	return true
}

// Prune removes entries without contact for the removal time and returns them. An entry that
// has contact with less than half of the others removes none: it may itself be partitioned,
// and the others rely on it to stay within its share.
func (s *Set) Prune(now time.Time) []Entry {
	var expired []Entry
	for _, m := range s.members {
		if now.Sub(m.LastContact) > s.config.Removal {
			expired = append(expired, m.Entry)
		}
	}
	if len(expired)*2 > len(s.members) {
		return nil
	}
	for _, entry := range expired {
		delete(s.members, entry.Name)
	}
	s.order = slices.DeleteFunc(s.order, func(m *Member) bool { return s.members[m.Name] != m })
	return expired
}

// Members returns all other entries that may be serving, in the order of their positions.
func (s *Set) Members() []Member {
	return s.filter(func(*Member) bool { return true })
}

func (s *Set) filter(match func(*Member) bool) []Member {
	var members []Member
	for _, m := range s.order {
		if match(m) {
			members = append(members, *m)
		}
	}
	return members
}

// Entry returns another entry by name.
func (s *Set) Entry(name string) (Entry, bool) {
	m, found := s.members[name]
	if !found {
		return Entry{}, false
	}
	return m.Entry, true
}

// Live reports whether there was contact with an entry within the failure-detection timeout.
func (s *Set) Live(now time.Time, name string) bool {
	m, found := s.members[name]
	return found && s.live(now, m)
}

func (s *Set) live(now time.Time, m *Member) bool { return now.Sub(m.LastContact) < s.failureTimeout() }

// Serving returns the other entries that callers may be sent to.
func (s *Set) Serving(now time.Time) []Member {
	return s.filter(func(m *Member) bool { return s.serves(now, m) })
}

func (s *Set) serves(now time.Time, m *Member) bool { return m.State == Ready && s.live(now, m) }

// Readers returns the live entries from which the reader of the store is chosen: those that
// serve and can read the store or, if there are none, all that are not draining.
func (s *Set) Readers(now time.Time) []Member {
	able := s.filter(func(m *Member) bool { return s.serves(now, m) && !m.StoreDisconnected })
	if len(able) > 0 {
		return able
	}
	return s.filter(func(m *Member) bool { return m.State != Draining && s.live(now, m) })
}

// Size returns the number of entries that may be serving, including this one.
func (s *Set) Size() int { return len(s.members) + 1 }

func (s *Set) failureTimeout() time.Duration {
	if dispatch.Cells(s.Size()) > 1 {
		return s.config.RelayedFailureTimeout
	}
	return s.config.FailureTimeout
}
