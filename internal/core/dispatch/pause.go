package dispatch

import "time"

// maxPause bounds a pause that a target requests, so that a wrong value does not exclude it for good.
const maxPause = 10 * time.Minute

// ObservePause applies a pause requested by a target, during which this entry sends it nothing.
func (s *Scheduler) ObservePause(now time.Time, ticket *Ticket, pause time.Duration) Effects {
	at := ticket.target
	if at == nil || pause <= 0 {
		return Effects{}
	}
	at.pausedUntil = later(at.pausedUntil, now.Add(min(pause, maxPause)))
	return s.advance(now, at.pool)
}

// paused reports whether the target has requested a pause that is still in force.
func (t *target) paused(now time.Time) bool { return now.Before(t.pausedUntil) }

// pausedUntil returns when the first of the pool's targets ends its pause; zero if at
// least one of them is not paused.
func (p *pool) pausedUntil(now time.Time) time.Time {
	var first time.Time
	for _, t := range p.targets {
		switch {
		case !t.usedByCell():
		case !t.paused(now):
			return time.Time{}
		case first.IsZero() || t.pausedUntil.Before(first):
			first = t.pausedUntil
		}
	}
	return first
}

// refusePaused refuses a request that cannot wait until the pause of all targets ends.
func (s *Scheduler) refusePaused(now time.Time, p *pool, ticket *Ticket, until time.Time) (Refusal, bool) {
	if !until.After(ticket.latestStart()) {
		return Refusal{}, false
	}
	refusal := s.refusal(p, ticket, ReasonPaused, until.Sub(now))
	refusal.RetryAfter = min(maxRetryAfter, max(MinRetryAfter, until.Sub(now)))
	return refusal, true
}
