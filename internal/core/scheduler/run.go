package scheduler

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/queue"
	"sycamoretrail/internal/core/request"
)

// prefillSlack: a prompt whose computation was not reported counts as computed
// after this many times its estimate, so that a lost report does not hold its
// part of the prefill budget until the run's end.
const prefillSlack = 2

// run is a place in use: granted, or reported by its owner.
type run struct {
	offer  message.Offer
	from   ident.Incarnation
	target *target
	// work is the part of its prompt that is not expected in the cache.
	work     int
	lane     queue.Lane
	began    time.Time // the grant, or the start that the owner reported
	service  time.Duration
	end      time.Time // probable
	lapse    time.Time // of the grant, until reported
	deadline time.Time
	batch    int
	// ahead is prompt tokens granted before it and not computed at its grant.
	ahead int
	// spentBefore is the target's computed prompt tokens at the first token.
	spentBefore float64
	tokens      int
	reported    bool
	started     bool
	// prefilling: its prompt counts in the target's budget until prefillBy.
	prefilling bool
	prefillBy  time.Time
	preempting bool
	preemptAt  time.Time
	orphan     bool
	gone       bool
	timer      timer
}

// fill grants places while there are some and something may start.
func (s *Scheduler) fill(t *target) {
	for t.open() && len(t.runs) < t.limit() {
		it := t.queue.Head(t.may)
		if it == nil {
			s.admitHeld(t)
			if t.queue.Len() == 0 {
				return
			}
			if it = t.queue.Head(t.may); it == nil {
				return
			}
		}
		if s.lowestGranted(t).Above(it.Tier) {
			return
		}
		o := t.offers[it.ID]
		if t.late(o, 0) {
			// Refused before any of its prompt is computed in vain.
			s.refuseForLoad(o, o.reason)
			continue
		}
		s.grant(o)
	}
}

// lowestGranted is the lowest tier that may be granted at a target now.
func (s *Scheduler) lowestGranted(t *target) request.Tier {
	if !s.quorum {
		return topTier
	}
	a := s.floors.Admission(s.now, t.desc.Pool)
	return min(a.Floor, a.GrantFloor, t.lowest())
}

// admitHeld moves offers that were held for an exchange into the queue, when
// the target has places that nothing in its queue wants.
func (s *Scheduler) admitHeld(t *target) {
	if t.queue.Len() > 0 {
		return
	}
	for _, key := range s.holdKeys {
		if key.pool != t.desc.Pool {
			continue
		}
		for _, o := range s.holdings[key].here(t) {
			if s.readmit(o) {
				return
			}
		}
	}
}

func (s *Scheduler) grant(o *offer) {
	t := o.target
	t.queue.Take(&o.Item)
	s.remove(o)
	r := &run{
		offer:    o.msg,
		work:     o.Prompt,
		from:     o.from,
		target:   t,
		lane:     o.Lane,
		began:    s.now,
		service:  o.service,
		end:      s.now.Add(t.scaled(o.service) + t.prefillTime(t.backlog())),
		deadline: o.deadline,
		batch:    len(t.runs) + 1,
		ahead:    t.backlog(),
	}
	if r.lane == queue.Long {
		t.putOff(t.prefillTime(r.work))
	}
	t.addRun(r)
	s.sendGrant(r, o.asked)
}

// sendGrant grants a place. Valid counts from when the owner sent the ask, so
// it is the ask's age here plus the grant's time; our own lapse is later than
// the owner's by the transit, and by the margin in which a report of a grant
// used at the last moment may arrive.
func (s *Scheduler) sendGrant(r *run, asked time.Time) {
	valid := s.now.Sub(asked) + s.set.Grant
	r.lapse = s.now.Add(2 * s.set.Grant)
	s.timers.set(r, r.nextTime(s))
	s.send(r.from, message.Grant{Ask: r.offer.Ask, ID: r.offer.ID, Target: r.offer.Target, Valid: valid})
}

func (t *target) addRun(r *run) {
	t.runs[r.offer.ID] = r
	t.service += r.service
	if r.lane == queue.Long {
		t.longRuns++
	}
	if r.offer.Alone {
		t.suspects++
	}
	if r.offer.PromptTokens > 0 && !r.started {
		r.prefilling = true
		first := t.est.FirstToken(r.work, 0, t.prefill, len(t.runs))
		r.prefillBy = t.clock.Add(prefillSlack * first)
		t.prefill += r.work
		t.addBacklog(r)
		if r.lane == queue.Long {
			t.prefillLong += r.work
		}
	}
}

func (t *target) endPrefill(r *run) {
	if !r.prefilling {
		return
	}
	r.prefilling = false
	t.prefill -= r.work
	if r.lane == queue.Long {
		t.prefillLong -= r.work
	}
	t.clampBacklog()
	r.spentBefore = t.pending.spent
}

func (t *target) endRun(r *run) {
	if r.gone {
		return
	}
	r.gone = true
	t.endPrefill(r)
	delete(t.runs, r.offer.ID)
	t.service -= r.service
	if r.lane == queue.Long {
		t.longRuns--
	}
	if r.offer.Alone {
		t.suspects--
	}
	t.timers.set(r, time.Time{})
}

func (r *run) timerOf() *timer { return &r.timer }

// nextTime: a grant that nobody used lapses; a run whose owner is gone counts
// until its probable end; any other run until its deadline, at which its owner
// cancels it, and the silence limit for a lost Done.
func (r *run) nextTime(s *Scheduler) time.Time {
	next := r.deadline.Add(s.set.Silence)
	switch {
	case !r.reported:
		next = r.lapse
	case r.orphan:
		next = earliest(r.deadline, r.end)
	}
	if r.prefilling {
		next = earliest(next, r.prefillBy)
	}
	return next
}

