package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/catalog"
)

// target is a server with what is known of it.
type target struct {
	catalog.Target
	// incarnation is the name by which it is held here and told of.
	incarnation string
	pool        *pool
	// own is the number of requests that this entry has there.
	own int
	// inCell: it is one of the targets of this entry's cell.
	inCell bool
	// latency is the mean time between events of its streams, or to other answers, in ns.
	latency mean
	// readTime is the mean time to read a token of a prompt, in ns.
	readTime mean
	// reading are this entry's requests there whose prompts are being read.
	reading []*Ticket
	// failures is the mean share of failures.
	failures mean
	// releasedAt is when this entry last gave a place back, freeSince since when the target
	// is known to have room; see hasPrecedence.
	releasedAt, freeSince time.Time
	// ejectedUntil is until when it gets nothing; each further failure in a row doubles
	// the time.
	ejectedUntil        time.Time
	consecutiveFailures int
	// unresponsiveUntil is until when this entry reports it to the cell, reports until when
	// each other entry does.
	unresponsiveUntil time.Time
	reports           map[string]time.Time
	// probing: it has been unresponsive and has not answered since. It gets one request at a
	// time, or all entries would try it again at once.
	probing bool
}

const (
	// ejectionBase is the first ejection after a target could not be reached. A server
	// that restarts is back after some seconds; 250 ms costs little if the failure
	// was only a full queue of connections.
	ejectionBase = 250 * time.Millisecond
	// ejectionMax bounds an ejection, so that a server that is back is used soon.
	ejectionMax = 2 * time.Second
	// rejectionPause lets a full target empty a little before the next attempt.
	rejectionPause = 60 * time.Millisecond
	// replacedPause covers the time until the register shows the change.
	replacedPause = time.Minute
	// zonePenalty is how much slower a target in another zone counts: bytes between
	// zones are paid for, which is worth less than any waiting.
	zonePenalty = 1.15
	// slownessFloor and slownessCeiling bound the ratio to the pool's mean, so that a few
	// odd samples neither flood nor starve a target.
	slownessFloor, slownessCeiling = 0.2, 8.0
	// failureWeight is how strongly failures beyond the pool's mean repel requests.
	failureWeight = 12.0
	// minSamples is the number of answers from which a target's own mean counts fully.
	minSamples = 2
)

// learn takes what was seen of one request.
func (t *target) learn(now time.Time, report Report) {
	switch report.Outcome {
	case Answered:
		t.failure(0)
		t.consecutiveFailures = 0
		t.unresponsiveUntil = time.Time{}
		t.probing = false
	case Failed:
		t.failure(1)
		t.consecutiveFailures = 0
		t.probing = false
	case Broken:
		t.failure(1)
		t.eject(now, ejectionBase)
	case TimedOut:
		t.failure(1)
		t.eject(now, ejectionBase)
		t.unresponsiveUntil = t.ejectedUntil
		t.probing = true
	case Unreachable:
		t.eject(now, ejectionBase)
	case Rejected:
		t.ejectedUntil = later(t.ejectedUntil, now.Add(rejectionPause))
		t.probing = false
	case Replaced:
		t.ejectedUntil = now.Add(replacedPause)
	case Abandoned:
	}
}

func (t *target) failure(share float64) {
	t.failures.add(share)
	t.pool.failures.add(share)
}

