package dispatch

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/admission"
	"sycamoretrail/internal/core/poolview"
)

// pool holds the targets of one service and the requests that wait for them.
type pool struct {
	service string
	targets []*target
	waiting []*Ticket
	// advancedAt is when the queue was last advanced.
	advancedAt time.Time
	classes    map[string]*class
	rates      rates
	// lateRequests is the rate at which late requests get a slot, by the rank by which they
	// are served.
	lateRequests [poolview.Ranks]placementRate
	// rankWork is the mean work by rank, lateLast disregards it; see Config.LateLast.
	rankWork rankWork
	lateLast bool
	// shared holds the urgencies at which several organisations wait, orders counts how often
	// the queue was ordered.
	shared map[Urgency]*sharedUrgency
	orders uint64
	// arriving is the rate at which work arrives at this entry.
	arriving poolview.Meter
	// admission decides which requests are accepted; nil where it is not active.
	admission *admission.Controller
	// lowestPriority is the lowest priority of an organisation that has sent requests.
	lowestPriority int
	// sharing is the number of cells that share all targets; 1 means that each has its own.
	sharing int
	// latency is the mean latency over all targets, in ns.
	latency mean
	// steadyLatency is the same mean over more answers; see LendingPools.
	steadyLatency steadyMean
	// pauseRatio is the longest recent pause in a stream, as a multiple of the mean pause
	// at its target; 0 means that none was measured.
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

// mostUrgent returns the urgency of the most urgent waiting request, and whether any waits.
func (p *pool) mostUrgent(now time.Time) (most Urgency, waits bool) {
	for _, ticket := range p.waiting {
		if u := p.urgency(now, ticket); !waits || u < most {
			most, waits = u, true
		}
	}
	return most, waits
}

// slots returns the number of requests that all usable targets run concurrently.
func (p *pool) slots() int {
	n := 0
	for _, t := range p.targets {
		if !t.Leaving {
			n += t.Slots
		}
	}
	return n
}

// longWorkDelay is how much later a request counts as arrived for each unit of
// expected work. Serving short work first keeps more requests in time under overload;
// the bounded delay prevents starvation of long requests.
const longWorkDelay = 1.0

// schedule sets the times by which a request is ordered.
func (p *pool) schedule(ticket *Ticket) {
	expected := p.expected(ticket)
	ticket.expected = expected
	p.rankWork.add(ticket.Rank, expected.Seconds())
	if !ticket.RoutePriority {
		p.lowestPriority = max(p.lowestPriority, ticket.Priority)
	}
	ticket.queueTime = ticket.Arrived.Add(time.Duration(longWorkDelay * float64(expected)))
	if ticket.Objective.IsZero() {
		return
	}
	begin := p.timeToFirst(ticket.Work)
	if begin == 0 {
		begin = expected
	}
	ticket.latestTimely = ticket.Objective.Add(-begin)
}

// late reports whether the request would miss its objective if sent now.
func (t *Ticket) late(now time.Time) bool {
	return !t.Objective.IsZero() && now.After(t.latestTimely)
}

// mean is an exponentially weighted mean that starts as an arithmetic mean, so that the
// first samples have full weight.
type mean struct {
	value   float64
	samples int
}

// meanWindow is the number of samples that the mean covers: enough to smooth sizes that
// differ tenfold, few enough to follow a change in a second or two.
const meanWindow = 20

func (m *mean) add(sample float64) {
	m.samples++
	m.value += (sample - m.value) / float64(min(m.samples, meanWindow))
}
