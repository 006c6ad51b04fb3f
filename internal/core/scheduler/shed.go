package scheduler

import (
	"slices"
	"strings"
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
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
	case s.floors.Standing(s.now, o.target.desc.Pool, o.Tier):
		s.refuse(o, refusal{reason: reason, settled: true})
	default:
		s.hold(o)
	}
}

// holdKey names a holding.
type holdKey struct {
	pool string
	tier request.Tier
}

func (k holdKey) compare(other holdKey) int {
	if k.tier != other.tier {
		return int(k.tier) - int(other.tier)
	}
	return strings.Compare(k.pool, other.pool)
}

// holding is the offers that wait for the end of one exchange, so that many
// refusals cost one.
type holding struct {
	key    holdKey
	offers []*offer
	// need is the offer that the exchange asks room for.
	need *offer
	// again is the earliest next exchange: lower work that can't be cancelled
	// was left running, and its end is waited for.
	again time.Time
	// cut: the exchange had lower runs cancelled.
	cut bool
	// late: none of the offers whose time is over has to be refused yet.
	late bool
	// rest: no exchange before that, since the last one found only room that is
	// too dear yet.
	rest time.Time
	// asking: with nobody else to ask, an exchange is over within the ask.
	asking bool
}

func (h *holding) here(t *target) []*offer {
	var list []*offer
	for _, o := range h.offers {
		if o.target == t {
			list = append(list, o)
		}
	}
	return list
}

// pick is the offer that the next room goes to: the most urgent of those that
// have time for the trip and for a run to be cancelled there.
//
// Failure: the exchange asks for an offer whose time is all but over, finds no
// room for it, and a floor is promised with lower work left. Symptom: offers
// that had the time to take that work's place are refused under the floor.
func (h *holding) pick(now time.Time, trip time.Duration) *offer {
	if slices.Contains(h.offers, h.need) {
		return h.need
	}
	var first *offer
	for _, o := range h.offers {
		if first == nil || o.moreUrgent(first, now.Add(trip)) {
			first = o
		}
	}
	return first
}

// moreUrgent: of two that can still be helped the one due first, else the one
// that has more time.
func (o *offer) moreUrgent(than *offer, after time.Time) bool {
	if than.Due.Before(after) {
		return o.Due.After(than.Due)
	}
	return o.Due.Before(than.Due) && !o.Due.Before(after)
}

// last reports whether an offer's time is over, so that it is refused as soon as
// nothing lower runs any more.
func (h *holding) last() bool {
	return slices.ContainsFunc(h.offers, func(o *offer) bool { return o.doomed })
}

// mayBeLate reports whether all offers whose time is over could still have a
// whole answer by their deadline.
func (h *holding) mayBeLate(s *Scheduler) bool {
	return !slices.ContainsFunc(h.offers, func(o *offer) bool { return o.doomed && !o.mayBeLate(s) })
}

func (o *offer) mayBeLate(s *Scheduler) bool {
	return !o.firstBy.IsZero() && o.dueWhole().After(s.now.Add(s.set.Grant))
}

// dueWhole is the latest start for a whole answer by the deadline.
func (o *offer) dueWhole() time.Time {
	return o.deadline.Add(-o.target.est.Total(o.Prompt, 0, o.msg.MaxTokens, 0, 0))
}

// serveLate lets an offer wait on without its first token's bound.
//
// Failure: one short request is refused, so every lower run must be cancelled.
// Symptom: twenty briefs are computed in vain. Answered late instead of refused
// it costs its own tokens, and as its start may come later now, it stands behind
// all that can still be in time.
func (s *Scheduler) serveLate(o *offer) bool {
	t := o.target
	if !o.mayBeLate(s) || !t.available || t.queue.Len() >= max(1, s.set.QueuePerTarget) {
		return false
	}
	s.release(o)
	o.doomed, o.preempting = false, false
	o.firstBy, o.msg.FirstToken = time.Time{}, 0
	o.Due = o.dueWhole()
	o.stage = stageWaiting
	t.queue.Push(&o.Item)
	s.timers.set(o, o.nextTime(s))
	s.fill(t)
	return true
}

const (
	// cutTrips bound how long the end of cancelled runs is waited for, cutLooks is
	// how often a trip's time it is asked for.
	cutTrips = 2
	cutLooks = 4
)

