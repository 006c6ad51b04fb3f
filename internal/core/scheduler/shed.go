package scheduler

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
)

// minHeldLimit is the lower bound of the limit on held offers per pool and tier.
const minHeldLimit = 16

// refusal is the content of a Refuse.
type refusal struct {
	reason    outcome.Reason
	settled   bool
	elsewhere string
}

// refuse answers an offer with a refusal and removes it.
func (s *Scheduler) refuse(o *offer, why refusal) {
	m := message.Refuse{
		ID:          o.ID,
		Target:      o.msg.Target,
		Reason:      why.reason,
		PoolWide:    why.settled,
		Alternative: why.elsewhere,
	}
	if why.settled {
		m.RetryAfter = s.retryAfter(o.target, o.Tier)
	}
	s.remove(o)
	s.send(o.from, m)
}

// refuseForLoad handles an offer for which there is no capacity. The owner is
// sent to its other targets. If it has none, the refusal is settled where a
// floor allows it, or else the offer is held for an exchange with the other
// schedulers of the pool.
func (s *Scheduler) refuseForLoad(o *offer, reason outcome.Reason) {
	o.target.queue.Remove(&o.Item)
	o.reason = reason
	switch {
	case !s.quorum:
		// Without a quorum this scheduler can't know what others serve: missing
		// replies prove nothing, since this entry may be the one that is partitioned.
		// So the reason given is not load.
		s.refuse(o, refusal{reason: outcome.ReasonNotReady, settled: o.final})
	case !s.isFinal(o):
		// This applies under a floor too: it means that nothing lower is served, not
		// that no target has capacity for this offer.
		s.refuse(o, refusal{reason: reason})
	case s.floors.MayRefuse(s.now, o.target.desc.Pool, o.Tier):
		s.refuse(o, refusal{reason: reason, settled: true})
	default:
		s.hold(o)
	}
}

// FloorAsk answers another scheduler that has to refuse a tier: with a target
// here that can accept the request, or with the promise to admit nothing lower.
func (s *Scheduler) FloorAsk(now time.Time, from identity, a message.FloorRequest) []Effect {
	s.advance(now)
	reply := message.FloorReply{Seq: a.Seq, Pool: a.Pool, Tier: a.Tier}
	if best, cost := s.findCapacity(a.Pool, a.Need, nil, capacityByPreemption); best != nil {
		reply.FreeTarget = best.desc.Name
		reply.PreemptionCost = cost
		s.send(from, reply)
		return s.takeEffects()
	}
	reply.Valid = s.floors.Promise(s.now, a.Pool, a.Tier, a.For)
	if a.Final {
		reply.Preempting, reply.Spared = s.preemptLower(a.Pool, a.Tier, maxPreemptionCost(a.MissesFirstToken, a.Need))
	}
	reply.LowerRuns = s.lowerWorkLeft(a.Pool, a.Tier)
	s.send(from, reply)
	s.refuseBelowFloor(a.Pool)
	return s.takeEffects()
}

// FloorReply handles the reply to a request of this scheduler.
func (s *Scheduler) FloorReply(now time.Time, from identity, r message.FloorReply) []Effect {
	s.advance(now)
	s.handleResults(s.floors.Reply(s.now, from, r))
	return s.takeEffects()
}

func (s *Scheduler) handleResults(list []exchangeResult) {
	for _, v := range list {
		h := s.held[heldKey{pool: v.Pool, tier: v.Tier}]
		if h == nil {
			continue
		}
		if v.Target != "" {
			s.redirect(h, v)
		}
		if v.Ended {
			s.exchangeEnded(h, v)
		}
	}
}

func (s *Scheduler) redirect(h *heldGroup, v exchangeResult) {
	o := h.pick(s.now, s.settings.tripTime())
	switch {
	case o == nil:
	case !s.worthwhile(o, v.Cost):
		h.backoffUntil = earliest(o.expensivePreemptAt(s), s.now.Add(s.settings.tripTime()))
	case o.target.desc.Name == v.Target:
		s.preemptHere(o)
	default:
		s.refuse(o, refusal{reason: o.reason, elsewhere: v.Target})
	}
}

