package dispatch

import "time"

// Limit is the rate of requests that a target takes from all entries together, as it
// declares in its answers for as long as it is in need.
type Limit struct {
	Declared  bool
	PerSecond float64
}

// LimitChange tells of a limit that began, changed or ended.
type LimitChange struct {
	Before, Now Limit
	// Sent is the number of requests that this entry sent under the limit before, For how
	// long that held.
	Sent int
	For  time.Duration
}

// declaredLimit is a target's limit as last declared.
type declaredLimit struct {
	Limit
	// since is when it changed last, sent the number of this entry's requests since then.
	since time.Time
	sent  int
}

// ObserveLimit takes the limit that an answer declares; one that declares none ends it.
func (s *Scheduler) ObserveLimit(now time.Time, ticket *Ticket, limit Limit) (change LimitChange, changed bool) {
	at := ticket.target
	if at == nil || limit == at.limited.Limit {
		return LimitChange{}, false
	}
	before := at.limited
	at.limited = declaredLimit{Limit: limit, since: now}
	change = LimitChange{Before: before.Limit, Now: limit}
	if before.Declared {
		change.Sent, change.For = before.sent, now.Sub(before.since)
	}
	return change, true
}
