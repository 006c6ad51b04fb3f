package dispatch

import "time"

const (
	// limitRelief is how long a target gets nothing after it has begun to declare a limit: by
	// then it has got more than it can take.
	limitRelief = time.Second
	// limitBurst is the time whose requests may come at once.
	limitBurst = 250 * time.Millisecond
	// limitStep is how much later each entry of a cell may take the room that a limit leaves:
	// about as long as a report takes.
	limitStep = 2 * precedenceStep
	// limitDebt is the time whose requests may be owed, when entries have sent without
	// knowing of each other.
	limitDebt = 4 * time.Second
	// minLimit is the least rate, in requests a second: only an answer shows that the
	// target's need is over.
	minLimit = 0.2
)

// Limit is the rate of requests that a target takes from all entries together, as it
// declares in its answers for as long as it is in need.
type Limit struct {
	Declared  bool
	PerSecond float64
}

// LimitChange tells of a limit that began, changed or ended.
type LimitChange struct {
	Target      string
	Before, Now Limit
	// Peer is the entry that told of it; empty: an answer to this entry.
	Peer string
	// Sent is the number of requests that this entry has sent since the limit began, For how
	// long that has been; 0 where it begins.
	Sent int
	For  time.Duration
}

// declaredLimit is a target's limit as last declared, with a token bucket that all entries
// of the cell draw on: each takes its own requests, and those that the others report.
type declaredLimit struct {
	Limit
	// answered is when the answer came that declares it, or its end.
	answered time.Time
	// since is when it began or ended, zero where there was none; sent is the number of this
	// entry's requests since it began.
	since time.Time
	sent  int
	// tokens is the number of requests that may be sent, as of filled; negative: owed.
	tokens float64
	filled time.Time
}

// ObserveLimit takes the limit that an answer declares; one that declares none ends it.
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

// setLimit takes the limit that an answer of some moment declares; false: nothing changes.
func (s *Scheduler) setLimit(now time.Time, t *target, limit Limit, answered time.Time) (LimitChange, bool) {
	known := &t.limited
	if answered.Before(known.answered) {
		return LimitChange{}, false
	}
	known.answered = answered
	if limit == known.Limit {
		return LimitChange{}, false
	}
	change := LimitChange{Target: t.ID, Before: known.Limit, Now: limit}
	if known.Declared {
		change.Sent, change.For = known.sent, now.Sub(known.since)
	} else {
		known.sent = 0
		known.filled, known.tokens = now, s.firstTokens(t, limit)
	}
	if known.Declared != limit.Declared {
		known.since = now
	}
	known.Limit = limit
	return change, true
}

// firstTokens is what the bucket holds when a limit begins. Cells that share the target
// don't hear each other, so they begin at different times.
func (s *Scheduler) firstTokens(t *target, limit Limit) float64 {
	tokens := -limit.rate(t.pool.sharing) * limitRelief.Seconds()
	if t.pool.sharing > 1 {
		tokens -= float64(s.cell) / float64(s.cells)
	}
	return tokens
}

// rate is the part of the limit that one of so many cells may use, in requests a second.
func (l Limit) rate(sharing int) float64 {
	return max(minLimit, l.PerSecond) / float64(max(1, sharing))
}

// mayGet reports whether the target's limit has room for a request of this entry. A request
// takes no place of the cell's until the others hear of it, so each entry wants a little more
// room than the one before it, in an order that turns with each request.
func (s *Scheduler) mayGet(now time.Time, t *target) bool {
	if !t.limited.Declared {
		return true
	}
	s.fillTokens(now, t)
	wanted := 1 + t.limited.rate(t.pool.sharing)*float64(s.limitTurn(now, t))*limitStep.Seconds()
	return t.limited.tokens >= wanted
}

// limitTurn is the number of entries of the cell whose turn comes before this one's.
func (s *Scheduler) limitTurn(now time.Time, t *target) int {
	entries, before, sent := 1, 0, t.limited.sent
	for name, peer := range s.peers {
		sent += peer.sentUnderLimit[t.incarnation]
		if now.Sub(peer.at) > reportLife {
			continue
		}
		entries++
		if s.before(name, t) {
			before++
		}
	}
	return (before + sent) % entries
}

// fillTokens brings the bucket up to date.
func (s *Scheduler) fillTokens(now time.Time, t *target) {
	known := &t.limited
	rate := known.rate(t.pool.sharing)
	elapsed := max(0, now.Sub(known.filled))
	known.filled = now
	most := limitBurst + time.Duration(len(s.peers))*limitStep
	known.tokens = min(known.tokens+rate*elapsed.Seconds(), 1+rate*most.Seconds())
}

// takeTokens counts requests that were sent to the target.
func (s *Scheduler) takeTokens(now time.Time, t *target, n int) {
	if !t.limited.Declared {
		return
	}
	s.fillTokens(now, t)
	owed := max(1, t.limited.rate(t.pool.sharing)*limitDebt.Seconds())
	t.limited.tokens = max(t.limited.tokens-float64(n), -owed)
}
