package peerset

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Token stands for an entry together with its incarnation and state. A relay that reports an
// unchanged entry sends only its token, a thirtieth of its status.
type Token uint32

// TokenBytes is the encoded size of a token.
const TokenBytes = 4

// TokenOf returns the token of an entry in a state.
func TokenOf(entry Entry, state State, storeDisconnected bool) Token {
	data := binary.BigEndian.AppendUint64([]byte(entry.Name), entry.Incarnation)
	data = append(data, byte(state), 0)
	if storeDisconnected {
		data[len(data)-1] = 1
	}
	return Token(xxhash.Sum64(data))
}

// Token returns the token of a member.
func (m *Member) Token() Token { return m.token }

func (s *Set) setToken(m *Member) {
	if s.byToken[m.token] == m {
		delete(s.byToken, m.token)
	}
	before := m.token
	m.token = TokenOf(m.Entry, m.State, m.StoreDisconnected)
	if m.token != before {
		m.reported = time.Time{}
	}
	s.byToken[m.token] = m
}

// Reported reports whether another relay has reported the member in its present state within
// a time.
func (m *Member) Reported(now time.Time, within time.Duration) bool {
	return now.Sub(m.reported) < within
}

// heartbeatAge is the typical age of the last heartbeat of an entry whose token is reported.
const heartbeatAge = 250 * time.Millisecond

// Confirm records that a relay has reported a token at a time: the entry was live, in the state
// for which the token stands. It returns nil if no such entry is
// known. joined: the entry was not live before. own: the relay is this entry.
func (s *Set) Confirm(now, at time.Time, token Token, own bool) (m *Member, joined bool) {
	m, found := s.byToken[token]
	if !found || !s.present(m.Name, m) {
		return nil, false
	}
	if !own && at.After(m.reported) {
		m.reported = at
	}
	wasLive := s.live(now, m)
	if contact := at.Add(-heartbeatAge); contact.After(m.LastContact) {
		m.LastContact, m.lost = contact, false
	}
	return m, !wasLive && s.live(now, m)
}

// ByToken returns the member for which a token stands.
func (s *Set) ByToken(token Token) (Member, bool) {
	m, found := s.byToken[token]
	if !found || !s.present(m.Name, m) {
		return Member{}, false
	}
	return *m, true
}

// Knows reports whether a token stands for a known entry.
func (s *Set) Knows(token Token) bool {
	_, found := s.ByToken(token)
	return found
}

// Find returns the entry with a name.
func (s *Set) Find(name string) (Entry, bool) {
	m, found := s.members[name]
	if !found {
		return Entry{}, false
	}
	return m.Entry, true
}

func (s *Set) present(name string, m *Member) bool { return s.members[name] == m }

// SetLost records the report of an entry's cell that it has lost contact with an incarnation
// since a time. The entry gets no callers until there is contact again; it stays in its cell
// until the failure-detection timeout, so that a slow entry does not change the division of all
// others. It reports whether the entry counted as serving until now. A report that contradicts
// this entry's own contact is ignored.
func (s *Set) SetLost(now, at time.Time, name string, incarnation uint64) bool {
	m, found := s.members[name]
	if !found || m.Incarnation != incarnation || !s.serves(now, m) || m.LastContact.After(at.Add(s.config.FailureTimeout)) {
		return false
	}
	m.lost = true
	return true
}
