package dispatch

import "time"

// maxPause bounds a pause that a target asks for: a wrong number must not take it away for good.
const maxPause = 10 * time.Minute

// ObservePause takes a target's word that it wants nothing from this entry for a while.
func (s *Scheduler) ObservePause(now time.Time, ticket *Ticket, pause time.Duration) Effects {
	at := ticket.target
	if at == nil || pause <= 0 {
		return Effects{}
	}
	at.pausedUntil = later(at.pausedUntil, now.Add(min(pause, maxPause)))
	return s.advance(now, at.pool)
}

// paused reports whether the target wants nothing from this entry.
func (t *target) paused(now time.Time) bool { return now.Before(t.pausedUntil) }

// pausedUntil is when the first of the pool's targets may get something again; zero: at
// least one of them does not want to be left alone.
func (p *pool) pausedUntil(now time.Time) time.Time {
	var first time.Time
	for _, t := range p.targets {
		switch {
		case !t.serves():
		case !t.paused(now):
			return time.Time{}
		case first.IsZero() || t.pausedUntil.Before(first):
			first = t.pausedUntil
		}
	}
	return first
}

// refusePaused refuses a request that could only wait in vain; false: it may wait.
func (s *Scheduler) refusePaused(now time.Time, p *pool, ticket *Ticket, until time.Time) (Refusal, bool) {
	if !until.After(ticket.lastStart()) {
		return Refusal{}, false
	}
	refusal := s.refusal(p, ticket, ReasonPaused, until.Sub(now))
	refusal.RetryAfter = min(maxRetryAfter, max(MinRetryAfter, until.Sub(now)))
	return refusal, true
}
