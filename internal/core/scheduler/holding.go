package scheduler

import (
	"slices"
	"strings"
	"time"

	"sycamoretrail/internal/core/request"
)

// heldKey identifies a held group.
type heldKey struct {
	pool string
	tier request.Tier
}

func (k heldKey) compare(other heldKey) int {
	if k.tier != other.tier {
		return int(k.tier) - int(other.tier)
	}
	return strings.Compare(k.pool, other.pool)
}

// heldGroup is the offers of one pool and tier that wait for the end of one
// exchange, so that many refusals require only one exchange.
type heldGroup struct {
	key    heldKey
	offers []*offer
	// need is the offer for which the exchange requests capacity.
	need *offer
	// nextExchange is the earliest start of the next exchange while a floor is in
	// force: lower work that cannot be cancelled was left running.
	nextExchange time.Time
	// preemptsLower reports that the exchange has lower runs cancelled.
	preemptsLower bool
	// allowsLate reports that all expired offers can still be answered in full, if
	// late, and need not be refused yet.
	allowsLate bool
	// backoffUntil delays the next exchange, since the last one found only
	// capacity that is still too expensive.
	backoffUntil time.Time
	// asking guards against recursion: without other schedulers, an exchange ends
	// within the call that starts it.
	asking bool
}

func (h *heldGroup) offersAt(t *target) []*offer {
	var list []*offer
	for _, o := range h.offers {
		if o.target == t {
			list = append(list, o)
		}
	}
	return list
}

// pick returns the offer that receives the next capacity found: the most urgent
// of those that have time for the trip and for a run to be cancelled there.
//
// If an exchange requested capacity for an offer that is about to expire, it
// would find none, and a floor would be promised with lower work left. Offers
// with enough time to take that work's slots would then be refused under the
// floor.
func (h *heldGroup) pick(now time.Time, trip time.Duration) *offer {
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

// moreUrgent reports whether an offer takes precedence over another. If both are
// due after the given time or later, the one due first does. Otherwise there may
// be no time left to serve one of them, and the one due later does.
func (o *offer) moreUrgent(than *offer, after time.Time) bool {
	if than.Due.Before(after) {
		return o.Due.After(than.Due)
	}
	return o.Due.Before(than.Due) && !o.Due.Before(after)
}

// hasExpired reports whether the group has an expired offer, which is refused as
// soon as no lower work runs any more.
func (h *heldGroup) hasExpired() bool {
	return slices.ContainsFunc(h.offers, func(o *offer) bool { return o.expired })
}

func (s *Scheduler) heldGroupFor(key heldKey) *heldGroup {
	h := s.held[key]
	if h == nil {
		h = &heldGroup{key: key}
		s.held[key] = h
		at, _ := slices.BinarySearchFunc(s.heldKeys, key, heldKey.compare)
		s.heldKeys = slices.Insert(s.heldKeys, at, key)
	}
	return h
}

// hold keeps an offer until the exchange for its tier ends. Capacity at this
// scheduler's own targets is used first, since it requires no messages.
func (s *Scheduler) hold(o *offer) {
	if o.group != nil {
		return
	}
	pool := o.target.desc.Pool
	if other, _ := s.findCapacity(pool, o.current(s.now), o.target, capacityByDisplacement); other != nil {
		s.refuse(o, refusal{reason: o.reason, elsewhere: other.desc.Name})
		return
	}
	h := s.heldGroupFor(heldKey{pool: pool, tier: o.Tier})
	if len(h.offers) >= max(minHeldLimit, s.settings.QueuePerTarget) {
		s.refuse(o, refusal{reason: o.reason})
		return
	}
	s.addHeld(o)
	s.startExchange(h)
}

// addHeld adds an offer to the held group of its tier.
func (s *Scheduler) addHeld(o *offer) {
	o.group = s.heldGroupFor(heldKey{pool: o.target.desc.Pool, tier: o.Tier})
	o.group.offers = append(o.group.offers, o)
}

// tripTime is the time allowed for an offer to reach another target, and for the
// end of a run that is cancelled there for it.
func (s *Settings) tripTime() time.Duration { return s.GrantTime / tripDivisor }

// tripDivisor divides the grant time, which covers several trips.
const tripDivisor = 4

// unhold removes an offer from its held group.
func (s *Scheduler) unhold(o *offer) {
	h := o.group
	if h == nil {
		return
	}
	o.group = nil
	h.offers = slices.DeleteFunc(h.offers, func(x *offer) bool { return x == o })
	if h.need == o {
		h.need = nil
	}
}

// startExchange starts an exchange for a held group, unless one is running or it
// is too soon.
func (s *Scheduler) startExchange(h *heldGroup) {
	if len(h.offers) == 0 || h.asking || s.tooSoon(h) || s.floors.ExchangeRunning(h.key.pool, h.key.tier) {
		return
	}
	// An exchange that ends within this call without settling the offer must not
	// start the next one at once, which would recurse without end. The next tick
	// starts it.
	h.asking = true
	defer func() { h.asking = false }()
	h.need = h.pick(s.now, s.settings.tripTime())
	h.preemptsLower = h.hasExpired()
	h.allowsLate = h.preemptsLower && h.completableLate(s)
	own := s.ownCandidate(h.need)
	m, others, results := s.floors.BeginWith(s.now, h.key.pool, h.key.tier, h.need.current(s.now), own)
	m.Final, m.MissesFirstToken = h.preemptsLower, h.allowsLate
	for _, who := range others {
		s.send(who, m)
	}
	s.handleResults(results)
}

// tooSoon reports whether another exchange would gain nothing yet, since the
// floor that the last one obtained is still in force or its capacity was too
// expensive.
func (s *Scheduler) tooSoon(h *heldGroup) bool {
	if !h.preemptsLower && h.hasExpired() {
		return false
	}
	if s.now.Before(h.backoffUntil) {
		return true
	}
	_, inForce := s.floors.InForce(s.now, h.key.pool, h.key.tier)
	return inForce && s.now.Before(h.nextExchange)
}

// retryHeld starts the exchanges that are due, and deletes empty held groups.
func (s *Scheduler) retryHeld() {
	for _, key := range slices.Clone(s.heldKeys) {
		h := s.held[key]
		if len(h.offers) > 0 {
			s.startExchange(h)
			continue
		}
		if s.tooSoon(h) || s.floors.ExchangeRunning(key.pool, key.tier) {
			continue
		}
		delete(s.held, key)
		s.heldKeys = slices.DeleteFunc(s.heldKeys, func(x heldKey) bool { return x == key })
	}
}
