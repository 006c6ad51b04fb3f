package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// zonePenalty is how much slower a target in another zone counts: bytes between
	// zones are paid for, which is worth less than any waiting.
	zonePenalty = 1.15
	// lesserSpeedWeight is the exponent of speed in the cost of requests that are less
	// urgent than the most urgent kind of the service: they go to slower targets as long as
	// they are in time there and leave the fast ones to the kind that matters most. That
	// raises the share of all worth that is in time by 0.02 on calm days and by 0.01 under
	// bursts (speeds 1 : 1.8 : 5); at 0 short answers become late on the slow targets, at 1
	// the most urgent wait for the fast ones.
	lesserSpeedWeight = 0.3
	// expectationSlack is the part of the expected time that must be left: callers'
	// guesses of the output are often twice too long.
	expectationSlack = 0.6
	// costSpread is the part by which the cost differs by request, so that entries that
	// know the same spread out.
	costSpread = 0.05
)

// view is what is known of a target at the moment of a decision. It is computed once for
// all requests that wait: computed for each, a queue of fifty before nine targets took
// 0.46 ms of a core with each report of a peer, against 0.03.
type view struct {
	// load is the number of requests, backlog the number of prompt tokens still to be read.
	load, backlog int
	// available: it may get requests; free: and it has room.
	available, free bool
	// ahead is the number of entries that go before this one, by urgency of the request.
	ahead map[Urgency]int
}

// survey computes the views of a pool's targets.
func (s *Scheduler) survey(now time.Time, p *pool) {
	for _, t := range p.targets {
		t.now = view{}
		if !t.serves() {
			continue
		}
		load, _ := s.load(now, t)
		mayGet := s.mayGet(now, t)
		t.observe(now, mayGet && load < t.limit())
		t.now.available = mayGet && !t.avoided(now)
		if !t.now.available {
			continue
		}
		t.now.load, t.now.backlog = load, s.backlog(now, t)
		t.now.free = load < t.limit()
		t.now.ahead = make(map[Urgency]int)
	}
}

// took brings a target's view up to date with a request that it got.
func (s *Scheduler) took(now time.Time, t *target, ticket *Ticket) {
	t.now.load++
	t.now.backlog += ticket.Work.Prompt
	t.now.available = s.mayGet(now, t)
	t.now.free = t.now.available && t.now.load < t.limit()
	t.observe(now, t.now.free)
}

// anyFree reports whether any target has room.
func (p *pool) anyFree() bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.now.free })
}

// usable reports whether the target may get this request.
func (t *target) usable(ticket *Ticket) bool {
	return t.now.available && !slices.Contains(ticket.Tried, t.incarnation)
}

// choose picks the target that should answer soonest among those with room; nil:
// none that has room is fast enough, or none has any.
func (s *Scheduler) choose(now time.Time, p *pool, ticket *Ticket) *target {
	var best *target
	var bestCost float64
	expected := p.expected(ticket)
	needed := p.bestFit(now, ticket, expected)
	lesser := ticket.Rank > p.mostUrgentRank()
	for _, t := range p.targets {
		if !t.now.free || !t.usable(ticket) || !s.hasPrecedence(now, t, ticket) {
			continue
		}
		if t.fitOf(now, ticket, expected) < needed {
			continue
		}
		if cost := s.cost(t, ticket, lesser); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// fit tells how well a target suits a request.
type fit uint8

const (
	// fitsLate: it would finish too late, or begin after the objective.
	fitsLate fit = iota
	// fitsPausing: in time, but other streams there would pause for too long.
	fitsPausing
	// fitsWell: neither.
	fitsWell
)

// bestFit is the best fit among the targets that the request may use, with room or
// not: it waits for one of those.
func (p *pool) bestFit(now time.Time, ticket *Ticket, expected time.Duration) fit {
	best := fitsLate
	for _, t := range p.targets {
		if best == fitsWell {
			break
		}
		if t.usable(ticket) {
			best = max(best, t.fitOf(now, ticket, expected))
		}
	}
	return best
}

func (t *target) fitOf(now time.Time, ticket *Ticket, expected time.Duration) fit {
	switch {
	case !t.inTime(now, ticket, expected):
		return fitsLate
	case t.pauses(ticket):
		return fitsPausing
	default:
		return fitsWell
	}
}

// inTime reports whether the target should finish the request before it expires, and
// begin its answer before the objective if that still lies ahead. Waiting for a faster
// target is better than a slow one that loses the work.
func (t *target) inTime(now time.Time, ticket *Ticket, expected time.Duration) bool {
	if now.Add(time.Duration(expectationSlack * t.slowness() * float64(expected))).After(ticket.Expires) {
		return false
	}
	if ticket.Objective.IsZero() || ticket.Work.Prompt == 0 || ticket.late(now) {
		return true
	}
	return !now.Add(t.first(ticket.Work.Prompt + t.now.backlog)).After(ticket.Objective)
}

// cost compares targets: the time for the work at that load, plus some hundredths
// that differ by request. lesser: there are more urgent kinds in the pool.
func (s *Scheduler) cost(t *target, ticket *Ticket, lesser bool) float64 {
	slowness := t.slowness()
	if lesser {
		slowness = math.Pow(slowness, lesserSpeedWeight)
	}
	cost := slowness * t.unreliability() * (1 + float64(t.now.load)/float64(t.Slots))
	if t.Zone != s.config.Zone {
		cost *= zonePenalty
	}
	spread := float64(xxhash.Sum64String(s.config.Name+t.incarnation+ticket.ID)%1000) / 1000
	return cost * (1 + spread*costSpread)
}
