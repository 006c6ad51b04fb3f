package dispatch

import (
	"time"

	"sycamoretrail/internal/core/poolview"
)

// View returns the state of a service's pool: this entry's figures and those that the others
// of the cell report. An entry that hears from none of them assumes that each has as much to
// do as itself.
func (s *Scheduler) View(now time.Time, service string) poolview.View {
	p, found := s.pools[service]
	if !found {
		return poolview.View{Entries: 1}
	}
	return s.view(now, p)
}

func (s *Scheduler) view(now time.Time, p *pool) poolview.View {
	p.refreshLeases(now)
	own := p.demand(now)
	view := poolview.View{
		Capacity: p.capacity(now), Arriving: own.Arriving, Backlog: own.Backlog,
		Latency: time.Duration(p.latency.value), Entries: 1, Own: own,
	}
	for _, peer := range s.peers {
		age := now.Sub(peer.at)
		if age > reportTTL {
			continue
		}
		demand := peer.pools[p.service]
		view.Arriving = view.Arriving.Plus(demand.Arriving)
		view.Backlog = view.Backlog.Plus(demand.Backlog)
		view.Age = max(view.Age, age)
		view.Entries++
	}
	cellSize := s.entries / max(1, s.cells)
	view.Size = max(view.Entries, cellSize)
	if view.Entries == 1 && cellSize > 1 {
		view.Arriving = view.Arriving.Times(float64(cellSize))
		view.Backlog = view.Backlog.Times(float64(cellSize))
	}
	return view
}

// capacity returns the work a second that the usable targets can do for this cell.
func (p *pool) capacity(now time.Time) float64 {
	sum := 0.0
	for _, t := range p.targets {
		if t.usedByCell() && !t.avoided(now) {
			sum += float64(t.Slots) / t.slowness()
		}
	}
	return sum / float64(max(1, p.sharing))
}

// demand returns what this entry reports of the pool. Late requests count as demand of the rank
// before which they go.
func (p *pool) demand(now time.Time) poolview.Demand {
	demand := poolview.Demand{Arriving: p.arriving.Rate(now)}
	for _, ticket := range p.waiting {
		rank := poolview.RankOf(ticket.servedRank())
		if ticket.late(now) {
			rank = p.lateDemandRank(rank)
		}
		demand.Backlog[rank] += ticket.expected.Seconds()
	}
	return demand
}

// lateDemandRank returns the rank as whose demand a late request counts: that before whose
// requests in time it goes, or the last one.
func (p *pool) lateDemandRank(rank int) int {
	if before, ok := p.rankWork.lateBefore(rank); ok && p.lateByValue() {
		return before
	}
	return poolview.Ranks - 1
}

// demands returns this entry's figures of all pools that have any.
func (s *Scheduler) demands(now time.Time) map[string]poolview.Demand {
	demands := make(map[string]poolview.Demand)
	for service, p := range s.pools {
		if demand := p.demand(now); demand.Arriving.Total() >= minReportedRate || demand.Backlog.Total() > 0 {
			demands[service] = demand
		}
	}
	return demands
}

// minReportedRate is the rate of arriving work below which a pool is left out of reports, in
// slot seconds a second: a thousandth of a slot.
const minReportedRate = 0.001

// validDemands drops figures that cannot be right.
func validDemands(demands map[string]poolview.Demand) map[string]poolview.Demand {
	for service, demand := range demands {
		if !demand.Valid() {
			delete(demands, service)
		}
	}
	return demands
}
