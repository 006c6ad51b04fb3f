package dispatch

import (
	"time"
)

const (
	// MinRetryAfter is the shortest retry delay given to a caller.
	MinRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is the longest retry delay: callers' deadlines are a few seconds.
	maxRetryAfter = 6 * time.Second
	// retryFactor is the retry delay as a multiple of the estimated wait. An overload lasts
	// longer than the queue of one entry indicates: with a factor of 1, 9 to 30 % more of the
	// value of retried requests was refused again under the heaviest loads.
	retryFactor = 3
	// defaultHold is used as the mean time at a target until one has been measured.
	defaultHold = 300 * time.Millisecond
)

// refuseAtOnce refuses a request that cannot be served in time.
func (s *Scheduler) refuseAtOnce(now time.Time, p *pool, ticket *Ticket) (Refusal, bool) {
	if p.slots() == 0 {
		return Refusal{Ticket: ticket, Reason: ReasonNoTarget, RetryAfter: time.Second}, true
	}
	if ticket.Version != nil && !p.serves(*ticket.Version) {
		return Refusal{Ticket: ticket, Reason: ReasonNoVersion, RetryAfter: time.Second}, true
	}
	if refusal, refused := s.refusePaused(now, p, ticket, p.pausedUntil(now)); refused {
		return refusal, true
	}
	if refusal, refused := s.refuseAtDoor(now, p, ticket); refused {
		return refusal, true
	}
	ahead := p.ahead(now, ticket)
	if ahead == 0 {
		return Refusal{}, false
	}
	wait := s.estimatedWait(p, ahead)
	if now.Add(wait).Before(ticket.latestStart()) {
		return Refusal{}, false
	}
	return s.scheduleReturn(now, p, s.refusal(p, ticket, ReasonOverload, wait)), true
}

// refuseExpired refuses requests that can no longer be answered in time.
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
		shed := late && p.lateRate(ticket).rarelyPlaced(now)
		if now.Before(ticket.latestStart()) && !shed {
			kept = append(kept, ticket)
			continue
		}
		if late && !shed {
			p.lateRate(ticket).record(now, false)
		}
		refusals = append(refusals, s.scheduleReturn(now, p, s.refusal(p, ticket, ReasonExpired, s.estimatedWait(p, len(p.waiting)))))
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return refusals
}

// maxQueueShare is the part of its time that a request may spend in the queue. Refused
// by then, it can still be retried and served late; held longer, it would most likely
// be abandoned by its caller and waste a slot at a target.
const maxQueueShare = 0.6

// latestStart returns the latest time at which sending the request is still useful.
func (t *Ticket) latestStart() time.Time {
	by := t.Expires
	if !t.BeginBy.IsZero() && t.BeginBy.Before(by) {
		by = t.BeginBy
	}
	return t.Arrived.Add(time.Duration(maxQueueShare * float64(by.Sub(t.Arrived))))
}

// estimatedWait estimates how long a request waits behind others.
func (s *Scheduler) estimatedWait(p *pool, ahead int) time.Duration {
	return time.Duration(float64(ahead+1) / s.throughput(p) * float64(time.Second))
}

// throughput returns the number of requests a second available to this entry: its slots
// are reused once per mean time at a target, and targets that declare a limit accept no
// more than that.
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

// ownRequests returns the number of requests that this entry has at the pool's targets.
func (p *pool) ownRequests() int {
	n := 0
	for _, t := range p.targets {
		n += t.own
	}
	return n
}

// meanHold returns the mean time at a target over all classes, in ns.
func (p *pool) meanHold() float64 {
	sum, n := 0.0, 0
	for _, c := range p.classes {
		if c.hold.samples > 0 {
			sum += c.hold.value
			n++
		}
	}
	if n == 0 {
		return float64(defaultHold)
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
