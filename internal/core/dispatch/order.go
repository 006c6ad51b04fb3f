package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sycamoretrail/internal/core/fairshare"
	"sycamoretrail/internal/core/poolview"
)

// The queue is ordered by urgency, which is also what the entries of a cell report to each
// other. With one rank, requests that can still be in time go first, then priority decides.
// With several ranks, a late request keeps its priority: it goes behind those in time of its
// rank, and behind those of lower ranks whose value for the same engine time is higher. Behind
// all of them, late answers of the most urgent rank, worth six times as much per second of an
// engine, waited for the least urgent ones in time.
//
// Within one urgency requests go by arrival, with long work slightly delayed. Where two or
// more organisations with a weight wait, they are served in proportion to their weights instead.

// rankValues are the values of answers in time by rank: each is worth a third of the one above.
var rankValues = [poolview.Ranks]float64{1, 1.0 / 3, 1.0 / 9, 1.0 / 27}

const (
	// lateValue is the part of its value that an answer keeps if it misses its objective.
	lateValue = 0.3
	// minWork bounds the work by which values are divided, in seconds.
	minWork = 1e-6
	// rankWorkWindow is the number of requests over which the mean work of a rank is averaged:
	// sizes differ tenfold, and with fewer the order of late requests changes with each large
	// one.
	rankWorkWindow = 200
)

// Urgency orders requests over the entries of a cell; lower values go first. From the most
// significant bits it consists of a bit for late requests that go after all in time, the
// priority, the level and the rank.
type Urgency uint32

const (
	rankBits      = 5
	levelBits     = 11
	priorityShift = rankBits + levelBits
	maxRank       = 1<<rankBits - 1
	maxLevel      = 1<<levelBits - 1
	maxPriority   = 0xff

	// lateUrgency is added to late requests that go after all in time.
	lateUrgency Urgency = 1 << (priorityShift + 8)

	// levelsPerRank is the distance of the levels of two ranks in time. Excess requests of the
	// rank above are excessStep behind them, late requests lateStep before them.
	levelsPerRank = 8
	excessStep    = 1
	lateStep      = 2
)

// UrgencyOf returns the urgency of a request that can still be in time.
func UrgencyOf(priority, rank int) Urgency {
	return urgencyOf(priority, levelsPerRank*rank, rank)
}

func urgencyOf(priority, level, rank int) Urgency {
	return Urgency(clamp(priority, maxPriority)<<priorityShift | clamp(level, maxLevel)<<rankBits | clamp(rank, maxRank))
}

func clamp(value, highest int) int { return max(0, min(value, highest)) }

// rankWork is the mean work of the requests of each rank of a service, in seconds of a slot
// at a target of mean speed; 0 means that none has arrived.
type rankWork struct {
	mean  [poolview.Ranks]float64
	count [poolview.Ranks]int
}

func (w *rankWork) add(rank int, work float64) {
	r := poolview.RankOf(rank)
	w.count[r]++
	w.mean[r] += (work - w.mean[r]) / float64(min(w.count[r], rankWorkWindow))
}

// several reports whether requests of two or more ranks have arrived.
func (w *rankWork) several() bool {
	ranks := 0
	for _, n := range w.count {
		ranks += min(n, 1)
	}
	return ranks > 1
}

// lateBefore returns the first rank below the given one whose requests in time are worth less
// for the same work than late ones of the given rank; ok is false if there is none.
func (w *rankWork) lateBefore(rank int) (before int, ok bool) {
	r := poolview.RankOf(rank)
	late := lateValue * w.value(r)
	for s := r + 1; s < poolview.Ranks; s++ {
		if w.count[s] > 0 && w.value(s) < late {
			return s, true
		}
	}
	return 0, false
}

// value returns the value of requests of a rank in time, per second of a slot. Excess requests
// may be served by a rank of which none has arrived; they count as that above it.
func (w *rankWork) value(rank int) float64 {
	known := rank
	for known > 0 && w.count[known] == 0 {
		known--
	}
	return rankValues[rank] / max(w.mean[known], minWork)
}

// lowest returns the least urgent rank of which requests have arrived.
func (w *rankWork) lowest() int {
	for r := poolview.Ranks - 1; r > 0; r-- {
		if w.count[r] > 0 {
			return r
		}
	}
	return 0
}

// lateByValue reports whether late requests are ordered by value. With one rank, all of them go
// after those in time.
func (p *pool) lateByValue() bool { return !p.lateLast && p.rankWork.several() }

// servedRank is the rank by which a request is served, refused and counted as demand: excess
// requests are demoted by one.
func (t *Ticket) servedRank() int {
	if t.Excess {
		return t.Rank + 1
	}
	return t.Rank
}

