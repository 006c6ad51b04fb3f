package dispatch

import (
	"cmp"
	"slices"
	"time"

	"sycamoretrail/internal/core/lending"
)

// A cell with spare capacity lends targets to a fuller one; see package lending. This entry
// sends nothing new to a target that its cell lends, and uses one that its cell has borrowed
// like any other.

// Lease is the lease of a target as known to this entry. The times are those of package
// lending, with its guard times; zero means that the target is not lent, or not borrowed.
type Lease struct {
	// Target is the incarnation of the target.
	Target string
	// LentUntil is until when only the borrower uses it, BorrowedUntil until when this entry's
	// cell does as the borrower.
	LentUntil, BorrowedUntil time.Time
}

// targetLease is the lease of a target.
type targetLease struct {
	lentUntil, borrowedUntil time.Time
	// lent and borrowed are the state as of the last decision.
	lent, borrowed bool
}

func (l *targetLease) refresh(now time.Time) {
	l.borrowed = now.Before(l.borrowedUntil)
	l.lent = !l.borrowed && now.Before(l.lentUntil)
}

// refreshLeases updates which of the pool's targets are lent or borrowed. It precedes each
// decision, so that leases end in time.
func (p *pool) refreshLeases(now time.Time) {
	for _, t := range p.targets {
		if !t.lease.lentUntil.IsZero() {
			t.lease.refresh(now)
		}
	}
}

// SetLeases replaces what is known of the leases of some targets. Unknown targets are ignored.
func (s *Scheduler) SetLeases(now time.Time, leases []Lease) Effects {
	more := false
	for _, each := range leases {
		if t, found := s.targets[each.Target]; found {
			before := t.lease.borrowed
			t.lease = targetLease{lentUntil: each.LentUntil, borrowedUntil: each.BorrowedUntil}
			t.lease.refresh(now)
			more = more || t.lease.borrowed && !before
		}
	}
	if !more {
		return Effects{}
	}
	return s.Tick(now)
}

// dropBorrowed ends the use of all borrowed targets. They still count as lent, since another
// cell may use them until their leases end.
func (s *Scheduler) dropBorrowed() {
	for _, t := range s.targets {
		t.lease.borrowedUntil, t.lease.borrowed = time.Time{}, false
	}
}

// lendable reports whether the target may be lent: it belongs to this entry's cell alone.
func (t *target) lendable() bool { return t.inCell && !t.Leaving && t.pool.sharing <= 1 }

// LendingPools returns the loads and targets of the services whose targets are divided between
// cells. Services with targets of unknown speed are left out.
func (s *Scheduler) LendingPools(now time.Time) []lending.Pool {
	var pools []lending.Pool
	if s.cells < 2 {
		return nil
	}
	for _, p := range s.pools {
		if p.sharing > 1 || len(p.targets) == 0 || p.latency.value <= 0 {
			continue
		}
		view := s.view(now, p)
		latency := time.Duration(p.latency.value).Seconds()
		if latency <= 0 {
			continue
		}
		// The capacity is that of the targets as measured now: the pool's mean cancels out of it.
		// The arriving work was counted over some seconds, in units of the means of that time.
		pool := lending.Pool{Load: lending.Load{
			Service: p.service, Capacity: view.Capacity / latency, Arriving: view.Arriving.Total() / p.steadyLatency.seconds(),
		}}
		for _, t := range p.targets {
			if !t.lendable() {
				continue
			}
			pool.Own++
			if !t.avoided(now) {
				pool.Targets = append(pool.Targets, lending.Target{Name: t.incarnation, Capacity: t.capacity() / latency})
			}
		}
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b lending.Pool) int { return cmp.Compare(a.Service, b.Service) })
	return pools
}

// capacity returns the work a second that the target can do.
func (t *target) capacity() float64 { return float64(t.Slots) / t.slowness() }

// steadyMean is a mean of latencies over the answers of some seconds in a busy pool. The mean of
// the last 20 answers differs by a sixth from one moment to the next where a third of the targets
// is 4.4 times slower, which made the loads announced by a cell vary by 12 % (standard deviation).
type steadyMean struct {
	value   float64
	samples int
}

const steadyWindow = 10 * meanWindow

func (m *steadyMean) add(sample float64) {
	m.samples = min(m.samples+1, steadyWindow)
	m.value += (sample - m.value) / float64(m.samples)
}

func (m *steadyMean) seconds() float64 { return m.value / float64(time.Second) }
