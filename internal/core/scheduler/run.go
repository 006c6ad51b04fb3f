package scheduler

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/queue"
	"sycamoretrail/internal/core/request"
)

// prefillTimeoutFactor is the multiple of its estimated prefill time after which
// a prompt counts as computed without a report, so that a lost report does not
// occupy part of the prefill budget until the run ends.
const prefillTimeoutFactor = 2

// run is a slot in use: granted, or reported by its owner.
type run struct {
	offer  message.Offer
	from   ident.Incarnation
	target *target
	// uncachedPrompt is the number of prompt tokens not expected in the cache.
	uncachedPrompt int
	lane           queue.Lane
	began          time.Time // the grant, or the start that the owner reported
	service        time.Duration
	expectedEnd    time.Time // by estimate
	grantExpiry    time.Time // of the grant, while the run is not reported
	deadline       time.Time
	batch          int
	// prefillAhead is the prompt tokens granted before it and not yet computed at
	// its grant.
	prefillAhead int
	// longComputedBefore is the target's prefillBacklog.longComputed at the first
	// token.
	longComputedBefore float64
	tokens             int
	reported           bool
	started            bool
	// prefilling reports that its prompt counts in the target's prefill budget,
	// at most until prefillBy.
	prefilling  bool
	prefillBy   time.Time
	preempting  bool
	preemptedAt time.Time
	orphan      bool
	ended       bool
	timer       timer
}

// fill grants free slots while a waiting offer may start.
func (s *Scheduler) fill(t *target) {
	for t.acceptsGrants() && len(t.runs) < t.limit() {
		it := t.queue.Head(t.canStart)
		if it == nil {
			s.admitHeld(t)
			if t.queue.Len() == 0 {
				return
			}
			if it = t.queue.Head(t.canStart); it == nil {
				return
			}
		}
		if s.lowestGrantable(t).Above(it.Tier) {
			return
		}
		o := t.offers[it.ID]
		if t.missesDeadline(o, 0) {
			// Refuse it before prefill work is wasted on it.
			s.refuseForLoad(o, o.reason)
			continue
		}
		s.grant(o)
	}
}

// lowestGrantable returns the lowest tier that may be granted at a target now.
func (s *Scheduler) lowestGrantable(t *target) request.Tier {
	if !s.quorum {
		return topTier
	}
	a := s.floors.Admission(s.now, t.desc.Pool)
	return min(a.Floor, a.GrantFloor, t.takeoverFloor())
}

