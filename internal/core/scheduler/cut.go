package scheduler

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

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
