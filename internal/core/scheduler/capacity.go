package scheduler

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/core/tierfloor"
)

type (
	identity       = ident.Incarnation
	exchangeResult = tierfloor.Result
)

// capacityKind is how a target could accept a request, the best kind last.
type capacityKind uint8

const (
	capacityNone capacityKind = iota
	capacityByPreemption
	capacityByDisplacement
	capacityInQueue
	capacityFree
)

// findCapacity returns the target of a pool, other than except, that can best
// accept a request now, and reserves the capacity there. best is nil if no
// target can.
func (s *Scheduler) findCapacity(pool string, need message.Offer, except *target, least capacityKind) (best *target, cost int) {
	kind := least - 1
	for _, t := range s.pools[pool] {
		if t == except || t.desc.Name == need.Target {
			continue
		}
		k := s.capacityAt(t, need)
		c := s.preemptionCostAt(t, k, need.Tier)
		if k > kind || best != nil && k == kind && c < cost {
			best, cost, kind = t, c, k
		}
	}
	if best != nil {
		best.expect(need.ID, need.Tier, kind == capacityByPreemption)
	}
	return best, cost
}

// preemptionCostAt returns 1 plus the computed tokens of the run that has to be
// cancelled there, or 0 if none has to be.
func (s *Scheduler) preemptionCostAt(t *target, kind capacityKind, tier request.Tier) int {
	if kind != capacityByPreemption {
		return 0
	}
	return 1 + t.computedTokens(s.victim(t, tier))
}

// ownCandidate returns the cheapest run of this scheduler's targets that could be
// cancelled for an offer, at the target where it waits or at another.
func (s *Scheduler) ownCandidate(o *offer) tierfloor.Candidate {
	var own tierfloor.Candidate
	if best, cost := s.findCapacity(o.target.desc.Pool, o.current(s.now), o.target, capacityByPreemption); best != nil {
		own = tierfloor.Candidate{Target: best.desc.Name, Cost: cost}
	}
	if r := s.victimFor(o); r != nil && s.mayPreemptHere(o) {
		if cost := 1 + o.target.computedTokens(r); own.Target == "" || cost <= own.Cost {
			own = tierfloor.Candidate{Target: o.target.desc.Name, Cost: cost}
		}
	}
	return own
}

func (s *Scheduler) capacityAt(t *target, need message.Offer) capacityKind {
	if !t.acceptsGrants() || s.lowestGrantable(t).Above(need.Tier) || need.Isolated && t.suspects > 0 {
		return capacityNone
	}
	o := s.newOffer(t, s.self, need)
	if s.settings.RefuseEarly && o.Due.Before(s.now) || !s.admissible(o) {
		return capacityNone
	}
	expected := t.expectedCount(o.Tier)
	ahead := t.queue.Ahead(o.Tier, o.Organisation, o.Due) + expected
	inTime := !t.missesDeadline(o, t.waitBehind(ahead, o.service))
	full := t.queue.Len()+expected >= max(1, s.settings.QueuePerTarget)
	switch {
	case inTime && ahead < t.limit()-len(t.runs) && t.mayStart(&o.Item):
		return capacityFree
	case inTime && !full:
		return capacityInQueue
	case inTime && s.displaceable(t, o, expected):
		return capacityByDisplacement
	case s.preemptibleRuns(t, o) > expected && s.inTimeByPreemption(t, o, ahead):
		return capacityByPreemption
	}
	return capacityNone
}

// inTimeByPreemption reports whether an offer meets its deadlines if a run is
// cancelled. The slot goes to the first offer in the queue, so the offer must be
// in time with one fewer ahead of it.
func (s *Scheduler) inTimeByPreemption(t *target, o *offer, ahead int) bool {
	r := s.victim(t, o.Tier)
	if r == nil || t.missesDeadlineWith(o, 0, t.loadWithout(r)) {
		return false
	}
	return ahead == 0 || !t.missesDeadline(o, t.waitBehind(ahead-1, o.service))
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

// expect reserves capacity for a request that is directed to this target. Two
// requests in a row must not be directed to the same last slot.
func (t *target) expect(id ident.RequestID, tier request.Tier, preempts bool) {
	t.expectedOffers[id] = expectedOffer{tier: tier, until: t.clock.Add(t.settings.tripTime()), preempts: preempts}
}

// expectedCount returns the number of expected requests of a tier and above, and
// deletes overdue ones. Lower requests are not counted, since they yield to
// higher ones when they arrive; if they were, a higher request could be refused
// and a lower one take its slot. The number is bounded, since it reduces the
// capacity that is reported.
func (t *target) expectedCount(tier request.Tier) int {
	n := 0
	for id, e := range t.expectedOffers {
		if !t.clock.Before(e.until) {
			delete(t.expectedOffers, id)
			continue
		}
		if !tier.Above(e.tier) {
			n++
		}
	}
	return n
}

// lowerWorkLeft reports whether work below a tier runs, or may run, at this
// scheduler's targets of a pool. If preempting such work could serve the request
// in question, capacity would have been reported. The request's deadline is not
// considered: the floor applies to other requests of the tier too, which may
// have time to wait for the lower work's end. The runs at a target that has just
// changed its scheduler are unknown to the new one and no longer known to the
// previous one.
func (s *Scheduler) lowerWorkLeft(pool string, tier request.Tier) bool {
	if s.now.Before(s.handedOverUntil[pool]) {
		return true
	}
	for _, t := range s.pools[pool] {
		if t.available && (!t.acceptsGrants() || t.runsLower(tier)) {
			return true
		}
	}
	return false
}

func (t *target) runsLower(tier request.Tier) bool {
	for _, r := range t.runs {
		if tier.Above(r.offer.Tier) {
			return true
		}
	}
	return false
}
