package claims

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

// state is the result of applying the records of a partition in log order. Any
// two readers that have read all records within the horizon have equal states.
type state struct {
	keys map[request.KeyHash]*keyState
	// expiries[expired:] are in the order of reading and therefore of age.
	expiries []expiry
	expired  int
	// latest is the highest time in expiries. It keeps them in order although ages
	// are rounded and reading takes time.
	latest time.Time
}

// keyState is the state of one key.
type keyState struct {
	// claims are those not released, in log order.
	claims []claimTime
	// released are the released ids. A later claim of one of them has no effect.
	released []claimTime
}

// claimTime is an id and when its record was appended to the log.
type claimTime struct {
	id       ident.RequestID
	loggedAt time.Time
}

// expiry is a claim or release to expire, and when it was appended to the log.
type expiry struct {
	key      request.KeyHash
	id       ident.RequestID
	loggedAt time.Time
	release  bool
}

func newState() *state { return &state{keys: make(map[request.KeyHash]*keyState)} }

func (s *state) size() int { return len(s.expiries) - s.expired }

// holder returns the request that holds the key, or "" if none does.
func (s *state) holder(key request.KeyHash) ident.RequestID {
	if k := s.keys[key]; k != nil && len(k.claims) > 0 {
		return k.claims[0].id
	}
	return ""
}

func (s *state) has(c record.Claim) bool {
	k := s.keys[c.Key]
	return k != nil && indexOf(k.claims, c.ID) >= 0
}

func (s *state) isReleased(c record.Claim) bool {
	k := s.keys[c.Key]
	return k != nil && indexOf(k.released, c.ID) >= 0
}

func indexOf(list []claimTime, id ident.RequestID) int {
	return slices.IndexFunc(list, func(h claimTime) bool { return h.id == id })
}

func (s *state) stateOf(key request.KeyHash) *keyState {
	k := s.keys[key]
	if k == nil {
		k = &keyState{}
		s.keys[key] = k
	}
	return k
}

// scheduleExpiry adds a claim or release to expiries, and returns the time from
// which its age is counted.
func (s *state) scheduleExpiry(c record.Claim, loggedAt time.Time, release bool) time.Time {
	if loggedAt.After(s.latest) {
		s.latest = loggedAt
	}
	s.expiries = append(s.expiries, expiry{key: c.Key, id: c.ID, loggedAt: s.latest, release: release})
	return s.latest
}

// claim applies a claim that was read. A repeated claim keeps its position and
// expires later, since a reader that started between the two has only the second.
func (s *state) claim(c record.Claim, loggedAt time.Time) {
	k := s.stateOf(c.Key)
	if indexOf(k.released, c.ID) >= 0 {
		return
	}
	loggedAt = s.scheduleExpiry(c, loggedAt, false)
	if at := indexOf(k.claims, c.ID); at >= 0 {
		k.claims[at].loggedAt = loggedAt
		return
	}
	k.claims = append(k.claims, claimTime{id: c.ID, loggedAt: loggedAt})
}

// release applies a release that was read. It is remembered, because the claim
// may reach the log later. It would then hold the key without a request that runs
// or releases it again.
func (s *state) release(c record.Claim, loggedAt time.Time) {
	k := s.stateOf(c.Key)
	if at := indexOf(k.claims, c.ID); at >= 0 {
		k.claims = slices.Delete(k.claims, at, at+1)
	}
	loggedAt = s.scheduleExpiry(c, loggedAt, true)
	if at := indexOf(k.released, c.ID); at >= 0 {
		k.released[at].loggedAt = loggedAt
		return
	}
	k.released = append(k.released, claimTime{id: c.ID, loggedAt: loggedAt})
}

// expire removes the claims and releases that were appended before the given
// time.
func (s *state) expire(before time.Time) {
	for s.expired < len(s.expiries) && s.expiries[s.expired].loggedAt.Before(before) {
		s.remove(s.expiries[s.expired])
		s.expired++
	}
	if s.expired > len(s.expiries)/2 {
		s.expiries = slices.Delete(s.expiries, 0, s.expired)
		s.expired = 0
	}
}

func (s *state) remove(e expiry) {
	k := s.keys[e.key]
	if k == nil {
		return
	}
	list := &k.claims
	if e.release {
		list = &k.released
	}
	if at := indexOf(*list, e.id); at >= 0 && !(*list)[at].loggedAt.After(e.loggedAt) {
		*list = slices.Delete(*list, at, at+1)
	}
	if len(k.claims) == 0 && len(k.released) == 0 {
		delete(s.keys, e.key)
	}
}
