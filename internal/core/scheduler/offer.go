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
// target's queue, or in a holding for the end of an exchange, or in both.
type offer struct {
	queue.Item
	msg      message.Offer
	from     ident.Incarnation
	target   *target
	asked    time.Time // when the latest ask was received
	arrived  time.Time
	deadline time.Time
	firstBy  time.Time
	service  time.Duration
	// reason is what a refusal would say.
	reason outcome.Reason
	// lastWord: a refusal here ends the request, so it needs a floor.
	lastWord bool
	// told: it was sent here since a run can be cancelled for it.
	told bool
	// doomed: its time is over, and it waits for lower runs to be cancelled
	// before it is refused, until doomedBy.
	doomed     bool
	doomedBy   time.Time
	preempting bool
	stage      stage
	holding    *holding
	gone       bool
	timer      timer
}

// stage says how far the measures for an offer that runs out of time have come.
type stage uint8

const (
	stageWaiting stage = iota
	stageAsked
	stagePreempted
)

func (s *Scheduler) newOffer(t *target, from ident.Incarnation, m message.Offer) *offer {
	service := m.Kind == request.Service
	o := &offer{
		msg:      m,
		from:     from,
		target:   t,
		asked:    s.now,
		arrived:  s.now,
		deadline: s.now.Add(m.Remaining),
		lastWord: m.Final,
		reason:   outcome.ReasonOverload,
	}
	if m.FirstToken > 0 {
		o.firstBy = s.now.Add(m.FirstToken)
	}
	o.Item = queue.Item{
		ID:           m.ID,
		Tier:         m.Tier,
		Organisation: m.Organisation,
		Lane:         t.lane(m.PromptTokens, m.Alone, service),
		Cost:         m.PromptTokens + m.MaxTokens,
		Prompt:       m.PromptTokens - t.cached(m),
	}
	if service {
		o.Cost = request.ServiceCost
	}
	o.service = t.est.Total(o.Prompt, 0, m.MaxTokens, 0, len(t.runs))
	o.Due = t.latestStart(o)
	return o
}

// current is the offer as its owner would send it now.
func (o *offer) current(now time.Time) message.Offer {
	m := o.msg
	m.Remaining = o.deadline.Sub(now)
	if m.FirstToken > 0 {
		m.FirstToken = max(1, o.firstBy.Sub(now))
	}
	return m
}

// Offer takes an offer, or refreshes one that is known by a newer Ask. It is
// answered by Grant, Queued or Refuse, at once.
func (s *Scheduler) Offer(now time.Time, from ident.Incarnation, m message.Offer) []Effect {
	s.tick(now)
	t := s.targets[m.Target]
	if t == nil {
		s.send(from, message.Refuse{ID: m.ID, Target: m.Target, Reason: outcome.ReasonNone, Elsewhere: m.Target})
		return s.take()
	}
	if r := t.runs[m.ID]; r != nil {
		s.regrant(r, from, m)
		return s.take()
	}
	if o := t.offers[m.ID]; o != nil {
		s.refresh(o, from, m)
		return s.take()
	}
	o := s.newOffer(t, from, m)
	room, expected := t.rooms[m.ID]
	if expected {
		// It was sent here because we said that we have room, which may mean
		// displacing or preempting; a plain refusal would send it round again.
		o.lastWord = true
		o.told = room.preempts
		delete(t.rooms, m.ID)
	}
	t.offers[m.ID] = o
	t.past.begin(m.ID)
	if o.Lane == queue.Short {
		t.sawShort(o.Tier)
	}
	s.admit(o)
	if o.told && !o.gone && o.Waiting() {
		// The run that was to make room makes it now: it was counted on for this
		// offer alone, and the next that asks would be told of it again.
		s.preempt(o)
	}
	if !o.gone {
		s.timers.set(o, o.nextTime(s))
		s.queued(o)
	}
	return s.take()
}

func (s *Scheduler) queued(o *offer) {
	s.send(o.from, message.Queued{Ask: o.msg.Ask, ID: o.ID, Target: o.msg.Target, Wait: o.target.wait(o)})
}

