package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/lending"
)

// divided returns a scheduler of the first of two cells and the names of the targets of its own
// cell and of the other one.
func divided(n, slots int) (s *dispatch.Scheduler, own, other []string) {
	s = newScheduler(targets(n, slots))
	s.SetCell(start, 0, 2)
	s.SetEntries(2)
	learnSpeed(s, start)
	for _, p := range s.LendingPools(start) {
		for _, t := range p.Targets {
			own = append(own, t.Name)
		}
	}
	for _, t := range targets(n, slots) {
		if !contains(own, t.Incarnation()) {
			other = append(other, t.Incarnation())
		}
	}
	return s, own, other
}

func contains(names []string, name string) bool {
	for _, each := range names {
		if each == name {
			return true
		}
	}
	return false
}

// learnSpeed teaches the scheduler the speed of its pool by one answer.
func learnSpeed(s *dispatch.Scheduler, now time.Time) {
	ticket, _ := s.Submit(now, ask("first"))
	s.Done(now, ticket, dispatch.Report{Outcome: dispatch.Answered, Latency: 10 * time.Millisecond})
}

// fill submits requests until one has to wait, and returns how many each target got.
func fill(s *dispatch.Scheduler, now time.Time) map[string]int {
	granted := make(map[string]int)
	for i := range 1000 {
		request := ask(fmt.Sprint("fill-", i))
		request.Expires = now.Add(time.Minute)
		request.Objective = time.Time{}
		ticket, effects := s.Submit(now, request)
		if len(effects.Grants) == 0 {
			s.Cancel(ticket)
			break
		}
		granted[effects.Grants[0].Target.Incarnation()]++
	}
	return granted
}

func lent(now time.Time, names ...string) []dispatch.Lease {
	var leases []dispatch.Lease
	for _, name := range names {
		leases = append(leases, dispatch.Lease{Target: name, LentUntil: now.Add(lending.Term + lending.Guard)})
	}
	return leases
}

func borrowed(now time.Time, names ...string) []dispatch.Lease {
	leases := lent(now, names...)
	for i := range leases {
		leases[i].BorrowedUntil = now.Add(lending.Term - lending.Guard)
	}
	return leases
}

// Guards against new requests at a target that is lent, which its borrower uses, until the
// guard time after the lease, and against requests there that are lost.
func TestLentTargetGetsNothingNew(t *testing.T) {
	g := NewWithT(t)
	s, own, _ := divided(8, 2)
	running, effects := s.Submit(start, ask("running"))
	at := effects.Grants[0].Target.Incarnation()
	g.Expect(own).To(ContainElement(at))
	s.SetLeases(start, lent(start, at))
	g.Expect(fill(s, start)).NotTo(HaveKey(at))
	g.Expect(s.Services(start)[0].Lent).To(Equal(1))
	g.Expect(s.Services(start)[0].Targets).To(Equal(len(own) - 1))
	s.Done(start.Add(time.Millisecond), running, dispatch.Report{Outcome: dispatch.Answered})
	end := start.Add(lending.Term + lending.Guard)
	g.Expect(fill(s, end.Add(-time.Millisecond))).NotTo(HaveKey(at))
	g.Expect(fill(s, end)).To(HaveKeyWithValue(at, 2), "without another call")
}

// Guards against a borrowed target that is not used, or that is used after the guard time before
// the end of its lease.
func TestBorrowedTargetIsUsedUntilItsLeaseEnds(t *testing.T) {
	g := NewWithT(t)
	s, own, other := divided(8, 2)
	before := s.View(start, service).Capacity
	s.SetLeases(start, borrowed(start, other[0]))
	g.Expect(s.View(start, service).Capacity).To(BeNumerically("~", before+2, 0.001), "a target without samples counts as mean")
	g.Expect(s.Services(start)[0].Borrowed).To(Equal(1))
	g.Expect(s.Services(start)[0].Targets).To(Equal(len(own) + 1))
	end := start.Add(lending.Term - lending.Guard)
	g.Expect(s.HasFreeSlot(end, service)).To(BeTrue())
	g.Expect(s.Services(end)[0].Targets).To(Equal(len(own)))
	granted := fill(s, end.Add(-time.Millisecond))
	g.Expect(granted).To(HaveKeyWithValue(other[0], 2))
	g.Expect(granted).To(HaveLen(len(own) + 1))
}

// Requests wait while the cell is full. Guards against a borrowed target that is used only for
// requests that arrive later.
func TestWaitingRequestsGetBorrowedTargets(t *testing.T) {
	g := NewWithT(t)
	s, _, other := divided(8, 2)
	fill(s, start)
	waits, effects := s.Submit(start, ask("waits"))
	g.Expect(effects.Grants).To(BeEmpty())
	effects = s.SetLeases(start, borrowed(start, other[0]))
	g.Expect(effects.Grants).To(HaveLen(1))
	g.Expect(effects.Grants[0].Ticket).To(Equal(waits))
	g.Expect(effects.Grants[0].Borrowed).To(BeTrue())
}

// Guards against the use of borrowed targets after the cells have changed, and against use of a
// target by the cell that it then belongs to before its lease has expired.
func TestChangedCellsDropBorrowedTargets(t *testing.T) {
	g := NewWithT(t)
	s, _, other := divided(12, 2)
	s.SetLeases(start, borrowed(start, other...))
	s.SetCell(start, 1, 2)
	g.Expect(fill(s, start)).To(BeEmpty())
	g.Expect(fill(s, start.Add(lending.Term+lending.Guard))).To(HaveLen(len(other)))
}

