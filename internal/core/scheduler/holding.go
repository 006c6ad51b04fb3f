package scheduler

import (
	"slices"
	"strings"
	"time"

	"sycamoretrail/internal/core/request"
)

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
	if len(h.offers) == 0 || h.asking || s.tooSoon(h) || s.floors.ExchangeRunning(h.key.pool, h.key.tier) {
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
	_, covered := s.floors.InForce(s.now, h.key.pool, h.key.tier)
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
		if s.tooSoon(h) || s.floors.ExchangeRunning(key.pool, key.tier) {
			continue
		}
		delete(s.holdings, key)
		s.holdKeys = slices.DeleteFunc(s.holdKeys, func(x holdKey) bool { return x == key })
	}
}