func (t *target) eject(now time.Time, base time.Duration) {
	pause := min(ejectionMax, base<<min(t.consecutiveFailures, 4))
	t.consecutiveFailures++
	t.ejectedUntil = later(t.ejectedUntil, now.Add(pause))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// slowness is the target's time for the same work against the pool's mean; 1
// where nothing is known.
func (t *target) slowness() float64 {
	if t.latency.samples < minSamples || t.pool.latency.value == 0 {
		return 1
	}
	return min(slownessCeiling, max(slownessFloor, t.latency.value/t.pool.latency.value))
}

// unreliability is 1 for a target that fails no more often than the pool.
func (t *target) unreliability() float64 {
	if t.failures.samples < minSamples {
		return 1
	}
	return 1 + failureWeight*max(0, t.failures.value-t.pool.failures.value-0.05)
}

// limit is the number of requests that the target should have at once, as far as
// this cell knows of them.
func (t *target) limit() int {
	if t.probing {
		return 1
	}
	if t.pool.sharing <= 1 {
		return t.Slots
	}
	return int(sharedHeadroom*float64(t.Slots)/float64(t.pool.sharing)) + 1
}

// serves reports whether the target is one of those that the cell uses.
func (t *target) serves() bool { return t.inCell && !t.Leaving }

// avoided reports whether the target gets nothing for now.
func (t *target) avoided(now time.Time) bool {
	return now.Before(t.ejectedUntil) || t.reportedUnresponsive(now)
}

// usable reports whether the target may get this request now.
func (t *target) usable(now time.Time, ticket *Ticket) bool {
	if !t.serves() || t.avoided(now) {
		return false
	}
	for _, tried := range ticket.Tried {
		if tried == t.incarnation {
			return false
		}
	}
	return true
}

// hasRoom reports whether any target could take a request.
func (s *Scheduler) hasRoom(now time.Time, p *pool) bool {
	for _, t := range p.targets {
		if !t.serves() || t.avoided(now) {
			continue
		}
		load, _ := s.load(now, t)
		t.observe(now, load)
		if load < t.limit() {
			return true
		}
	}
	return false
}

// choose picks the target that should answer soonest among those with room; nil:
// none that has room is fast enough, or none has any.
func (s *Scheduler) choose(now time.Time, p *pool, ticket *Ticket) *target {
	var best *target
	var bestCost float64
	expected := p.expected(ticket)
	needed := s.bestFit(now, p, ticket, expected)
	for _, t := range p.targets {
		if !t.usable(now, ticket) {
			continue
		}
		load, _ := s.load(now, t)
		t.observe(now, load)
		if load >= t.limit() || !s.hasPrecedence(now, t, ticket) {
			continue
		}
		if s.fitOf(now, t, load, ticket, expected) < needed {
			continue
		}
		if cost := s.cost(t, load, ticket); best == nil || cost < bestCost {
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
func (s *Scheduler) bestFit(now time.Time, p *pool, ticket *Ticket, expected time.Duration) fit {
	best := fitsLate
	for _, t := range p.targets {
		if best == fitsWell {
			break
		}
		if t.usable(now, ticket) {
			load, _ := s.load(now, t)
			best = max(best, s.fitOf(now, t, load, ticket, expected))
		}
	}
	return best
}

func (s *Scheduler) fitOf(now time.Time, t *target, load int, ticket *Ticket, expected time.Duration) fit {
	switch {
	case !s.inTime(now, t, ticket, expected):
		return fitsLate
	case s.pauses(now, t, load, ticket):
		return fitsPausing
	default:
		return fitsWell
	}
}

// expectationSlack is the part of the expected time that must be left: callers'
// guesses of the output are often twice too long.
const expectationSlack = 0.6

// inTime reports whether a target should finish the request before it expires, and
// begin its answer before the objective if that still lies ahead. Waiting for a faster
// target is better than a slow one that loses the work.
func (s *Scheduler) inTime(now time.Time, t *target, ticket *Ticket, expected time.Duration) bool {
	if now.Add(time.Duration(expectationSlack * t.slowness() * float64(expected))).After(ticket.Expires) {
		return false
	}
	if ticket.Objective.IsZero() || ticket.Work.Prompt == 0 || ticket.late(now) {
		return true
	}
	return !now.Add(t.first(ticket.Work.Prompt + s.backlog(now, t))).After(ticket.Objective)
}

// lesserSpeedWeight is the exponent of speed in the cost of requests that are less
// urgent than the most urgent kind of the service: they go to slower targets as long as
// they are in time there and leave the fast ones to the kind that matters most. That
// raises the share of all worth that is in time by 0.02 on calm days and by 0.01 under
// bursts (speeds 1 : 1.8 : 5); at 0 short answers become late on the slow targets, at 1
// the most urgent wait for the fast ones.
const lesserSpeedWeight = 0.3

// cost compares targets: the time for the work at that load, plus some hundredths
// that differ by request, so that entries with the same view spread out.
func (s *Scheduler) cost(t *target, load int, ticket *Ticket) float64 {
	slowness := t.slowness()
	if ticket.Rank > t.pool.mostUrgentRank() {
		slowness = math.Pow(slowness, lesserSpeedWeight)
	}
	cost := slowness * t.unreliability() * (1 + float64(load)/float64(t.Slots))
	if t.Zone != s.config.Zone {
		cost *= zonePenalty
	}
	spread := float64(xxhash.Sum64String(s.config.Name+t.incarnation+ticket.ID)%1000) / 1000
	return cost * (1 + spread*costSpread)
}

const costSpread = 0.05