// doom keeps an offer whose time is over for the moment in which the lower runs
// of the pool are cancelled.
//
// Failure: it is refused while such runs go on; or they are cancelled earlier,
// for an offer that then gets a place in time.
func (s *Scheduler) doom(o *offer) {
	o.doomed = true
	o.doomedBy = earliest(o.deadline, s.now.Add(cutTrips*s.set.tripTime()))
	o.target.queue.Remove(&o.Item)
	if o.holding == nil {
		s.keep(o)
	}
	h := o.holding
	h.again = s.now
	s.ask(h)
}

func (s *Scheduler) holdingFor(key holdKey) *holding {
	h := s.holdings[key]
	if h == nil {
		h = &holding{key: key}
		s.holdings[key] = h
		at, _ := slices.BinarySearchFunc(s.holdKeys, key, holdKey.compare)
		s.holdKeys = slices.Insert(s.holdKeys, at, key)
	}
	return h
}

// hold keeps an offer until the exchange for its tier ends. Own targets with
// room come first, since they cost no message.
func (s *Scheduler) hold(o *offer) {
	if o.holding != nil {
		return
	}
	pool := o.target.desc.Pool
	if room, _ := s.room(pool, o.current(s.now), o.target, roomByDisplacement); room != nil {
		s.refuse(o, refusal{reason: o.reason, elsewhere: room.desc.Name})
		return
	}
	h := s.holdingFor(holdKey{pool: pool, tier: o.Tier})
	if len(h.offers) >= max(minHeld, s.set.QueuePerTarget) {
		s.refuse(o, refusal{reason: o.reason})
		return
	}
	s.keep(o)
	s.ask(h)
}

// keep puts an offer into its tier's holding.
func (s *Scheduler) keep(o *offer) {
	o.holding = s.holdingFor(holdKey{pool: o.target.desc.Pool, tier: o.Tier})
	o.holding.offers = append(o.holding.offers, o)
}

// tripTime is allowed for an offer's way to another target and for the end of a
// run that is cancelled there for it.
func (s *Settings) tripTime() time.Duration { return s.Grant / tripPart }

// tripPart of the grant time, which is several trips.
const tripPart = 4

// release takes an offer out of its holding.
func (s *Scheduler) release(o *offer) {
	h := o.holding
	if h == nil {
		return
	}
	o.holding = nil
	h.offers = slices.DeleteFunc(h.offers, func(x *offer) bool { return x == o })
	if h.need == o {
		h.need = nil
	}
}

// ask begins an exchange for a holding, unless one runs or it is too soon.
func (s *Scheduler) ask(h *holding) {
	if len(h.offers) == 0 || h.asking || s.tooSoon(h) || s.floors.Running(h.key.pool, h.key.tier) {
		return
	}
	// Failure: an exchange that ends within the ask and does not settle the offer
	// asks again, without end. The next tick does.
	h.asking = true
	defer func() { h.asking = false }()
	h.need = h.pick(s.now, s.set.tripTime())
	h.cut = h.last()
	h.late = h.cut && h.mayBeLate(s)
	own := s.ownCandidate(h.need)
	m, others, verdicts := s.floors.BeginWith(s.now, h.key.pool, h.key.tier, h.need.current(s.now), own)
	m.Last, m.Late = h.cut, h.late
	for _, who := range others {
		s.send(who, m)
	}
	s.verdicts(verdicts)
}

// tooSoon: the floor that the last exchange obtained still stands, so another
// would bring nothing yet.
func (s *Scheduler) tooSoon(h *holding) bool {
	if !h.cut && h.last() {
		return false
	}
	if s.now.Before(h.rest) {
		return true
	}
	_, covered := s.floors.Covered(s.now, h.key.pool, h.key.tier)
	return covered && s.now.Before(h.again)
}

