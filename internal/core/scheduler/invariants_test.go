package scheduler

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// floorSeen is the floor of a settled refusal: nothing below tier is granted
// before until.
type floorSeen struct {
	tier  request.Tier
	until time.Time
}

// checkEffects checks a scheduler's effects and posts their messages.
func (w *world) checkEffects(from ident.Incarnation, effects []Effect) {
	for _, e := range effects {
		switch m := e.Message.(type) {
		case message.Grant:
			w.checkGrant(from, m)
		case message.Refuse:
			w.checkRefusal(from, m)
		}
		w.post(from, e.To, e.Message)
	}
}

func (w *world) checkGrant(from ident.Incarnation, m message.Grant) {
	tier := w.requests[m.ID].offer.Tier
	for _, v := range w.schedulers[from].Inspect(w.now) {
		for higher := 0; v.Name == m.Target && higher < int(tier) && higher < len(v.Queued); higher++ {
			if v.Queued[higher] > 0 {
				w.t.Fatalf("%s of tier %d granted while tier %d waits at %s", m.ID, tier, higher, v.Name)
			}
		}
	}
	for _, f := range w.floors {
		if f.tier < tier && w.now.Before(f.until) {
			w.t.Fatalf("%s of tier %d granted after a settled refusal of tier %d", m.ID, tier, f.tier)
		}
	}
}

func (w *world) checkRefusal(from ident.Incarnation, m message.Refuse) {
	if m.PoolWide && m.Reason == outcome.ReasonDeadline {
		w.checkDeadlineRefusal(m)
	}
	if !m.PoolWide || !m.Reason.CapacityRelated() || m.Reason == outcome.ReasonDeadlinePassed || m.Reason == outcome.ReasonDeadline {
		return
	}
	c := w.requests[m.ID]
	for name, s := range w.schedulers {
		for _, t := range s.targets {
			if last := t.queue.Last(); last != nil && last.Tier > c.offer.Tier {
				w.t.Fatalf("%s of tier %d refused by %s while %s waits at %s of %s", m.ID, c.offer.Tier, from, last.ID, t.desc.Name, name)
			}
			for _, r := range t.runs {
				if r.offer.Tier > c.offer.Tier && w.now.Before(c.due) {
					w.t.Fatalf("%s of tier %d refused by %s before its latest start while %s runs at %s", m.ID, c.offer.Tier, from, r.offer.ID, t.desc.Name)
				}
			}
		}
	}
	until, inForce := w.schedulers[from].floors.InForce(w.now, pool, c.offer.Tier)
	if !inForce {
		w.t.Fatalf("%s has a settled refusal without a floor", m.ID)
	}
	w.floors = append(w.floors, floorSeen{c.offer.Tier, until})
	w.stats["settled"]++
}

// checkDeadlineRefusal checks a refusal for the deadline. A request that arrived
// with enough time for all exchanges may expire only while no lower work waits,
// unless it was recently redirected to capacity found for it.
func (w *world) checkDeadlineRefusal(m message.Refuse) {
	c := w.requests[m.ID]
	if c.slack < w.set.FailureTimeout+4*maxDelay || w.now.Sub(c.redirected) <= 3*maxDelay {
		return
	}
	w.stats["too late"]++
	for _, s := range w.schedulers {
		for _, t := range s.targets {
			if last := t.queue.Last(); last != nil && last.Tier > c.offer.Tier {
				w.t.Fatalf("%s of tier %d ran out of time while %s waits at %s", m.ID, c.offer.Tier, last.ID, t.desc.Name)
			}
		}
	}
}

func (w *world) checkSlots() {
	inUse := map[string]int{}
	for _, c := range w.order {
		if c.running {
			inUse[c.offer.Target]++
		}
	}
	for name, slots := range w.slots {
		if inUse[name] > slots && !w.unsettled[name] {
			w.t.Fatalf("%d in flight at %s with %d slots", inUse[name], name, slots)
		}
		if inUse[name] <= slots && w.schedulers[w.schedulerOf[name]].targets[name] != nil && w.schedulers[w.schedulerOf[name]].targets[name].acceptsGrants() {
			delete(w.unsettled, name)
		}
	}
}
