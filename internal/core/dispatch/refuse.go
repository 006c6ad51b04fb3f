package dispatch

import (
	"time"
)

const (
	// MinRetryAfter is the shortest pause that a caller is asked to make.
	MinRetryAfter = 200 * time.Millisecond
	// maxRetryAfter bounds it: callers' deadlines are a few seconds.
	maxRetryAfter = 6 * time.Second
	// retryFactor is how much later than the estimated wait a caller is to come back: the
	// excess lasts longer than the queue of one entry says. With 1, 9 to 30 % more of the worth of
	// those who came back was refused again on the two heaviest days.
	retryFactor = 3
	// unknownHold stands for the mean time at a target before any is known.
	unknownHold = 300 * time.Millisecond
)

// refuseAtOnce refuses a request that can't be served in its time.
func (s *Scheduler) refuseAtOnce(now time.Time, p *pool, ticket *Ticket) (Refusal, bool) {
	if p.slots() == 0 {
		return Refusal{Ticket: ticket, Reason: ReasonNoTarget, RetryAfter: time.Second}, true
	}
	if refusal, refused := s.refusePaused(now, p, ticket, p.pausedUntil(now)); refused {
		return refusal, true
	}
	ahead := 0
	for _, other := range p.waiting {
		if !other.late(now) && !ticket.before(other) {
			ahead++
		}
	}
	if ahead == 0 {
		return Refusal{}, false
	}
	wait := s.wait(p, ahead)
	if now.Add(wait).Before(ticket.lastStart()) {
		return Refusal{}, false
	}
	return s.refusal(p, ticket, ReasonOverload, wait), true
}

// before reports whether a request is more important than another.
func (t *Ticket) before(other *Ticket) bool {
	return t.Priority < other.Priority || t.Priority == other.Priority && t.Rank < other.Rank
}

// refuseExpired ends what waits past the time in which it could be answered.
func (s *Scheduler) refuseExpired(now time.Time, p *pool) []Refusal {
	var refusals []Refusal
	kept := p.waiting[:0]
	pausedUntil := p.pausedUntil(now)
	for _, ticket := range p.waiting {
		if refusal, refused := s.refusePaused(now, p, ticket, pausedUntil); refused {
			refusals = append(refusals, refusal)
			continue
		}
		late := ticket.late(now)
		shed := late && p.lateFate.rarelyPlaced(now)
		if now.Before(ticket.lastStart()) && !shed {
			kept = append(kept, ticket)
			continue
		}
		if late && !shed {
			p.lateFate.note(now, false)
		}
		refusals = append(refusals, s.refusal(p, ticket, ReasonExpired, s.wait(p, len(p.waiting))))
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return refusals
}

// startShare is the part of its time that a request may spend in the queue. Refused
// then, it can still come back and be served late; held longer, it would most likely
// be left by its caller, and a place at a target be wasted on it.
const startShare = 0.6

// lastStart is the latest time at which sending the request still makes sense.
func (t *Ticket) lastStart() time.Time {
	by := t.Expires
	if !t.BeginBy.IsZero() && t.BeginBy.Before(by) {
		by = t.BeginBy
	}
	return t.Arrived.Add(time.Duration(startShare * float64(by.Sub(t.Arrived))))
}

// wait estimates how long a request waits behind others.
func (s *Scheduler) wait(p *pool, ahead int) time.Duration {
	return time.Duration(float64(ahead+1) / s.throughput(p) * float64(time.Second))
}

// throughput is the number of requests a second that this entry may count on: its places
// turn over once in the mean time at a target, and targets that declare a limit take no more
// than that.
func (s *Scheduler) throughput(p *pool) float64 {
	hold := p.meanHold() / float64(time.Second)
	own, slots, limited := 0, 0, 0.0
	for _, t := range p.targets {
		switch {
		case t.limited.Declared && !t.Leaving:
			limited += min(t.limited.rate(1), float64(t.Slots)/hold)
		case t.Leaving:
			own += t.own
		default:
			own += t.own
			slots += t.Slots
		}
	}
	if slots == 0 && limited > 0 {
		return limited / float64(s.entries)
	}
	return float64(max(own, slots/s.entries, 1))/hold + limited/float64(s.entries)
}

// own is the number of requests that this entry has at the pool's targets.
func (p *pool) own() int {
	n := 0
	for _, t := range p.targets {
		n += t.own
	}
	return n
}

// meanHold is the mean time at a target over all classes, in ns.
func (p *pool) meanHold() float64 {
	sum, n := 0.0, 0
	for _, c := range p.classes {
		if c.hold.samples > 0 {
			sum += c.hold.value
			n++
		}
	}
	if n == 0 {
		return float64(unknownHold)
	}
	return sum / float64(n)
}

func (s *Scheduler) refusal(p *pool, ticket *Ticket, reason Reason, wait time.Duration) Refusal {
	return Refusal{
		Ticket: ticket, Reason: reason,
		RetryAfter: min(maxRetryAfter, max(MinRetryAfter, retryFactor*wait)),
		Waiting:    len(p.waiting), Wait: wait,
	}
}