// Guards against lending of targets that receive nothing, are leaving, have left the registry or
// are shared by all cells.
func TestUnusableTargetsAreNotOffered(t *testing.T) {
	g := NewWithT(t)
	offered := func(s *dispatch.Scheduler, now time.Time) []string {
		var names []string
		for _, p := range s.LendingPools(now) {
			for _, t := range p.Targets {
				names = append(names, t.Name)
			}
		}
		return names
	}
	s, own, _ := divided(12, 2)
	ticket, effects := s.Submit(start, ask("broken"))
	broken := effects.Grants[0].Target.Incarnation()
	s.Done(start, ticket, dispatch.Report{Outcome: dispatch.Broken})
	g.Expect(offered(s, start)).To(HaveLen(len(own) - 1))
	g.Expect(offered(s, start)).NotTo(ContainElement(broken))
	g.Expect(s.LendingPools(start)[0].Own).To(Equal(len(own)))

	list := targets(12, 2)
	for i := range list {
		list[i].Leaving = list[i].Incarnation() == own[0]
	}
	s.SetTargets(start, list)
	g.Expect(offered(s, start.Add(time.Minute))).NotTo(ContainElement(own[0]))
	s.SetTargets(start, list[:5])
	g.Expect(offered(s, start.Add(time.Minute))).To(BeEmpty(), "five targets are shared by two cells")
}

// A target leaves while this cell borrows it. Guards against requests to a target that is
// stopping.
func TestBorrowedTargetThatLeavesGetsNothing(t *testing.T) {
	g := NewWithT(t)
	s, own, other := divided(12, 2)
	s.SetLeases(start, borrowed(start, other[0], other[1]))
	list := targets(12, 2)
	var kept []catalog.Target
	for _, each := range list {
		each.Leaving = each.Incarnation() == other[0]
		if each.Incarnation() != other[1] {
			kept = append(kept, each)
		}
	}
	s.SetTargets(start, kept)
	granted := fill(s, start)
	g.Expect(granted).NotTo(HaveKey(other[0]))
	g.Expect(granted).NotTo(HaveKey(other[1]))
	g.Expect(len(granted)).To(BeNumerically(">=", len(own)-1))
}

// Guards against capacities that cannot be compared between cells: a pool whose answers come from
// slow targets must not seem as fast as one of fast targets.
func TestCapacitiesOfCellsAreComparable(t *testing.T) {
	g := NewWithT(t)
	capacity := func(latency time.Duration) lending.Pool {
		s := newScheduler(targets(12, 4))
		s.SetCell(start, 0, 2)
		now := start
		for i := range 60 {
			request := ask(fmt.Sprint(i))
			request.Arrived, request.Objective, request.Expires = now, now.Add(time.Second), now.Add(time.Minute)
			ticket, effects := s.Submit(now, request)
			g.Expect(effects.Grants).To(HaveLen(1))
			now = now.Add(20 * latency)
			s.Done(now, ticket, dispatch.Report{Outcome: dispatch.Answered, Latency: latency})
		}
		pools := s.LendingPools(now)
		g.Expect(pools).To(HaveLen(1))
		return pools[0]
	}
	fast, slow := capacity(10*time.Millisecond), capacity(44*time.Millisecond)
	g.Expect(fast.Capacity / slow.Capacity).To(BeNumerically("~", 4.4, 0.01))
	g.Expect(fast.Targets[0].Capacity / slow.Targets[0].Capacity).To(BeNumerically("~", 4.4, 0.01))
	sum := 0.0
	for _, each := range fast.Targets {
		sum += each.Capacity
	}
	g.Expect(sum).To(BeNumerically("~", fast.Capacity, 0.01))
	g.Expect(fast.Arriving).To(BeNumerically(">", 0))
}

// The property of R9. Guards against decisions that differ although nothing is lent: one
// scheduler runs rounds as a relay does, the other knows nothing of lending.
func TestDecisionsAreTheSameWithoutLeases(t *testing.T) {
	for _, cells := range []int{1, 2} {
		g := NewWithT(t)
		play := func(lends bool) (decisions []string) {
			random := rand.New(rand.NewPCG(9, uint64(cells)))
			s := newScheduler(targets(12, 2))
			s.SetCell(start, 0, cells)
			l := lending.New()
			l.SetCell(0, cells)
			var running []*dispatch.Ticket
			record := func(effects dispatch.Effects) {
				for _, each := range effects.Grants {
					decisions = append(decisions, fmt.Sprint(each.Ticket.ID, " to ", each.Target.ID, each.Load))
					running = append(running, each.Ticket)
				}
				for _, each := range effects.Refusals {
					decisions = append(decisions, fmt.Sprint(each.Ticket.ID, " refused ", each.Reason, each.RetryAfter))
				}
			}
			now := start
			for i := range 3000 {
				now = now.Add(time.Duration(random.IntN(8)) * time.Millisecond)
				request := ask(fmt.Sprint(i))
				request.Rank = random.IntN(3)
				request.Arrived, request.Objective, request.Expires = now, now.Add(300*time.Millisecond), now.Add(3*time.Second)
				_, effects := s.Submit(now, request)
				record(effects)
				for len(running) > 0 && random.IntN(2) == 0 {
					n := random.IntN(len(running))
					ticket := running[n]
					running = append(running[:n], running[n+1:]...)
					record(s.Done(now, ticket, dispatch.Report{Outcome: dispatch.Answered, Latency: time.Duration(1+random.IntN(40)) * time.Millisecond}))
				}
				if lends && i%100 == 0 {
					a := l.Round(now, s.LendingPools(now))
					g.Expect(a.Leases).To(BeEmpty())
					record(s.SetLeases(now, nil))
					s.Services(now)
				}
				record(s.Tick(now))
			}
			return decisions
		}
		g.Expect(play(true)).To(Equal(play(false)), "%d cells", cells)
	}
}
