package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// ServiceLoad is the load of one service's targets as known to this entry.
type ServiceLoad struct {
	Service string
	// Targets is the number of targets that this entry's cell uses, Ejected that of targets
	// that currently receive nothing, Limited that of targets that declare a limit,
	// Brittle that of targets that declare how many rejections they bear.
	Targets, Ejected, Limited, Brittle int
	// Lent is the number of targets that the cell lends to others, Borrowed that of targets
	// among Targets that it has borrowed.
	Lent, Borrowed int
	// InFlight is the number of this entry's requests there, Load that of the cell,
	// Limit the number that the cell may have there at once.
	InFlight, Load, Limit int
}

// Services returns the load of each service, by name.
func (s *Scheduler) Services(now time.Time) []ServiceLoad {
	var services []ServiceLoad
	for _, p := range s.pools {
		sum := ServiceLoad{Service: p.service}
		p.refreshLeases(now)
		for _, t := range p.targets {
			if t.lendable() && t.lease.lent {
				sum.Lent++
			}
			if !t.usedByCell() {
				continue
			}
			if t.lease.borrowed {
				sum.Borrowed++
			}
			load, _ := s.load(now, t)
			sum.Targets++
			sum.InFlight += t.own
			sum.Load += load
			sum.Limit += t.limit()
			if t.avoided(now) {
				sum.Ejected++
			}
			if t.limited.Declared {
				sum.Limited++
			}
			if t.brittleness.Declared {
				sum.Brittle++
			}
		}
		services = append(services, sum)
	}
	slices.SortFunc(services, func(a, b ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return services
}

// Outstanding returns the number of this entry's requests that are at a service's targets
// or wait for one.
func (s *Scheduler) Outstanding(service string) int {
	p := s.pool(service)
	return len(p.waiting) + p.ownRequests()
}

// HasFreeSlot reports whether a request for a service would get a slot at once.
func (s *Scheduler) HasFreeSlot(now time.Time, service string) bool {
	p := s.pool(service)
	if len(p.waiting) > 0 {
		return false
	}
	s.updateSnapshots(now, p)
	return p.anyFree()
}
