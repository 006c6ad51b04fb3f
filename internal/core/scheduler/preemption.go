package scheduler

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

// completableLate reports whether all expired offers could still receive a
// complete answer by their deadline.
func (h *heldGroup) completableLate(s *Scheduler) bool {
	return !slices.ContainsFunc(h.offers, func(o *offer) bool { return o.expired && !o.completableLate(s) })
}

func (o *offer) completableLate(s *Scheduler) bool {
	return !o.firstTokenBy.IsZero() && o.latestCompleteStart().After(s.now.Add(s.settings.GrantTime))
}

// latestCompleteStart returns the latest start for a complete answer by the
// deadline.
func (o *offer) latestCompleteStart() time.Time {
	return o.deadline.Add(-o.target.estimator.Total(o.Prompt, 0, o.msg.MaxTokens, 0, 0))
}

// waiveFirstToken requeues an offer without its first-token deadline.
//
// To refuse even one short request, every lower run would have to be cancelled,
// which can waste the prefill of twenty long prompts. A late answer costs only
// the request's own tokens, and since its latest start is later now, it queues
// behind all requests that can still meet their deadlines.
func (s *Scheduler) waiveFirstToken(o *offer) bool {
	t := o.target
	if !o.completableLate(s) || !t.available || t.queue.Len() >= max(1, s.settings.QueuePerTarget) {
		return false
	}
	s.unhold(o)
	o.expired, o.preempting = false, false
	o.firstTokenBy, o.msg.FirstToken = time.Time{}, 0
	o.Due = o.latestCompleteStart()
	o.stage = stageWaiting
	t.queue.Push(&o.Item)
	s.timers.set(o, o.nextTimer(s))
	s.fill(t)
	return true
}

const (
	// preemptionTrips is the longest wait for the end of cancelled runs, in trip
	// times; preemptionPolls is how many times per trip time it is checked.
	preemptionTrips = 2
	preemptionPolls = 4
)

// expireAfterPreemption holds an expired offer while the lower runs of the pool
// are cancelled.
//
// If the offer were refused at once, lower runs would continue although higher
// work is refused. If the runs were cancelled earlier, some would be cancelled for
// offers that then obtain a slot in time.
func (s *Scheduler) expireAfterPreemption(o *offer) {
	o.expired = true
	o.expiredUntil = earliest(o.deadline, s.now.Add(preemptionTrips*s.settings.tripTime()))
	o.target.queue.Remove(&o.Item)
	if o.group == nil {
		s.addHeld(o)
	}
	h := o.group
	h.nextExchange = s.now
	s.startExchange(h)
}

// worthwhile reports whether a run that has computed cost tokens is cancelled
// for an offer now. If a slot may become free by itself before, a run that has
// computed more tokens than the offer requests is cancelled only at the last
// moment.
func (s *Scheduler) worthwhile(o *offer, cost int) bool {
	last := o.expensivePreemptAt(s)
	return cost <= o.Cost || !s.now.Before(last) || !o.target.freesSlotBy(last)
}

// freesSlotBy reports whether a run is expected to end before the given time.
func (t *target) freesSlotBy(end time.Time) bool {
	for _, r := range t.runs {
		if r.expectedEnd.Before(end) {
			return true
		}
	}
	return false
}

// mayPreemptHere reports whether a run may be cancelled for an offer at its own
// target. If a floor has been promised since, no offer below it may join a
// queue.
func (s *Scheduler) mayPreemptHere(o *offer) bool {
	return !o.expired && (o.Waiting() || s.admissible(o))
}

// preemptHere cancels a run at the target of a held offer and queues the offer
// for its slot.
func (s *Scheduler) preemptHere(o *offer) {
	t := o.target
	if !s.mayPreemptHere(o) {
		return
	}
	s.unhold(o)
	if !o.Waiting() {
		t.queue.Push(&o.Item)
	}
	s.preempt(o)
	s.fill(t)
	if !o.removed && t.queue.Len() > max(1, s.settings.QueuePerTarget) {
		s.shedOne(o)
	}
}

// preemptLower cancels the lower runs that may be cancelled before a request of
// a tier is refused, and reports whether any are still being cancelled. If one
// of them has computed more than maxCost tokens, all are spared; 0 spares none.
//
// If the request could not meet its deadline at this target, no capacity was
// reported, and without preemption it would be refused while lower runs continue
// here. Runs near their expected end are cancelled too, since that end is only
// an estimate.
func (s *Scheduler) preemptLower(pool string, tier request.Tier, maxCost int) (preempting, spared bool) {
	if !s.settings.Preempt {
		return false, false
	}
	if maxCost > 0 && s.maxLowerCost(pool, tier) > maxCost {
		return false, true
	}
	for _, t := range s.pools[pool] {
		for _, r := range t.sortedRuns() {
			if tier.Above(r.offer.Tier) && r.repeatable() && !r.preempting {
				s.sendPreempt(r)
			}
		}
		preempting = preempting || t.preemptingRuns() > 0
	}
	return preempting, false
}

// maxLowerCost returns the most tokens that any lower run has computed.
func (s *Scheduler) maxLowerCost(pool string, tier request.Tier) int {
	most := 0
	for _, t := range s.pools[pool] {
		for _, r := range t.runs {
			if tier.Above(r.offer.Tier) && r.repeatable() && !r.preempting {
				most = max(most, t.computedTokens(r))
			}
		}
	}
	return most
}

// expensiveFactor limits the cost of a lower run that is cancelled for a request
// of which only the first token would be late, as a multiple of the request's
// own tokens.
const expensiveFactor = 4

func maxPreemptionCost(late bool, need message.Offer) int {
	if !late {
		return 0
	}
	return expensiveFactor * (need.PromptTokens + need.MaxTokens)
}

// preemptingRuns returns the number of runs that are being cancelled.
func (t *target) preemptingRuns() int {
	n := 0
	for _, r := range t.runs {
		if r.preempting {
			n++
		}
	}
	return n
}
