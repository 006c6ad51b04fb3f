package scheduler

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
)

// minHeld is the least number of offers that may be held per pool and tier.
const minHeld = 16

// refusal is the content of a Refuse.
type refusal struct {
	reason    outcome.Reason
	settled   bool
	elsewhere string
}

// refuse answers an offer and forgets it.
func (s *Scheduler) refuse(o *offer, why refusal) {
	m := message.Refuse{
		ID:        o.ID,
		Target:    o.msg.Target,
		Reason:    why.reason,
		Settled:   why.settled,
		Elsewhere: why.elsewhere,
	}
	if why.settled {
		m.RetryAfter = s.retryAfter(o.target, o.Tier)
	}
	s.remove(o)
	s.send(o.from, m)
}

// refuseForLoad turns an offer away for want of capacity: for good where a
// floor allows it, else to the owner's other targets, or, if it has none, into
// the exchange with the other schedulers of the pool.
func (s *Scheduler) refuseForLoad(o *offer, reason outcome.Reason) {
	o.target.queue.Remove(&o.Item)
	o.reason = reason
	switch {
	case !s.quorum:
		// Cut off, we can't know what others serve; their silence proves
		// nothing, since it may be ours. So the cause is not load.
		s.refuse(o, refusal{reason: outcome.ReasonNotReady, settled: o.lastWord})
	case !s.isLast(o):
		// Also under a floor: it says that nothing lower is served, not that no
		// target has room for this one.
		s.refuse(o, refusal{reason: reason})
	case s.floors.MayRefuse(s.now, o.target.desc.Pool, o.Tier):
		s.refuse(o, refusal{reason: reason, settled: true})
	default:
		s.hold(o)
	}
}

// FloorAsk answers another scheduler that must refuse tier t: by a target of
// ours that can take the request, or by the promise to admit nothing lower.
func (s *Scheduler) FloorAsk(now time.Time, from identity, a message.FloorAsk) []Effect {
	s.tick(now)
	reply := message.FloorReply{Seq: a.Seq, Pool: a.Pool, Tier: a.Tier}
	if room, cost := s.room(a.Pool, a.Need, nil, roomByPreemption); room != nil {
		reply.Room = room.desc.Name
		reply.Cost = cost
		s.send(from, reply)
		return s.take()
	}
	reply.Valid = s.floors.Promise(s.now, a.Pool, a.Tier, a.For)
	if a.Last {
		reply.Cutting, reply.Dear = s.yield(a.Pool, a.Tier, spared(a.Late, a.Need))
	}
	reply.Lower = s.lowerLeft(a.Pool, a.Tier)
	s.send(from, reply)
	s.flush(a.Pool)
	return s.take()
}

// FloorReply takes an answer to our own ask.
func (s *Scheduler) FloorReply(now time.Time, from identity, r message.FloorReply) []Effect {
	s.tick(now)
	s.verdicts(s.floors.Reply(s.now, from, r))
	return s.take()
}

func (s *Scheduler) verdicts(list []verdict) {
	for _, v := range list {
		h := s.holdings[holdKey{pool: v.Pool, tier: v.Tier}]
		if h == nil {
			continue
		}
		if v.Target != "" {
			s.sendElsewhere(h, v)
		}
		if v.Ended {
			s.exchangeOver(h, v)
		}
	}
}

func (s *Scheduler) sendElsewhere(h *holding, v verdict) {
	o := h.pick(s.now, s.set.tripTime())
	switch {
	case o == nil:
	case !s.worth(o, v.Cost):
		h.rest = earliest(o.costlyAt(s), s.now.Add(s.set.tripTime()))
	case o.target.desc.Name == v.Target:
		s.preemptHere(o)
	default:
		s.refuse(o, refusal{reason: o.reason, elsewhere: v.Target})
	}
}

// exchangeOver refuses what was held if the floor stands and nothing lower is
// left; else the offers go on waiting, or ask again.
func (s *Scheduler) exchangeOver(h *holding, v verdict) {
	if !v.InForce {
		s.ask(h)
		s.fillPool(h.key.pool)
		return
	}
	cutting, dear := v.Preempting, v.Spared
	if h.cut && h.need != nil {
		own, spares := s.yield(h.key.pool, h.key.tier, spared(h.late, h.need.msg))
		cutting, dear = cutting || own, dear || spares
	}
	if s.lowerLeft(h.key.pool, h.key.tier) {
		s.floors.MarkLowerWork(h.key.pool, h.key.tier)
	}
	s.flush(h.key.pool)
	settled := s.floors.MayRefuse(s.now, h.key.pool, h.key.tier)
	until, _ := s.floors.InForce(s.now, h.key.pool, h.key.tier)
	h.again = s.now.Add(until.Sub(s.now) / 4 * 3) // renewed before its end
	if !settled {
		h.again = s.now.Add(s.set.tripTime())
		if cutting {
			h.again = s.now.Add(s.set.tripTime() / cutLooks)
		}
	}
	for _, o := range slices.Clone(h.offers) {
		switch {
		case o.gone || o.Waiting():
		case o.doomed && dear && s.serveLate(o):
		case o.doomed && h.cut && !cutting:
			// What is left can't be cancelled; it was waited for.
			s.refuse(o, refusal{reason: o.reason, settled: true})
		case s.readmit(o):
		case settled:
			s.refuseForLoad(o, o.reason)
		}
	}
	if !h.cut && h.last() {
		s.ask(h)
	}
	s.fillPool(h.key.pool)
}

// readmit lets a held offer into its target's queue, if it may be served there
// in time and the queue has room now.
func (s *Scheduler) readmit(o *offer) bool {
	t := o.target
	if o.doomed || o.Waiting() || !t.available || !s.admissible(o) || t.late(o, t.wait(o)) {
		return false
	}
	if t.queue.Len() >= max(1, s.set.QueuePerTarget) {
		return false
	}
	s.release(o)
	t.queue.Push(&o.Item)
	return true
}

// flush refuses what waits below the floor at our targets of a pool.
func (s *Scheduler) flush(pool string) {
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

// easeQueue cuts a lower run for a newcomer that makes the queue of its tier and
// above too long for the last in it, if the run has cost less than the newcomer
// brings. The newcomer may be in time by fairness; then it is another who isn't.
func (s *Scheduler) easeQueue(o *offer) {
	t := o.target
	if o.gone || !o.Waiting() || !t.late(o, t.waitBehind(t.queue.CountAbove(o.Tier+1)-1, o.service)) {
		return
	}
	if r := s.victimFor(o); r != nil && t.computed(r) <= o.Cost {
		s.preempt(o)
	}
}

// shedOne refuses one offer of a queue that a newcomer has made too long: the
// lowest tier's last, which would have been served last; were it the oldest,
// work nearest to being served would be lost. Within the newcomer's own tier
// only another organisation's goes, or else one that floods the tier would
// keep the others out of the queue, where fairness could not reach them.
func (s *Scheduler) shedOne(newcomer *offer) {
	last := newcomer.target.offers[newcomer.target.queue.Last().ID]
	switch {
	case newcomer.Tier.Above(last.Tier):
		s.refuseForLoad(last, outcome.ReasonDisplaced)
	case newcomer.preempting || s.preemptFor(newcomer):
	case last.Tier == newcomer.Tier && last.Organisation != newcomer.Organisation:
		s.refuseForLoad(last, outcome.ReasonOverload)
	default:
		s.refuseForLoad(newcomer, outcome.ReasonOverload)
	}
}
