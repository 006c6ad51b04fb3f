package dispatch

import "time"

const (
	// initialLimitPause is how long a target receives nothing after it has begun to declare
	// a limit: by then it has received more than it can handle.
	initialLimitPause = time.Second
	// limitBurst is the period whose requests may be sent at once.
	limitBurst = 250 * time.Millisecond
	// limitTurnDelay is the delay between two entries of a cell for using the capacity under
	// a limit: about as long as a report takes.
	limitTurnDelay = 2 * turnDelay
	// maxLimitDebt bounds by how much the bucket may be overdrawn, as the time in which it
	// refills: entries may send before they receive each other's reports.
	maxLimitDebt = 4 * time.Second
	// minLimit is the minimum rate, in requests a second: only an answer shows that the
	// target no longer needs a limit.
	minLimit = 0.2
)

// Limit is the rate of requests that a target accepts from all entries together. The
// target declares it in its answers for as long as it needs it.
type Limit struct {
	Declared  bool
	PerSecond float64
}

// LimitChange describes a limit that began, changed or ended.
type LimitChange struct {
	Target      string
	Before, Now Limit
	// Peer is the entry that reported it; empty for an answer to this entry.
	Peer string
	// Sent is the number of requests that this entry has sent since the limit began, For
	// the time since then; both are 0 when it begins.
	Sent int
	For  time.Duration
}

// declaredLimit is a target's limit as last declared, with a token bucket shared by the
// entries of the cell: each entry subtracts its own requests and those that others report.
type declaredLimit struct {
	Limit
	// answered is when the answer arrived that declares the limit or its end.
	answered time.Time
	// since is when the limit began or ended, zero if there was none; sent is the number of
	// this entry's requests since it began.
	since time.Time
	sent  int
	// tokens is the number of requests that may be sent, as of filled; negative if overdrawn.
	tokens float64
	filled time.Time
}

// ObserveLimit applies the limit that an answer declares; an answer without a limit ends it.
func (s *Scheduler) ObserveLimit(now time.Time, ticket *Ticket, limit Limit) Effects {
	at := ticket.target
	if at == nil {
		return Effects{}
	}
	change, changed := s.setLimit(now, at, limit, now)
	if !changed {
		return Effects{}
	}
	effects := s.advance(now, at.pool)
	effects.Limits = []LimitChange{change}
	return effects
}

// setLimit applies the limit declared by an answer that arrived at the given time, and
// reports whether it changed.
func (s *Scheduler) setLimit(now time.Time, t *target, limit Limit, answered time.Time) (LimitChange, bool) {
	declared := &t.limited
	if answered.Before(declared.answered) {
		return LimitChange{}, false
	}
	declared.answered = answered
	if limit == declared.Limit {
		return LimitChange{}, false
	}
	change := LimitChange{Target: t.ID, Before: declared.Limit, Now: limit}
	if declared.Declared {
		change.Sent, change.For = declared.sent, now.Sub(declared.since)
	} else {
		declared.sent = 0
		declared.filled, declared.tokens = now, s.initialTokens(t, limit)
	}
	if declared.Declared != limit.Declared {
		declared.since = now
	}
	declared.Limit = limit
	return change, true
}

// initialTokens returns the content of the bucket when a limit begins. Cells that share the
// target do not receive each other's reports, so they begin at different times.
func (s *Scheduler) initialTokens(t *target, limit Limit) float64 {
	tokens := -limit.rate(t.pool.sharing) * initialLimitPause.Seconds()
	if t.pool.sharing > 1 {
		tokens -= float64(s.cell) / float64(s.cells)
	}
	return tokens
}

// rate returns the part of the limit that one of sharing cells may use, in requests a second.
func (l Limit) rate(sharing int) float64 {
	return max(minLimit, l.PerSecond) / float64(max(1, sharing))
}

// withinLimit reports whether the target's limit admits a request of this entry. The others
// of the cell subtract a request only when it is reported, so each entry requires slightly
// more tokens than the one before it, in an order that rotates with each request.
func (s *Scheduler) withinLimit(now time.Time, t *target) bool {
	if !t.limited.Declared {
		return true
	}
	s.refillTokens(now, t)
	needed := 1 + t.limited.rate(t.pool.sharing)*float64(s.limitTurn(now, t))*limitTurnDelay.Seconds()
	return t.limited.tokens >= needed
}

// limitTurn returns the number of entries of the cell whose turn is before this one's.
func (s *Scheduler) limitTurn(now time.Time, t *target) int {
	entries, before, sent := 1, 0, t.limited.sent
	for name, peer := range s.peers {
		sent += peer.sentUnderLimit[t.incarnation]
		if now.Sub(peer.at) > reportTTL {
			continue
		}
		entries++
		if s.precedes(name, t) {
			before++
		}
	}
	return (before + sent) % entries
}

// refillTokens refills the bucket for the time elapsed.
func (s *Scheduler) refillTokens(now time.Time, t *target) {
	declared := &t.limited
	rate := declared.rate(t.pool.sharing)
	elapsed := max(0, now.Sub(declared.filled))
	declared.filled = now
	most := limitBurst + time.Duration(len(s.peers))*limitTurnDelay
	declared.tokens = min(declared.tokens+rate*elapsed.Seconds(), 1+rate*most.Seconds())
}

// takeTokens subtracts requests sent to the target.
func (s *Scheduler) takeTokens(now time.Time, t *target, n int) {
	if !t.limited.Declared {
		return
	}
	s.refillTokens(now, t)
	debt := max(1, t.limited.rate(t.pool.sharing)*maxLimitDebt.Seconds())
	t.limited.tokens = max(t.limited.tokens-float64(n), -debt)
}