func (s *Scheduler) refresh(o *offer, from ident.Incarnation, m message.Offer) {
	if from != o.from || m.Ask <= o.msg.Ask {
		return
	}
	o.msg.Ask = m.Ask
	o.asked = s.now
	o.lastWord = o.lastWord || m.Final
	s.timers.set(o, o.nextTime(s))
	s.queued(o)
}

// regrant answers a refresh that crossed its grant or whose grant was lost. A
// run that was reported needs none. Below a floor, or while higher work waits,
// the answer is put off until the former grant has lapsed and the refresh counts
// as a new offer: the first grant may have been lost, and a new one would let
// this request pass the higher one.
func (s *Scheduler) regrant(r *run, from ident.Incarnation, m message.Offer) {
	if from != r.from || m.Ask <= r.offer.Ask || r.reported || r.preempting {
		return
	}
	if s.lowestGranted(r.target).Above(r.offer.Tier) || r.target.queue.CountAbove(r.offer.Tier) > 0 {
		return
	}
	r.offer.Ask = m.Ask
	s.sendGrant(r, s.now)
}

// Withdraw takes an offer back, or gives an unused grant back.
func (s *Scheduler) Withdraw(now time.Time, from ident.Incarnation, w message.Withdraw) []Effect {
	s.tick(now)
	t := s.targets[w.Target]
	if t == nil {
		return s.take()
	}
	if o := t.offers[w.ID]; o != nil && o.from == from {
		s.remove(o)
	}
	if r := t.runs[w.ID]; r != nil && r.from == from {
		t.endRun(r)
	}
	s.fill(t)
	return s.take()
}

// admit decides on an offer that has just come.
func (s *Scheduler) admit(o *offer) {
	t := o.target
	switch {
	case !t.available:
		s.refuse(o, refusal{reason: outcome.ReasonNoTarget})
	case o.msg.Remaining <= 0:
		s.refuse(o, refusal{reason: outcome.ReasonDeadlinePassed, settled: true})
	case s.set.Early && o.Due.Before(s.now):
		// Not even an idle target could be in time: no floor would help.
		s.refuse(o, refusal{reason: outcome.ReasonDeadline, settled: o.lastWord})
	case !s.quorum && o.Tier > topTier:
		s.refuseForLoad(o, outcome.ReasonNotReady)
	case !s.admissible(o):
		s.refuseForLoad(o, outcome.ReasonOverload)
	default:
		s.enqueue(o)
	}
}

// admissible reports whether floors let the offer in.
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

// enqueue puts the offer into the queue, grants what can be granted, and then
// brings the queue back to its bound.
func (s *Scheduler) enqueue(o *offer) {
	t := o.target
	if t.late(o, t.wait(o)) && !(o.told && s.preempt(o)) {
		s.refuseForLoad(o, outcome.ReasonOverload)
		return
	}
	t.queue.Push(&o.Item)
	s.fill(t)
	s.easeQueue(o)
	if !o.gone && t.queue.Len() > max(1, s.set.QueuePerTarget) {
		s.shedOne(o)
	}
}

// giveUp is when the offer cannot be met any more.
func (o *offer) giveUp(s *Scheduler) time.Time {
	if o.doomed {
		return o.doomedBy
	}
	if s.set.Early {
		return o.Due
	}
	return o.deadline
}

// askAt leaves time for an exchange with a silent member before giving up.
func (o *offer) askAt(s *Scheduler) time.Time {
	end := o.giveUp(s)
	return end.Add(-min(s.floors.ReplyTimeout(), end.Sub(o.arrived)/2))
}

// preemptAt leaves time for a run to be cancelled before giving up.
func (o *offer) preemptAt(s *Scheduler) time.Time {
	end := o.giveUp(s)
	return end.Add(-min(s.set.Grant, end.Sub(o.arrived)/2))
}