// admitHeld moves an offer that is held for an exchange into the queue if the
// queue is empty.
func (s *Scheduler) admitHeld(t *target) {
	if t.queue.Len() > 0 {
		return
	}
	for _, key := range s.heldKeys {
		if key.pool != t.desc.Pool {
			continue
		}
		for _, o := range s.held[key].offersAt(t) {
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
		offer:          o.msg,
		uncachedPrompt: o.Prompt,
		from:           o.from,
		target:         t,
		lane:           o.Lane,
		began:          s.now,
		service:        o.service,
		expectedEnd:    s.now.Add(t.scaled(o.service) + t.prefillTime(t.backlog())),
		deadline:       o.deadline,
		batch:          len(t.runs) + 1,
		prefillAhead:   t.backlog(),
	}
	if r.lane == queue.Long {
		t.delayRuns(t.prefillTime(r.uncachedPrompt))
	}
	t.addRun(r)
	s.sendGrant(r, o.refreshed)
}

// sendGrant grants a slot. Valid counts from when the owner sent the offer, so
// it is the offer's age here plus the grant time. The grant expires here later
// than at the owner, by the transit time and by a margin for the report of a
// grant that was used at the last moment.
func (s *Scheduler) sendGrant(r *run, refreshed time.Time) {
	valid := s.now.Sub(refreshed) + s.settings.GrantTime
	r.grantExpiry = s.now.Add(2 * s.settings.GrantTime)
	s.timers.set(r, r.nextTimer(s))
	s.send(r.from, message.Grant{OfferSeq: r.offer.Seq, ID: r.offer.ID, Target: r.offer.Target, Valid: valid})
}

func (t *target) addRun(r *run) {
	t.runs[r.offer.ID] = r
	t.totalService += r.service
	if r.lane == queue.Long {
		t.longRuns++
	}
	if r.offer.Isolated {
		t.suspects++
	}
	if r.offer.PromptTokens > 0 && !r.started {
		r.prefilling = true
		first := t.estimator.FirstToken(r.uncachedPrompt, 0, t.prefill, len(t.runs))
		r.prefillBy = t.clock.Add(prefillTimeoutFactor * first)
		t.prefill += r.uncachedPrompt
		t.addBacklog(r)
		if r.lane == queue.Long {
			t.prefillLong += r.uncachedPrompt
		}
	}
}

func (t *target) endPrefill(r *run) {
	if !r.prefilling {
		return
	}
	r.prefilling = false
	t.prefill -= r.uncachedPrompt
	if r.lane == queue.Long {
		t.prefillLong -= r.uncachedPrompt
	}
	t.clampBacklog()
	r.longComputedBefore = t.pending.longComputed
}

func (t *target) endRun(r *run) {
	if r.ended {
		return
	}
	r.ended = true
	t.endPrefill(r)
	delete(t.runs, r.offer.ID)
	t.totalService -= r.service
	if r.lane == queue.Long {
		t.longRuns--
	}
	if r.offer.Isolated {
		t.suspects--
	}
	t.timers.set(r, time.Time{})
}

func (r *run) timerOf() *timer { return &r.timer }

// nextTimer returns when the run is next checked. An unused grant expires. A run
// whose owner has terminated counts until its expected end; any other run until
// its deadline, at which its owner cancels it, plus the failure-detection
// timeout in case its Done is lost.
func (r *run) nextTimer(s *Scheduler) time.Time {
	next := r.deadline.Add(s.settings.FailureTimeout)
	switch {
	case !r.reported:
		next = r.grantExpiry
	case r.orphan:
		next = earliest(r.deadline, r.expectedEnd)
	}
	if r.prefilling {
		next = earliest(next, r.prefillBy)
	}
	return next
}

func (r *run) fire(s *Scheduler) time.Time {
	if r.ended {
		return time.Time{}
	}
	t := r.target
	if r.prefilling && !s.now.Before(r.prefillBy) {
		t.endPrefill(r)
	}
	next := r.nextTimer(s)
	if !s.now.Before(next) {
		t.endRun(r)
		next = time.Time{}
	}
	s.fill(t)
	return next
}

// Done ends a run and updates the estimates from it.
func (s *Scheduler) Done(now time.Time, from ident.Incarnation, d message.Done) []Effect {
	s.advance(now)
	t := s.targets[d.Target]
	if t == nil {
		return s.takeEffects()
	}
	t.endedRuns.end(s.now, d.ID, s.settings.FailureTimeout)
	if r := t.runs[d.ID]; r != nil && r.from == from {
		s.learn(t, r, d)
		t.endRun(r)
	}
	if o := t.offers[d.ID]; o != nil && o.from == from {
		s.remove(o)
	}
	if d.Result == message.ResultLeaving && t.available {
		// The target's own announcement arrives before the instance list's update.
		s.setAvailable(t, false)
	}
	s.fill(t)
	return s.takeEffects()
}

func (s *Scheduler) learn(t *target, r *run, d message.Done) {
	sample := d.Sample
	if sample.Batch == 0 {
		sample.Batch = r.batch
	}
	if sample.QueuedPrefill == 0 {
		sample.QueuedPrefill = r.prefillAhead
	}
	t.subtractLongPrefill(r, &sample)
	t.learnCached(r, sample)
	complete := d.Result == message.ResultComplete
	if complete {
		t.learnOccupancy(r, s.now.Sub(r.began))
	}
	if complete || d.Result == message.ResultCancelled && sample.FirstToken > 0 {
		t.estimator.Observe(s.now, sample)
	}
}

// PeerTerminated handles the end of an entry's process. Its offers are removed, its
// unused grants expire, and its runs, which continue at the targets, count until
// their expected end.
func (s *Scheduler) PeerTerminated(now time.Time, from ident.Incarnation) []Effect {
	s.advance(now)
	s.reports.dropFrom(from)
	for _, name := range sortedKeys(s.targets) {
		t := s.targets[name]
		for _, o := range t.sortedOffers() {
			if o.from == from {
				s.remove(o)
			}
		}
		for _, r := range t.sortedRuns() {
			if r.from == from {
				r.orphan = true
				s.timers.set(r, r.nextTimer(s))
			}
		}
		delete(t.awaited, from)
	}
	s.handleResults(s.floors.PeerTerminated(s.now, from))
	for _, name := range sortedKeys(s.targets) {
		s.fill(s.targets[name])
	}
	return s.takeEffects()
}

// computedTokens returns the tokens that a run has computed so far.
func (t *target) computedTokens(r *run) int {
	if r.started {
		return r.uncachedPrompt + r.tokens
	}
	if !r.reported {
		return 0
	}
	first := t.estimator.FirstToken(r.uncachedPrompt, 0, 0, len(t.runs))
	if first <= 0 {
		return r.uncachedPrompt
	}
	part := float64(t.clock.Sub(r.began)) / float64(first)
	return int(min(1, part) * float64(r.uncachedPrompt))
}

// nearEnd reports whether a run is so close to its expected end that waiting is
// cheaper than cancelling it. A run that exceeds its expected end by the same
// margin is no longer spared: it may take any time, and higher work would be
// refused while it runs.
func (t *target) nearEnd(r *run) bool {
	return r.reported && r.expectedEnd.Sub(*t.clock).Abs() < r.service/nearEndDivisor
}

const nearEndDivisor = 20

// victim returns the run to cancel for a request of a tier, or nil: of the
// lower runs that may be repeated, the one that has computed the fewest tokens.
func (s *Scheduler) victim(t *target, tier request.Tier) *run {
	if !s.settings.Preempt {
		return nil
	}
	var best *run
	cost := 0
	for _, r := range t.runs {
		if !tier.Above(r.offer.Tier) || !t.preemptible(r) {
			continue
		}
		c := t.computedTokens(r)
		if best == nil || c < cost || c == cost && r.offer.ID < best.offer.ID {
			best = r
			cost = c
		}
	}
	return best
}

// preemptible reports whether a run may be cancelled. A call that may not be
// repeated is never cancelled, since its caller could not send it again; nor is
// a call of a plain service, which may continue there unnoticed.
func (t *target) preemptible(r *run) bool {
	return r.repeatable() && !r.preempting && !t.nearEnd(r)
}

func (r *run) repeatable() bool {
	return r.offer.Idempotent && r.offer.Kind == request.Engine && !r.orphan
}

// preemptIfFinal preempts for an offer whose refusal would end the request.
func (s *Scheduler) preemptIfFinal(o *offer) bool {
	return o.final && s.preempt(o)
}

// preempt cancels one lower run for an offer, at most once per offer.
func (s *Scheduler) preempt(o *offer) bool {
	r := s.victimFor(o)
	if r == nil {
		return false
	}
	o.preempting = true
	s.sendPreempt(r)
	return true
}

// preemptIfWorthwhile preempts for an offer unless that is still too expensive.
func (s *Scheduler) preemptIfWorthwhile(o *offer) bool {
	r := s.victimFor(o)
	return r != nil && s.worthwhile(o, o.target.computedTokens(r)) && s.preempt(o)
}

// victimFor returns the run whose cancellation would let an offer meet its
// deadlines at its target, or nil.
func (s *Scheduler) victimFor(o *offer) *run {
	t := o.target
	if o.preempting || !t.acceptsGrants() {
		return nil
	}
	r := s.victim(t, o.Tier)
	if r == nil || t.missesDeadlineWith(o, 0, t.loadWithout(r)) {
		return nil
	}
	return r
}

func (s *Scheduler) sendPreempt(r *run) {
	r.preempting = true
	r.preemptedAt = s.now
	s.send(r.from, message.Preempt{ID: r.offer.ID, Target: r.offer.Target})
}
