package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// zonePenalty is the cost factor of a target in another zone. Traffic between zones
	// is billed, but that costs less than waiting.
	zonePenalty = 1.15
	// lowerRankSpeedExponent is the exponent of slowness in the cost of requests below the
	// most urgent rank of the service. They use slower targets as long as these are in time
	// and leave the fast ones to the most urgent rank. That raises the share of the value that
	// is served in time by 0.02 without overload and by 0.01 under bursts (speeds 1 : 1.8 : 5);
	// at 0 short answers become late on the slow targets, at 1 the most urgent requests wait
	// for the fast ones.
	lowerRankSpeedExponent = 0.3
	// expectedTimeFactor is the part of the expected time that must remain before a request
	// expires: callers' estimates of the output are often twice too long.
	expectedTimeFactor = 0.6
	// costJitter is the part by which the cost varies by request, so that entries with
	// the same information choose different targets.
	costJitter = 0.05
)

// snapshot is the state of a target at the moment of a decision. It is computed once for
// all waiting requests: computed for each, a queue of fifty before nine targets took
// 0.46 ms of a core with each report of a peer, against 0.03.
type snapshot struct {
	// load is the number of requests, backlog the number of prompt tokens not yet read.
	load, backlog int
	// available means that the target may receive requests, free that it also has a free slot.
	available, free bool
	// ahead is the number of entries that precede this one, by urgency of the request.
	ahead map[Urgency]int
}

// updateSnapshots computes the snapshots of a pool's targets.
func (s *Scheduler) updateSnapshots(now time.Time, p *pool) {
	p.refreshLeases(now)
	beyondCell := p.versionsBeyondCell()
	for _, t := range p.targets {
		t.snapshot = snapshot{}
		if !t.usedByCell() && (t.Leaving || !slices.Contains(beyondCell, t.Version)) {
			continue
		}
		load, _ := s.load(now, t)
		withinLimit := s.withinLimit(now, t)
		t.trackFree(now, withinLimit && load < t.limit())
		t.snapshot.available = withinLimit && !t.avoided(now)
		if !t.snapshot.available {
			continue
		}
		t.snapshot.load, t.snapshot.backlog = load, s.backlog(now, t)
		t.snapshot.free = load < t.limit()
		t.snapshot.ahead = make(map[Urgency]int)
	}
}

// addGranted updates a target's snapshot with a request that was granted to it.
func (s *Scheduler) addGranted(now time.Time, t *target, ticket *Ticket) {
	t.snapshot.load++
	t.snapshot.backlog += ticket.Work.Prompt
	t.snapshot.available = s.withinLimit(now, t)
	t.snapshot.free = t.snapshot.available && t.snapshot.load < t.limit()
	t.trackFree(now, t.snapshot.free)
}

// anyFree reports whether any target has a free slot.
func (p *pool) anyFree() bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.snapshot.free })
}

// eligible reports whether the target may receive this request.
func (t *target) eligible(ticket *Ticket) bool {
	return t.snapshot.available && t.suits(ticket) && !slices.Contains(ticket.Tried, t.incarnation)
}

// choose picks the target that should answer soonest among those with a free slot. It
// returns nil if no such target exists or none of them is fast enough.
func (s *Scheduler) choose(now time.Time, p *pool, ticket *Ticket) *target {
	var best *target
	var bestCost float64
	expected := p.expected(ticket)
	needed := p.bestFit(now, ticket, expected)
	lowerRank := ticket.Rank > p.mostUrgentRank()
	for _, t := range p.targets {
		if !t.snapshot.free || !t.eligible(ticket) || !s.hasPrecedence(now, t, ticket) {
			continue
		}
		if t.fitOf(now, ticket, expected) < needed {
			continue
		}
		if cost := s.cost(t, ticket, lowerRank); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// fit grades how well a target suits a request.
type fit uint8

const (
	// fitLate means that it would finish too late, or begin after the objective.
	fitLate fit = iota
	// fitPausing means that it is in time, but other streams there would pause for too long.
	fitPausing
	// fitGood means neither.
	fitGood
)

// bestFit returns the best fit among the eligible targets, with a free slot or without:
// the request waits for one of those.
func (p *pool) bestFit(now time.Time, ticket *Ticket, expected time.Duration) fit {
	best := fitLate
	for _, t := range p.targets {
		if best == fitGood {
			break
		}
		if t.eligible(ticket) {
			best = max(best, t.fitOf(now, ticket, expected))
		}
	}
	return best
}

func (t *target) fitOf(now time.Time, ticket *Ticket, expected time.Duration) fit {
	switch {
	case !t.inTime(now, ticket, expected):
		return fitLate
	case t.stallsStreams(ticket):
		return fitPausing
	default:
		return fitGood
	}
}

// inTime reports whether the target should finish the request before it expires, and
// begin its answer before the objective if that is still ahead. Waiting for a faster
// target is better than a slow one whose answer comes too late.
func (t *target) inTime(now time.Time, ticket *Ticket, expected time.Duration) bool {
	if now.Add(time.Duration(expectedTimeFactor * t.slowness() * float64(expected))).After(ticket.Expires) {
		return false
	}
	if ticket.Objective.IsZero() || ticket.Work.Prompt == 0 || ticket.late(now) {
		return true
	}
	return !now.Add(t.timeToFirst(ticket.Work.Prompt + t.snapshot.backlog)).After(ticket.Objective)
}

// cost returns the cost by which targets are compared: the time for the work at that load,
// with some hundredths of jitter by request. lowerRank is set if the pool serves more
// urgent ranks.
func (s *Scheduler) cost(t *target, ticket *Ticket, lowerRank bool) float64 {
	slowness := t.slowness()
	if lowerRank {
		slowness = math.Pow(slowness, lowerRankSpeedExponent)
	}
	cost := slowness * t.unreliability() * (1 + float64(t.snapshot.load)/float64(t.Slots))
	if t.Zone != s.config.Zone {
		cost *= zonePenalty
	}
	spread := float64(xxhash.Sum64String(s.config.Name+t.incarnation+ticket.ID)%1000) / 1000
	return cost * (1 + spread*costJitter)
}
