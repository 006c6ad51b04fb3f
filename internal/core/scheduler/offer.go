package scheduler

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/queue"
	"sycamoretrail/internal/core/request"
)

// offer is an offer that has neither been granted nor refused. It waits in the
// target's queue, in a held group for the end of an exchange, or in both.
type offer struct {
	queue.Item
	msg          message.Offer
	from         ident.Incarnation
	target       *target
	refreshed    time.Time // when the latest refresh was received
	arrived      time.Time
	deadline     time.Time
	firstTokenBy time.Time
	service      time.Duration
	// reason is the reason that a refusal would give.
	reason outcome.Reason
	// final reports that a refusal here ends the request, and so requires a floor.
	final bool
	// preemptOnArrival reports that it was directed here because a run can be
	// cancelled for it.
	preemptOnArrival bool
	// expired reports that it can no longer meet its deadline. Its refusal waits
	// until expiredUntil for lower runs to be cancelled.
	expired      bool
	expiredUntil time.Time
	preempting   bool
	stage        stage
	group        *heldGroup
	removed      bool
	timer        timer
}

// stage is the last measure taken for an offer that is running out of time.
type stage uint8

const (
	stageWaiting stage = iota
	stageExchanged
	stagePreempted
)

func (s *Scheduler) newOffer(t *target, from ident.Incarnation, m message.Offer) *offer {
	service := m.Kind == request.Service
	o := &offer{
		msg:       m,
		from:      from,
		target:    t,
		refreshed: s.now,
		arrived:   s.now,
		deadline:  s.now.Add(m.Remaining),
		final:     m.Final,
		reason:    outcome.ReasonOverload,
	}
	if m.FirstToken > 0 {
		o.firstTokenBy = s.now.Add(m.FirstToken)
	}
	o.Item = queue.Item{
		ID:           m.ID,
		Tier:         m.Tier,
		Organisation: m.Organisation,
		Lane:         t.lane(m.PromptTokens, m.Isolated, service),
		Cost:         m.PromptTokens + m.MaxTokens,
		Prompt:       m.PromptTokens - t.cached(m),
	}
	if service {
		o.Cost = request.ServiceCost
	}
	o.service = t.estimator.Total(o.Prompt, 0, m.MaxTokens, 0, len(t.runs))
	o.Due = t.latestStart(o)
	return o
}

// current returns the offer as its owner would send it now.
func (o *offer) current(now time.Time) message.Offer {
	m := o.msg
	m.Remaining = o.deadline.Sub(now)
	if m.FirstToken > 0 {
		m.FirstToken = max(1, o.firstTokenBy.Sub(now))
	}
	return m
}

// Offer accepts a new offer, or refreshes a known one that has a newer Seq. The
// answer is an immediate Grant, Queued or Refuse.
func (s *Scheduler) Offer(now time.Time, from ident.Incarnation, m message.Offer) []Effect {
	s.advance(now)
	t := s.targets[m.Target]
	if t == nil {
		s.send(from, message.Refuse{ID: m.ID, Target: m.Target, Reason: outcome.ReasonNone, Alternative: m.Target})
		return s.takeEffects()
	}
	if r := t.runs[m.ID]; r != nil {
		s.regrant(r, from, m)
		return s.takeEffects()
	}
	if o := t.offers[m.ID]; o != nil {
		s.refresh(o, from, m)
		return s.takeEffects()
	}
	o := s.newOffer(t, from, m)
	reserved, expected := t.expectedOffers[m.ID]
	if expected {
		// It was directed here because this scheduler reported capacity, which may
		// require displacement or preemption. A plain refusal would make its owner
		// try all targets again.
		o.final = true
		o.preemptOnArrival = reserved.preempts
		delete(t.expectedOffers, m.ID)
	}
	t.offers[m.ID] = o
	t.endedRuns.begin(m.ID)
	if o.Lane == queue.Short {
		t.noteShort(o.Tier)
	}
	s.admit(o)
	if o.preemptOnArrival && !o.removed && o.Waiting() {
		// Preempt the run now. It was reserved for this offer alone; otherwise the
		// next request for capacity would be directed to the same run.
		s.preempt(o)
	}
	if !o.removed {
		s.timers.set(o, o.nextTimer(s))
		s.sendQueued(o)
	}
	return s.takeEffects()
}

func (s *Scheduler) sendQueued(o *offer) {
	s.send(o.from, message.Queued{OfferSeq: o.msg.Seq, ID: o.ID, Target: o.msg.Target, Wait: o.target.wait(o)})
}