// retryHoldings begins the exchanges whose time has come, and forgets holdings
// that nobody waits in.
func (s *Scheduler) retryHoldings() {
	for _, key := range slices.Clone(s.holdKeys) {
		h := s.holdings[key]
		if len(h.offers) > 0 {
			s.ask(h)
			continue
		}
		if s.tooSoon(h) || s.floors.Running(key.pool, key.tier) {
			continue
		}
		delete(s.holdings, key)
		s.holdKeys = slices.DeleteFunc(s.holdKeys, func(x holdKey) bool { return x == key })
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
		if v.Room != "" {
			s.sendElsewhere(h, v)
		}
		if v.Over {
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
	case o.target.desc.Name == v.Room:
		s.preemptHere(o)
	default:
		s.refuse(o, refusal{reason: o.reason, elsewhere: v.Room})
	}
}

// worth reports whether a run that has cost so much, in tokens, is cancelled for
// an offer now: one that has cost more than the offer brings only at the last
// moment, if a place may come free by itself before.
func (s *Scheduler) worth(o *offer, cost int) bool {
	last := o.costlyAt(s)
	return cost <= o.Cost || !s.now.Before(last) || !o.target.freesBy(last)
}

// freesBy reports whether a run will probably end by then.
func (t *target) freesBy(end time.Time) bool {
	for _, r := range t.runs {
		if r.end.Before(end) {
			return true
		}
	}
	return false
}

// mayPreemptHere: where a floor was promised meanwhile, nothing below it may join
// a queue.
func (s *Scheduler) mayPreemptHere(o *offer) bool {
	return !o.doomed && (o.Waiting() || s.admissible(o))
}

// preemptHere cancels a run at the target where a held offer is, and lets the
// offer wait for its place.
func (s *Scheduler) preemptHere(o *offer) {
	t := o.target
	if !s.mayPreemptHere(o) {
		return
	}
	s.release(o)
	if !o.Waiting() {
		t.queue.Push(&o.Item)
	}
	s.preempt(o)
	s.fill(t)
	if !o.gone && t.queue.Len() > max(1, s.set.QueuePerTarget) {
		s.shedOne(o)
	}
}

// exchangeOver refuses what was held if the floor stands and nothing lower is
// left; else the offers go on waiting, or ask again.
func (s *Scheduler) exchangeOver(h *holding, v verdict) {
	if !v.Stands {
		s.ask(h)
		s.fillPool(h.key.pool)
		return
	}
	cutting, dear := v.Cutting, v.Dear
	if h.cut && h.need != nil {
		own, spares := s.yield(h.key.pool, h.key.tier, spared(h.late, h.need.msg))
		cutting, dear = cutting || own, dear || spares
	}
	if s.lowerLeft(h.key.pool, h.key.tier) {
		s.floors.LeaveLower(h.key.pool, h.key.tier)
	}
	s.flush(h.key.pool)
	settled := s.floors.Standing(s.now, h.key.pool, h.key.tier)
	until, _ := s.floors.Covered(s.now, h.key.pool, h.key.tier)
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

// yield cuts the lower runs that may be cancelled, before a request of a tier is
// refused, and reports whether some are on their way out. Runs are spared, and
// nothing is cut, if one has cost more than spare tokens; 0 spares none.
//
// Failure: the asker's request could not be in time at this target, so no room
// was named. Symptom: it is refused while the lower runs here go on. Also a run
// in its last moments is cut: how long those last is an estimate.
func (s *Scheduler) yield(pool string, tier request.Tier, spare int) (cutting, dear bool) {
	if !s.set.Preempt {
		return false, false
	}
	if spare > 0 && s.dearest(pool, tier) > spare {
		return false, true
	}
	for _, t := range s.pools[pool] {
		for _, r := range t.sortedRuns() {
			if tier.Above(r.offer.Tier) && r.repeatable() && !r.preempting {
				s.sendPreempt(r)
			}
		}
		cutting = cutting || t.preempting() > 0
	}
	return cutting, false
}

// dearest is what the dearest lower run has cost, in tokens.
func (s *Scheduler) dearest(pool string, tier request.Tier) int {
	most := 0
	for _, t := range s.pools[pool] {
		for _, r := range t.runs {
			if tier.Above(r.offer.Tier) && r.repeatable() && !r.preempting {
				most = max(most, t.computed(r))
			}
		}
	}
	return most
}

// dearFactor times what a request brings is what a lower run may have cost to be
// cancelled for it, if the request's first token alone would be late.
const dearFactor = 4

func spared(late bool, need message.Offer) int {
	if !late {
		return 0
	}
	return dearFactor * (need.PromptTokens + need.MaxTokens)
}

// preempting counts the runs that are being cut.
func (t *target) preempting() int {
	n := 0
	for _, r := range t.runs {
		if r.preempting {
			n++
		}
	}
	return n
}

func (s *Scheduler) fillPool(pool string) {
	for _, t := range s.pools[pool] {
		s.fill(t)
	}
}
