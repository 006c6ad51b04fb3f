package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// pool is the targets of one service and what waits for them.
type pool struct {
	service string
	targets []*target
	waiting []*Ticket
	// advancedAt is when the queue was last looked at.
	advancedAt time.Time
	classes    map[string]*class
	rates      rates
	// lateFate is what becomes of requests that are late.
	lateFate fate
	// sharing is the number of cells that share all targets; 1: each has its own.
	sharing int
	// latency is the mean latency over all targets, in ns.
	latency mean
	// pauseRatio is the longest pause of late in a stream, as a multiple of the mean pause
	// at its target; 0: none seen.
	pauseRatio float64
	// failures is the mean share of failures over all targets.
	failures mean
}

func (p *pool) remove(t *target) {
	if i := slices.Index(p.targets, t); i >= 0 {
		p.targets = slices.Delete(p.targets, i, i+1)
	}
}

func (p *pool) unqueue(ticket *Ticket) bool {
	i := slices.Index(p.waiting, ticket)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// mostUrgent is the urgency of the most urgent request that waits; false: none does.
func (p *pool) mostUrgent(now time.Time) (most Urgency, waits bool) {
	for _, ticket := range p.waiting {
		if u := ticket.urgency(now); !waits || u < most {
			most, waits = u, true
		}
	}
	return most, waits
}

// slots is what all usable targets run at once.
func (p *pool) slots() int {
	n := 0
	for _, t := range p.targets {
		if !t.Leaving {
			n += t.Slots
		}
	}
	return n
}

// order sorts the queue: what can still be in time goes first, then by priority and
// rank, then by arrival, long work a little later. A request that is late has lost most of
// its worth, so it gets only places that no timely one needs; otherwise each late
// answer would make the next one late as well, and a short overload would last.
func (p *pool) order(now time.Time) {
	slices.SortStableFunc(p.waiting, func(a, b *Ticket) int {
		return cmp.Or(
			boolean(a.late(now))-boolean(b.late(now)),
			a.Priority-b.Priority,
			a.Rank-b.Rank,
			a.turn.Compare(b.turn),
			cmp.Compare(a.sequence, b.sequence),
		)
	})
}

// longWorkDelay is how much later a request counts as arrived for each unit of
// expected work. Short work first serves more requests in time under overload;
// the bounded delay keeps long requests from starving.
const longWorkDelay = 1.0

// schedule sets the times by which a request is ordered.
func (p *pool) schedule(ticket *Ticket) {
	expected := p.expected(ticket)
	ticket.turn = ticket.Arrived.Add(time.Duration(longWorkDelay * float64(expected)))
	if ticket.Objective.IsZero() {
		return
	}
	begin := p.first(ticket.Work)
	if begin == 0 {
		begin = expected
	}
	ticket.timely = ticket.Objective.Add(-begin)
}

// late reports whether sending the request now should miss its objective.
func (t *Ticket) late(now time.Time) bool {
	return !t.Objective.IsZero() && now.After(t.timely)
}

func boolean(b bool) int {
	if b {
		return 1
	}
	return 0
}

// mean is an exponentially weighted mean that starts as a plain one, so that the
// first samples count at once.
type mean struct {
	value   float64
	samples int
}

// meanWindow is the number of samples after which the mean forgets: enough to
// smooth sizes that differ tenfold, few enough to follow a change in a second or two.
const meanWindow = 20

func (m *mean) add(sample float64) {
	m.samples++
	m.value += (sample - m.value) / float64(min(m.samples, meanWindow))
}