func (s *Scheduler) refresh(o *offer, from ident.Incarnation, m message.Offer) {
	if from != o.from || m.Seq <= o.msg.Seq {
		return
	}
	o.msg.Seq = m.Seq
	o.refreshed = s.now
	o.final = o.final || m.Final
	s.timers.set(o, o.nextTimer(s))
	s.sendQueued(o)
}

// regrant answers a refresh that crossed its grant or whose grant was lost. A
// reported run needs no answer. Below a floor, or while higher work waits,
// there is no answer until the previous grant has expired and a refresh counts
// as a new offer: the first grant may have been lost, and a new one would let
// this request overtake the higher one.
func (s *Scheduler) regrant(r *run, from ident.Incarnation, m message.Offer) {
	if from != r.from || m.Seq <= r.offer.Seq || r.reported || r.preempting {
		return
	}
	if s.lowestGrantable(r.target).Above(r.offer.Tier) || r.target.queue.CountAbove(r.offer.Tier) > 0 {
		return
	}
	r.offer.Seq = m.Seq
	s.sendGrant(r, s.now)
}

// Withdraw removes an offer, or releases an unused grant.
func (s *Scheduler) Withdraw(now time.Time, from ident.Incarnation, w message.Withdraw) []Effect {
	s.advance(now)
	t := s.targets[w.Target]
	if t == nil {
		return s.takeEffects()
	}
	if o := t.offers[w.ID]; o != nil && o.from == from {
		s.remove(o)
	}
	if r := t.runs[w.ID]; r != nil && r.from == from {
		t.endRun(r)
	}
	s.fill(t)
	return s.takeEffects()
}

// admit queues, holds or refuses a new offer.
func (s *Scheduler) admit(o *offer) {
	t := o.target
	switch {
	case !t.available:
		s.refuse(o, refusal{reason: outcome.ReasonNoTarget})
	case o.msg.Remaining <= 0:
		s.refuse(o, refusal{reason: outcome.ReasonDeadlinePassed, settled: true})
	case s.settings.RefuseEarly && o.Due.Before(s.now):
		// Not even an idle target could meet the deadline, so a floor would not help.
		s.refuse(o, refusal{reason: outcome.ReasonDeadline, settled: o.final})
	case !s.quorum && o.Tier > topTier:
		s.refuseForLoad(o, outcome.ReasonNotReady)
	case !s.admissible(o):
		s.refuseForLoad(o, outcome.ReasonOverload)
	default:
		s.enqueue(o)
	}
}

// admissible reports whether the floors in force admit the offer.
func (s *Scheduler) admissible(o *offer) bool {
	a := s.floors.Admission(s.now, o.target.desc.Pool)
	if a.Floor.Above(o.Tier) {
		return false
	}
	if !a.QueueFloor.Above(o.Tier) {
		return true
	}
	return o.target.queue.Len() == 0 && len(o.target.runs) < o.target.limit()
}

// enqueue adds the offer to the queue, grants what can be granted, and then
// reduces the queue to its bound.
func (s *Scheduler) enqueue(o *offer) {
	t := o.target
	if t.missesDeadline(o, t.wait(o)) && !(o.preemptOnArrival && s.preempt(o)) {
		s.refuseForLoad(o, outcome.ReasonOverload)
		return
	}
	t.queue.Push(&o.Item)
	s.fill(t)
	s.preemptForQueue(o)
	if !o.removed && t.queue.Len() > max(1, s.settings.QueuePerTarget) {
		s.shedOne(o)
	}
}

// expiresAt returns when the offer can no longer be served in time.
func (o *offer) expiresAt(s *Scheduler) time.Time {
	if o.expired {
		return o.expiredUntil
	}
	if s.settings.RefuseEarly {
		return o.Due
	}
	return o.deadline
}

// exchangeAt returns when to start an exchange. It leaves time for the timeout
// of an unresponsive member before the offer expires.
func (o *offer) exchangeAt(s *Scheduler) time.Time {
	end := o.expiresAt(s)
	return end.Add(-min(s.floors.ReplyTimeout(), end.Sub(o.arrived)/2))
}

// preemptAt returns when to preempt. It leaves time for a run to be cancelled
// before the offer expires.
func (o *offer) preemptAt(s *Scheduler) time.Time {
	end := o.expiresAt(s)
	return end.Add(-min(s.settings.GrantTime, end.Sub(o.arrived)/2))
}