// urgency returns the urgency of a request of this pool.
func (p *pool) urgency(now time.Time, t *Ticket) Urgency {
	rank, late := t.servedRank(), t.late(now)
	step := 0
	if t.Excess {
		step = excessStep
	}
	if !late || !p.lateByValue() {
		u := urgencyOf(t.Priority, levelsPerRank*rank+step, t.Rank)
		if late {
			u += lateUrgency
		}
		return u
	}
	before, ok := p.rankWork.lateBefore(rank)
	if !ok {
		return urgencyOf(t.latePriority(p.rankWork.lowest()), maxLevel-lateStep+step, t.Rank)
	}
	return urgencyOf(t.latePriority(before), levelsPerRank*before-lateStep+step, t.Rank)
}

// latePriority returns the priority of a late request that goes just before a rank. A priority
// that is only the route's says the same as the rank, and must not keep the request before all
// lower ranks.
func (t *Ticket) latePriority(before int) int {
	if t.RoutePriority {
		return max(t.Priority, before)
	}
	return t.Priority
}

// order sorts the queue.
func (p *pool) order(now time.Time) {
	for _, t := range p.waiting {
		t.urgency, t.tag = p.urgency(now, t), 0
	}
	slices.SortStableFunc(p.waiting, compareTickets)
	p.orders++
	for from := 0; from < len(p.waiting); {
		to := from + 1
		for to < len(p.waiting) && p.waiting[to].urgency == p.waiting[from].urgency {
			to++
		}
		p.share(p.waiting[from:to])
		from = to
	}
	for urgency, shared := range p.shared {
		if shared.order != p.orders {
			delete(p.shared, urgency)
		}
	}
}

func compareTickets(a, b *Ticket) int {
	if a.urgency != b.urgency {
		return cmp.Compare(a.urgency, b.urgency)
	}
	if a.tag != b.tag {
		return cmp.Compare(a.tag, b.tag)
	}
	if c := a.queueTime.Compare(b.queueTime); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// sharedUrgency is an urgency at which requests of two or more organisations with a weight
// wait, or those of one while another is still charged for a request that was served: an
// organisation that sends one request at a time often has none waiting.
type sharedUrgency struct {
	tags fairshare.Tags
	// order is the last order of the queue in which that was so.
	order uint64
}

// share orders requests of one urgency, sorted by arrival, by the weights of their
// organisations if there are several.
func (p *pool) share(tickets []*Ticket) {
	mean, several := meanWeight(tickets)
	shared, found := p.shared[tickets[0].urgency]
	if mean == 0 || !several && !found {
		return
	}
	if !found {
		if p.shared == nil {
			p.shared = make(map[Urgency]*sharedUrgency)
		}
		shared = &sharedUrgency{}
		p.shared[tickets[0].urgency] = shared
	}
	shared.order = p.orders
	shared.tags.Begin()
	for _, t := range tickets {
		t.cost = t.expected.Seconds() / mean
		if t.Weight > 0 {
			t.cost = t.expected.Seconds() / t.Weight
		}
		t.tag = shared.tags.Assign(t.Organisation, t.cost)
	}
	if !several && shared.tags.Size() == 1 {
		delete(p.shared, tickets[0].urgency)
	}
	slices.SortStableFunc(tickets, compareTickets)
}

// meanWeight returns the mean weight of the requests that have one, and whether they are of
// two or more organisations.
func meanWeight(tickets []*Ticket) (mean float64, several bool) {
	sum, n, last := 0.0, 0, ""
	for _, t := range tickets {
		if t.Weight <= 0 {
			continue
		}
		several = several || n > 0 && t.Organisation != last
		last = t.Organisation
		sum += t.Weight
		n++
	}
	return sum / float64(max(1, n)), several
}

// countShare counts a request that receives a slot as service of its organisation.
func (p *pool) countShare(t *Ticket) {
	if shared, found := p.shared[t.urgency]; found {
		shared.tags.Served(t.Organisation, t.cost)
	}
}

// ahead returns the number of waiting requests that go before a new one.
func (p *pool) ahead(now time.Time, ticket *Ticket) int {
	urgency := p.urgency(now, ticket)
	byValue := p.lateByValue()
	if !byValue {
		// A request that arrives late counts only those of its priority, so that it is held
		// rather than refused at once.
		urgency &^= lateUrgency
	}
	shared, found := p.shared[urgency]
	tag := math.Inf(1)
	if found {
		tag = shared.tags.Next(ticket.Organisation)
	}
	before, equal := 0, 0
	// first means that the request is the first of its organisation at an urgency at which
	// others wait.
	first := !found && ticket.Weight > 0
	for _, other := range p.waiting {
		if !byValue && other.late(now) {
			continue
		}
		switch theirs := p.urgency(now, other); {
		case theirs < urgency:
			before++
		case theirs == urgency && other.tag <= tag:
			equal++
			first = first && other.Weight > 0 && other.Organisation != ticket.Organisation
		}
	}
	if first {
		equal = min(equal, 1)
	}
	return before + equal
}