// exchangeEnded refuses the held offers if the floor is in force and no lower
// work is left. Otherwise the offers continue to wait, or start another
// exchange.
func (s *Scheduler) exchangeEnded(h *heldGroup, v exchangeResult) {
	if !v.InForce {
		s.startExchange(h)
		s.fillPool(h.key.pool)
		return
	}
	preempting, spared := v.Preempting, v.Spared
	if h.preemptsLower && h.need != nil {
		ownPreempting, ownSpared := s.preemptLower(h.key.pool, h.key.tier, maxPreemptionCost(h.allowsLate, h.need.msg))
		preempting, spared = preempting || ownPreempting, spared || ownSpared
	}
	if s.lowerWorkLeft(h.key.pool, h.key.tier) {
		s.floors.MarkLowerWork(h.key.pool, h.key.tier)
	}
	s.refuseBelowFloor(h.key.pool)
	settled := s.floors.MayRefuse(s.now, h.key.pool, h.key.tier)
	until, _ := s.floors.InForce(s.now, h.key.pool, h.key.tier)
	h.nextExchange = s.now.Add(until.Sub(s.now) / 4 * 3) // renewed before its end
	if !settled {
		h.nextExchange = s.now.Add(s.settings.tripTime())
		if preempting {
			h.nextExchange = s.now.Add(s.settings.tripTime() / preemptionPolls)
		}
	}
	for _, o := range slices.Clone(h.offers) {
		switch {
		case o.removed || o.Waiting():
		case o.expired && spared && s.waiveFirstToken(o):
		case o.expired && h.preemptsLower && !preempting:
			// Lower runs that are left can't be cancelled; the offer has waited for
			// their end.
			s.refuse(o, refusal{reason: o.reason, settled: true})
		case s.readmit(o):
		case settled:
			s.refuseForLoad(o, o.reason)
		}
	}
	if !h.preemptsLower && h.hasExpired() {
		s.startExchange(h)
	}
	s.fillPool(h.key.pool)
}

// readmit moves a held offer into its target's queue if it can be served there
// in time and the queue is not full.
func (s *Scheduler) readmit(o *offer) bool {
	t := o.target
	if o.expired || o.Waiting() || !t.available || !s.admissible(o) || t.missesDeadline(o, t.wait(o)) {
		return false
	}
	if t.queue.Len() >= max(1, s.settings.QueuePerTarget) {
		return false
	}
	s.unhold(o)
	t.queue.Push(&o.Item)
	return true
}

// refuseBelowFloor refuses offers that wait below the floor at this scheduler's
// targets of a pool.
func (s *Scheduler) refuseBelowFloor(pool string) {
	floor := s.floors.Admission(s.now, pool).Floor
	for _, t := range s.pools[pool] {
		for _, it := range t.queue.Below(floor) {
			if o := t.offers[it.ID]; o != nil && o.Waiting() {
				s.refuseForLoad(o, outcome.ReasonOverload)
			}
		}
	}
}

func (s *Scheduler) fillPool(pool string) {
	for _, t := range s.pools[pool] {
		s.fill(t)
	}
}

// preemptForQueue cancels a lower run if a new offer makes the queue of its tier
// and above too long for the last offer to be in time, and the run has computed
// no more tokens than the new offer requests. Fairness may let the new offer be
// served in time; in that case another one is late.
func (s *Scheduler) preemptForQueue(o *offer) {
	t := o.target
	if o.removed || !o.Waiting() || !t.missesDeadline(o, t.waitBehind(t.queue.CountAbove(o.Tier+1)-1, o.service)) {
		return
	}
	if r := s.victimFor(o); r != nil && t.computedTokens(r) <= o.Cost {
		s.preempt(o)
	}
}

// shedOne refuses one offer of a queue that a new offer has made too long: the
// last of the lowest tier, which would have been served last. Refusing the
// oldest instead would discard the work closest to being served. Within the new
// offer's own tier only an offer of another organisation is refused instead of
// it. Otherwise an organisation that floods the tier would keep others out of the
// queue, and fair sharing would not apply to them.
func (s *Scheduler) shedOne(added *offer) {
	last := added.target.offers[added.target.queue.Last().ID]
	switch {
	case added.Tier.Above(last.Tier):
		s.refuseForLoad(last, outcome.ReasonDisplaced)
	case added.preempting || s.preemptIfFinal(added):
	case last.Tier == added.Tier && last.Organisation != added.Organisation:
		s.refuseForLoad(last, outcome.ReasonOverload)
	default:
		s.refuseForLoad(added, outcome.ReasonOverload)
	}
}