// expensivePreemptAt returns when to cancel even a run that has computed more
// tokens than the offer requests.
func (o *offer) expensivePreemptAt(s *Scheduler) time.Time {
	end := o.expiresAt(s)
	return end.Add(-max(s.settings.tripTime(), min(s.settings.GrantTime, end.Sub(o.arrived)/8)))
}

func (o *offer) nextTimer(s *Scheduler) time.Time {
	next := o.expiresAt(s)
	if o.stage < stagePreempted {
		next = earliest(next, o.preemptAt(s))
	}
	if o.stage < stageExchanged {
		next = earliest(next, o.exchangeAt(s))
	}
	if o.from != s.self {
		next = earliest(next, o.refreshed.Add(s.settings.FailureTimeout))
	}
	return next
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (o *offer) timerOf() *timer { return &o.timer }

// fire takes the measure that is due at the offer's age.
func (o *offer) fire(s *Scheduler) time.Time {
	switch {
	case o.removed:
		return time.Time{}
	case o.from != s.self && s.now.Sub(o.refreshed) >= s.settings.FailureTimeout:
		// Its owner does not refresh it: the owner has terminated, is partitioned or
		// has lost the offer. A slot granted to it would stay empty until the grant
		// expires.
		s.remove(o)
	case !s.now.Before(o.expiresAt(s)):
		s.expire(o)
	case o.stage < stagePreempted && !s.now.Before(o.preemptAt(s)):
		o.stage = stagePreempted
		s.preemptOrHold(o)
	case o.stage < stageExchanged && !s.now.Before(o.exchangeAt(s)):
		o.stage = stageExchanged
		s.exchangeInTime(o)
	}
	if o.removed {
		return time.Time{}
	}
	return o.nextTimer(s)
}

// expire refuses an offer that can no longer be served in time.
func (s *Scheduler) expire(o *offer) {
	_, inForce := s.floors.InForce(s.now, o.target.desc.Pool, o.Tier)
	mayRefuse := s.floors.MayRefuse(s.now, o.target.desc.Pool, o.Tier)
	if s.quorum && !mayRefuse && s.settings.Preempt && !o.expired {
		// There is no time left for its owner to try another target.
		o.final = true
		o.stage = stagePreempted
		s.expireAfterPreemption(o)
		return
	}
	if inForce && s.quorum {
		// Lower work that cannot be cancelled may still run: the offer has waited
		// for its end as long as the deadline allowed.
		s.refuse(o, refusal{reason: o.reason, settled: true})
		return
	}
	s.refuse(o, refusal{reason: outcome.ReasonDeadline, settled: o.final})
}

// exchangeInTime starts the exchange early enough to end before the offer
// expires, unless the offer will be served or can obtain a slot by preemption.
func (s *Scheduler) exchangeInTime(o *offer) {
	if !o.Waiting() || !o.target.missesDeadline(o, o.target.wait(o)) || s.victim(o.target, o.Tier) != nil {
		return
	}
	s.refuseOrHold(o)
}

// preemptOrHold takes the last measures for a waiting offer. Its owner has
// hardly any time left to try other targets, so this scheduler starts the
// exchange for it. If the owner tried other targets instead, the offer could
// expire before any scheduler had checked whether lower work is served
// elsewhere.
func (s *Scheduler) preemptOrHold(o *offer) {
	if !o.Waiting() || o.preempting || o.group != nil && s.preemptIfWorthwhile(o) {
		return
	}
	o.final = true
	s.hold(o)
}

// refuseOrHold refuses a waiting offer so that its owner tries other targets,
// or asks the other schedulers while the offer keeps its position in the queue.
func (s *Scheduler) refuseOrHold(o *offer) {
	if !s.isFinal(o) {
		s.refuse(o, refusal{reason: o.reason})
		return
	}
	s.hold(o)
}

// isFinal reports whether a refusal here would end the request: the owner has
// no other target, or no time to try one. The grant time bounds a round trip
// between entries. A request redirected with less time left could expire on
// its way before any scheduler had checked whether lower work is served instead.
func (s *Scheduler) isFinal(o *offer) bool {
	if o.expiresAt(s).Sub(s.now) <= s.settings.GrantTime {
		o.final = true
	}
	return o.final
}

// remove deletes an offer without an answer.
func (s *Scheduler) remove(o *offer) {
	o.removed = true
	o.target.queue.Remove(&o.Item)
	s.unhold(o)
	delete(o.target.offers, o.ID)
	s.timers.set(o, time.Time{})
}
