package scheduler

import (
	"sycamoretrail/internal/core/floors"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

type (
	identity = ident.Incarnation
	verdict  = floors.Result
)

// roomKind says how a target could take a request, the best last.
type roomKind uint8

const (
	roomNone roomKind = iota
	roomByPreemption
	roomByDisplacement
	roomInQueue
	roomFree
)

// room finds the target of a pool that can best take a request now, other than
// except, and tells it to expect that one; nil if none can.
func (s *Scheduler) room(pool string, need message.Offer, except *target, least roomKind) (best *target, cost int) {
	kind := least - 1
	for _, t := range s.pools[pool] {
		if t == except || t.desc.Name == need.Target {
			continue
		}
		k := s.roomAt(t, need)
		c := s.costAt(t, k, need.Tier)
		if k > kind || best != nil && k == kind && c < cost {
			best, cost, kind = t, c, k
		}
	}
	if best != nil {
		best.expect(need.ID, need.Tier, kind == roomByPreemption)
	}
	return best, cost
}

// costAt is what making room there throws away, in tokens; 0: nothing.
func (s *Scheduler) costAt(t *target, kind roomKind, tier request.Tier) int {
	if kind != roomByPreemption {
		return 0
	}
	return 1 + t.computed(s.victim(t, tier))
}

// ownCandidate is the least costly run of ours that could be cancelled for an
// offer, at the target where it waits or another.
func (s *Scheduler) ownCandidate(o *offer) floors.Candidate {
	var own floors.Candidate
	if best, cost := s.room(o.target.desc.Pool, o.current(s.now), o.target, roomByPreemption); best != nil {
		own = floors.Candidate{Target: best.desc.Name, Cost: cost}
	}
	if r := s.victimFor(o); r != nil && s.mayPreemptHere(o) {
		if cost := 1 + o.target.computed(r); own.Target == "" || cost <= own.Cost {
			own = floors.Candidate{Target: o.target.desc.Name, Cost: cost}
		}
	}
	return own
}

func (s *Scheduler) roomAt(t *target, need message.Offer) roomKind {
	if !t.open() || s.lowestGranted(t).Above(need.Tier) || need.Alone && t.suspects > 0 {
		return roomNone
	}
	o := s.newOffer(t, s.self, need)
	if s.set.Early && o.Due.Before(s.now) || !s.admissible(o) {
		return roomNone
	}
	expected := t.expected(o.Tier)
	ahead := t.queue.Ahead(o.Tier, o.Organisation, o.Due) + expected
	inTime := !t.late(o, t.waitBehind(ahead, o.service))
	full := t.queue.Len()+expected >= max(1, s.set.QueuePerTarget)
	switch {
	case inTime && ahead < t.limit()-len(t.runs) && t.mayStart(&o.Item):
		return roomFree
	case inTime && !full:
		return roomInQueue
	case inTime && s.displaceable(t, o, expected):
		return roomByDisplacement
	case s.preemptibleRuns(t, o) > expected && s.inTimeByPreemption(t, o, ahead):
		return roomByPreemption
	}
	return roomNone
}

// inTimeByPreemption: the place of the run that is cancelled goes to whoever is
// first in the queue, so the offer must be in time with one less before it.
func (s *Scheduler) inTimeByPreemption(t *target, o *offer, ahead int) bool {
	r := s.victim(t, o.Tier)
	if r == nil || t.lateBeside(o, 0, t.loadWithout(r)) {
		return false
	}
	return ahead == 0 || !t.late(o, t.waitBehind(ahead-1, o.service))
}

func (s *Scheduler) displaceable(t *target, o *offer, expected int) bool {
	lower := 0
	for tier := int(o.Tier) + 1; tier < t.queue.Tiers(); tier++ {
		lower += t.queue.TierLen(request.Tier(tier))
	}
	return lower > expected
}

func (s *Scheduler) preemptibleRuns(t *target, o *offer) int {
	n := 0
	for _, r := range t.runs {
		if o.Tier.Above(r.offer.Tier) && t.preemptible(r) {
			n++
		}
	}
	return n
}

// expect notes that a request was told of room here. Two asks in a row must
// not be sent to the same last place.
func (t *target) expect(id ident.RequestID, tier request.Tier, preempts bool) {
	t.rooms[id] = expectation{tier: tier, until: t.clock.Add(t.set.tripTime()), preempts: preempts}
}

// expected counts the requests of a tier and above on their way here, and
// forgets the overdue. Lower ones make way when they come: counted, one of them
// would let a higher request be refused whose place it then takes.
// Their number is bounded, since room ends when it reaches what there is.
func (t *target) expected(tier request.Tier) int {
	n := 0
	for id, e := range t.rooms {
		if !t.clock.Before(e.until) {
			delete(t.rooms, id)
			continue
		}
		if !tier.Above(e.tier) {
			n++
		}
	}
	return n
}

// lowerLeft reports whether work below a tier runs, or may run, at our targets
// of a pool. If such work could make room by preemption for the request that
// is asked for, there would have been room. It is not judged by that request's
// deadline: the floor serves others of the tier too, which may have time to
// wait for its end. What runs at a target that has just changed its scheduler
// is not known, neither at the new one nor any more at the former.
func (s *Scheduler) lowerLeft(pool string, tier request.Tier) bool {
	if s.now.Before(s.parted[pool]) {
		return true
	}
	for _, t := range s.pools[pool] {
		if t.available && (!t.open() || t.lowerRuns(tier)) {
			return true
		}
	}
	return false
}

func (t *target) lowerRuns(tier request.Tier) bool {
	for _, r := range t.runs {
		if tier.Above(r.offer.Tier) {
			return true
		}
	}
	return false
}