func (r *run) fire(s *Scheduler) time.Time {
	if r.gone {
		return time.Time{}
	}
	t := r.target
	if r.prefilling && !s.now.Before(r.prefillBy) {
		t.endPrefill(r)
	}
	next := r.nextTime(s)
	if !s.now.Before(next) {
		t.endRun(r)
		next = time.Time{}
	}
	s.fill(t)
	return next
}

// Done ends a run and learns from it.
func (s *Scheduler) Done(now time.Time, from ident.Incarnation, d message.Done) []Effect {
	s.tick(now)
	t := s.targets[d.Target]
	if t == nil {
		return s.take()
	}
	t.past.end(s.now, d.ID, s.set.Silence)
	if r := t.runs[d.ID]; r != nil && r.from == from {
		s.learn(t, r, d)
		t.endRun(r)
	}
	if o := t.offers[d.ID]; o != nil && o.from == from {
		s.remove(o)
	}
	if d.Result == message.ResultLeaving && t.available {
		// Its own word comes before the instance list's, which lags.
		s.setAvailable(t, false)
	}
	s.fill(t)
	return s.take()
}

func (s *Scheduler) learn(t *target, r *run, d message.Done) {
	sample := d.Sample
	if sample.Batch == 0 {
		sample.Batch = r.batch
	}
	if sample.QueuedPrefill == 0 {
		sample.QueuedPrefill = r.ahead
	}
	t.ownSteps(r, &sample)
	t.learnCached(r, sample)
	whole := d.Result == message.ResultComplete
	if whole {
		t.learnOccupancy(r, s.now.Sub(r.began))
	}
	if whole || d.Result == message.ResultCancelled && sample.FirstToken > 0 {
		t.est.Observe(s.now, sample)
	}
}

// PeerGone says that an entry's process has ended. Its offers are dropped, its
// unused grants lapse, and its runs go on at the targets: they count until
// their probable end.
func (s *Scheduler) PeerGone(now time.Time, from ident.Incarnation) []Effect {
	s.tick(now)
	s.reports.forget(from)
	for _, name := range sortedNames(s.targets) {
		t := s.targets[name]
		for _, o := range t.sortedOffers() {
			if o.from == from {
				s.remove(o)
			}
		}
		for _, r := range t.sortedRuns() {
			if r.from == from {
				r.orphan = true
				s.timers.set(r, r.nextTime(s))
			}
		}
		delete(t.awaited, from)
	}
	s.verdicts(s.floors.PeerTerminated(s.now, from))
	for _, name := range sortedNames(s.targets) {
		s.fill(s.targets[name])
	}
	return s.take()
}

// computed is the work that a run has cost so far, in tokens.
func (t *target) computed(r *run) int {
	if r.started {
		return r.work + r.tokens
	}
	if !r.reported {
		return 0
	}
	first := t.est.FirstToken(r.work, 0, 0, len(t.runs))
	if first <= 0 {
		return r.work
	}
	part := float64(t.clock.Sub(r.began)) / float64(first)
	return int(min(1, part) * float64(r.work))
}

// lastMoments: a run so near to its end that waiting is cheaper than cancelling.
// One that has outlived its probable end by as much may take any time: were it
// spared for good, higher work would be refused while it runs.
func (t *target) lastMoments(r *run) bool {
	return r.reported && r.end.Sub(*t.clock).Abs() < r.service/lastMomentsPart
}

const lastMomentsPart = 20

// victim is the run that is cancelled for a request of a tier: of lower work
// that may be repeated, the one that has cost least.
func (s *Scheduler) victim(t *target, tier request.Tier) *run {
	if !s.set.Preempt {
		return nil
	}
	var best *run
	cost := 0
	for _, r := range t.runs {
		if !tier.Above(r.offer.Tier) || !t.preemptible(r) {
			continue
		}
		c := t.computed(r)
		if best == nil || c < cost || c == cost && r.offer.ID < best.offer.ID {
			best = r
			cost = c
		}
	}
	return best
}

// preemptible: a call that may not be repeated is never cancelled, since its
// caller could not send it again; nor is a plain service's, which may go on
// there unseen.
func (t *target) preemptible(r *run) bool {
	return r.repeatable() && !r.preempting && !t.lastMoments(r)
}

func (r *run) repeatable() bool {
	return r.offer.Idempotent && r.offer.Kind == request.Engine && !r.orphan
}

// preemptFor preempts for an offer whose refusal would be the last word.
func (s *Scheduler) preemptFor(o *offer) bool {
	return o.lastWord && s.preempt(o)
}

// preempt cancels one lower run for an offer, once.
func (s *Scheduler) preempt(o *offer) bool {
	r := s.victimFor(o)
	if r == nil {
		return false
	}
	o.preempting = true
	s.sendPreempt(r)
	return true
}

// preemptWorth preempts for an offer unless that is too dear yet.
func (s *Scheduler) preemptWorth(o *offer) bool {
	r := s.victimFor(o)
	return r != nil && s.worth(o, o.target.computed(r)) && s.preempt(o)
}

// victimFor is the run whose end would let an offer be in time where it is.
func (s *Scheduler) victimFor(o *offer) *run {
	t := o.target
	if o.preempting || !t.open() {
		return nil
	}
	r := s.victim(t, o.Tier)
	if r == nil || t.lateBeside(o, 0, t.loadWithout(r)) {
		return nil
	}
	return r
}

func (s *Scheduler) sendPreempt(r *run) {
	r.preempting = true
	r.preemptAt = s.now
	s.send(r.from, message.Preempt{ID: r.offer.ID, Target: r.offer.Target})
}