// costlyAt is when a run that has cost more than the offer brings is cancelled.
func (o *offer) costlyAt(s *Scheduler) time.Time {
	end := o.giveUp(s)
	return end.Add(-max(s.set.tripTime(), min(s.set.Grant, end.Sub(o.arrived)/8)))
}

func (o *offer) nextTime(s *Scheduler) time.Time {
	next := o.giveUp(s)
	if o.stage < stagePreempted {
		next = earliest(next, o.preemptAt(s))
	}
	if o.stage < stageAsked {
		next = earliest(next, o.askAt(s))
	}
	if o.from != s.self {
		next = earliest(next, o.asked.Add(s.set.Silence))
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

// fire takes the measures that an offer's age calls for.
func (o *offer) fire(s *Scheduler) time.Time {
	switch {
	case o.gone:
		return time.Time{}
	case o.from != s.self && s.now.Sub(o.asked) >= s.set.Silence:
		// Its owner does not refresh it: it died, was cut off, or has lost it.
		// Granting a place to it would leave the place empty until the lapse.
		s.remove(o)
	case !s.now.Before(o.giveUp(s)):
		s.expire(o)
	case o.stage < stagePreempted && !s.now.Before(o.preemptAt(s)):
		o.stage = stagePreempted
		s.preemptOrAsk(o)
	case o.stage < stageAsked && !s.now.Before(o.askAt(s)):
		o.stage = stageAsked
		s.askInTime(o)
	}
	if o.gone {
		return time.Time{}
	}
	return o.nextTime(s)
}

// expire refuses an offer whose time has run out.
func (s *Scheduler) expire(o *offer) {
	_, covered := s.floors.InForce(s.now, o.target.desc.Pool, o.Tier)
	standing := s.floors.MayRefuse(s.now, o.target.desc.Pool, o.Tier)
	if s.quorum && !standing && s.set.Preempt && !o.doomed {
		// No trip of its owner helps any more.
		o.lastWord = true
		o.stage = stagePreempted
		s.doom(o)
		return
	}
	if covered && s.quorum {
		// Lower work that cannot be cancelled may still run: it has been
		// waited for as long as the deadline allowed.
		s.refuse(o, refusal{reason: o.reason, settled: true})
		return
	}
	s.refuse(o, refusal{reason: outcome.ReasonDeadline, settled: o.lastWord})
}

// askInTime begins the exchange early enough to end before the offer's time
// does, unless the offer will be served or can get a place by preemption.
func (s *Scheduler) askInTime(o *offer) {
	if !o.Waiting() || !o.target.late(o, o.target.wait(o)) || s.victim(o.target, o.Tier) != nil {
		return
	}
	s.refuseOrHold(o)
}

// preemptOrAsk takes the last measures for a waiting offer. Its owner would
// hardly have the time to try other targets any more, so we ask for it; were it
// sent round instead, its time could end before anyone had asked whether lower
// work is served elsewhere.
func (s *Scheduler) preemptOrAsk(o *offer) {
	if !o.Waiting() || o.preempting || o.holding != nil && s.preemptWorth(o) {
		return
	}
	o.lastWord = true
	s.hold(o)
}

// refuseOrHold sends the owner of a waiting offer on to other targets, or asks
// the other schedulers while the offer keeps its place in the queue.
func (s *Scheduler) refuseOrHold(o *offer) {
	if !s.isLast(o) {
		s.refuse(o, refusal{reason: o.reason})
		return
	}
	s.hold(o)
}

// isLast reports whether a refusal here would end the request: the owner has
// no other target, or no time for one. The grant's time bounds a trip between
// entries; sent round with less, a request ran out of time on its way before
// anyone had asked whether lower work is served in its stead.
func (s *Scheduler) isLast(o *offer) bool {
	if o.giveUp(s).Sub(s.now) <= s.set.Grant {
		o.lastWord = true
	}
	return o.lastWord
}

// remove forgets an offer without an answer.
func (s *Scheduler) remove(o *offer) {
	o.gone = true
	o.target.queue.Remove(&o.Item)
	s.release(o)
	delete(o.target.offers, o.ID)
	s.timers.set(o, time.Time{})
}
