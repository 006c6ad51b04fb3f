package lending_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/lending"
)

// Guards against cells that stay full beside cells with spare capacity, since targets are
// divided by name and not by speed, and against leases that change all the time because of the
// noise in measured loads.
func TestCellsOfUnlikeCapacity(t *testing.T) {
	const cells, perCell, seeds = 7, 13, 20
	changes, before, after := 0, 0.0, 0.0
	for seed := range uint64(seeds) {
		g := NewWithT(t)
		s := newSimulation(seed, cells, perCell, 0.95)
		s.noise = 0.1
		first := s.excess()
		s.run(10 * time.Second)
		reached := s.excess()
		clear(s.outcomes)
		worst := 0.0
		for range 60 {
			s.run(time.Second)
			worst = max(worst, s.excess())
		}
		n := s.outcomes[lending.Lent] + s.outcomes[lending.Returned]
		t.Logf("seed %d: highest pressure %.2f of the mean, %.2f after 10 s, at most %.2f in the next minute with %d changes", seed, first, reached, worst, n)
		g.Expect(reached).To(BeNumerically("<", 1.12))
		g.Expect(worst).To(BeNumerically("<", 1.15))
		g.Expect(s.longestTwice()).To(BeNumerically("<=", lending.Interval))
		changes, before, after = changes+n, before+first/seeds, after+worst/seeds
	}
	t.Logf("mean: %.3f of the mean pressure before, at most %.3f after; %.1f changes a minute", before, after, float64(changes)/seeds)
	g := NewWithT(t)
	g.Expect(before).To(BeNumerically(">", 1.2), "the load is as unlike as measured")
	g.Expect(changes).To(BeNumerically("<=", seeds*2*cells), "two a minute for each cell")
}

// Demand moves from one cell to another. Guards against targets that stay with a cell that
// does not need them any more, and against a lender that becomes the fuller one.
func TestDemandMovesToAnotherCell(t *testing.T) {
	for seed := range uint64(10) {
		g := NewWithT(t)
		s := newSimulation(seed, 4, 12, 0.6)
		mean := s.demand[0]
		s.demand[0] *= 1.5
		s.run(15 * time.Second)
		g.Expect(s.pressures()[0]).To(BeNumerically("<", 1.15*slices.Max(s.pressures()[1:])), "seed %d", seed)
		s.demand[0] = mean
		s.demand[2] *= 1.5
		alone := s.excess()
		s.run(15 * time.Second)
		g.Expect(s.excess()).To(BeNumerically("<", min(1.15, alone)), "seed %d", seed)
		for name, cell := range s.lentTargets() {
			g.Expect(s.pressures()[cell]).To(BeNumerically(">", 0.8*s.pressures()[s.home(name)]), "seed %d: %s", seed, name)
		}
	}
}

func (s *simulation) home(name string) int {
	return s.targets[slices.IndexFunc(s.targets, func(t *simTarget) bool { return t.name == name })].home
}

// lendingCells returns cells of which the first has lent targets to the others, and these targets.
func lendingCells(t *testing.T, cells int) (*simulation, map[string]int) {
	t.Helper()
	s := newSimulation(1, cells, 12, 0.7)
	for i := range s.demand {
		s.demand[i] = 0.45
	}
	s.demand[0] = 0.1
	s.run(12 * time.Second)
	lent := s.lentTargets()
	if len(lent) < 3 {
		t.Fatalf("only %d targets are lent", len(lent))
	}
	return s, lent
}

// Guards against a borrower that loses its targets because the relay of the lender is
// replaced, and against a successor that lends them again.
func TestLeasesOutliveTheRelay(t *testing.T) {
	g := NewWithT(t)
	s, lent := lendingCells(t, 2)
	s.relay(0).dead = true
	for range 80 {
		s.run(100 * time.Millisecond)
		g.Expect(s.lentTargets()).To(Equal(lent))
	}
	g.Expect(s.most).To(BeNumerically("<=", 2))
	g.Expect(s.longestTwice()).To(BeNumerically("<=", lending.Interval))
}

// Guards against targets that a borrower keeps although the lending cell does not exist any
// more.
func TestLeasesOfADeadCellExpire(t *testing.T) {
	g := NewWithT(t)
	s, _ := lendingCells(t, 2)
	for _, e := range s.entries {
		e.dead = e.cell == 0
	}
	s.run(lending.Term)
	g.Expect(s.lentTargets()).To(BeEmpty())
}

// Guards against targets that nobody uses because their borrower does not exist any more.
func TestTargetsOfADeadBorrowerReturn(t *testing.T) {
	g := NewWithT(t)
	s, lent := lendingCells(t, 2)
	for _, e := range s.entries {
		e.dead = e.cell == 1
	}
	// The lender notices by the age of the load.
	s.run(lending.Term + 2*time.Second + lending.Guard)
	for _, target := range s.targets {
		if _, found := lent[target.name]; found {
			g.Expect(s.usersOf(target)).To(Equal([]int{0}))
		}
	}
}

// Guards against a target that both parts use after a partition: the borrower must have stopped
// before the lender begins, and both parts go on with their own targets.
func TestPartitionEndsLeasesOnBothSides(t *testing.T) {
	g := NewWithT(t)
	s, lent := lendingCells(t, 2)
	clear(s.twice)
	for _, e := range s.entries {
		e.part = e.cell
	}
	s.run(2 * lending.Term)
	g.Expect(s.lentTargets()).To(BeEmpty())
	g.Expect(s.twice).To(BeEmpty())
	for _, target := range s.targets {
		g.Expect(s.usersOf(target)).To(Equal([]int{target.home}))
	}
	for _, e := range s.entries {
		e.part = 0
	}
	s.run(12 * time.Second)
	g.Expect(len(s.lentTargets())).To(BeNumerically(">=", len(lent)-1), "lending resumes")
}

// A partition within the lending cell: an entry that hears nothing of its relay uses the lent
// targets too. Guards against more than two cells at one target.
func TestIsolatedEntryOfTheLender(t *testing.T) {
	g := NewWithT(t)
	s, lent := lendingCells(t, 3)
	for i, e := range s.entries {
		if i == entriesPerCell-1 {
			e.part = 9
		}
	}
	s.run(10 * time.Second)
	g.Expect(s.most).To(Equal(2))
	for name := range s.twice {
		g.Expect(lent).To(HaveKey(name), "only lent targets are used twice")
	}
}

// Guards against errors under lost datagrams: a twentieth is lost, and no target may be used by
// three cells, or by two for longer than the time in which lost announcements are repeated.
func TestLostAnnouncements(t *testing.T) {
	for seed := range uint64(10) {
		g := NewWithT(t)
		s := newSimulation(seed, 7, 13, 0.95)
		s.noise, s.loss = 0.1, 0.05
		s.run(time.Minute)
		g.Expect(s.excess()).To(BeNumerically("<", 1.15), "seed %d", seed)
		g.Expect(s.most).To(BeNumerically("<=", 2))
		s.logTwice(t, seed)
	}
}

func (s *simulation) logTwice(t *testing.T, seed uint64) {
	t.Helper()
	t.Logf("seed %d: %d targets used twice, the longest for %v in all", seed, len(s.twice), s.longestTwice())
}

// Relays are killed and entries suspended at random while a tenth of all datagrams is lost.
// Guards against a target that three cells use, and against one that two use when nothing is
// lent.
func TestAtMostTwoCellsUseATarget(t *testing.T) {
	for seed := range uint64(10) {
		g := NewWithT(t)
		s := newSimulation(seed, 5, 12, 0.9)
		s.noise, s.loss = 0.2, 0.1
		for range 12 {
			e := s.entries[s.random.IntN(len(s.entries))]
			switch s.random.IntN(3) {
			case 0:
				e.suspendedUntil = s.now.Add(time.Duration(s.random.IntN(6000)) * time.Millisecond)
			case 1:
				e.part = 1 - e.part
			default:
				s.demand[e.cell] *= 0.7 + 0.6*s.random.Float64()
			}
			s.run(5 * time.Second)
		}
		g.Expect(s.most).To(BeNumerically("<=", 2), "seed %d", seed)
		s.logTwice(t, seed)
	}
}

// Entries are suspended and loads change while a tenth of all datagrams is lost, but all entries
// of a cell reach each other. Guards against targets that two cells use for longer than the
// announcement of a new lease is repeated.
func TestTwoCellsUseATargetOnlyUntilItsLeaseIsKnown(t *testing.T) {
	longest := time.Duration(0)
	for seed := range uint64(10) {
		g := NewWithT(t)
		s := newSimulation(seed, 5, 12, 0.9)
		s.noise, s.loss = 0.2, 0.1
		for range 12 {
			e := s.entries[s.random.IntN(len(s.entries))]
			if s.random.IntN(2) == 0 {
				e.suspendedUntil = s.now.Add(time.Duration(s.random.IntN(6000)) * time.Millisecond)
			} else {
				s.demand[e.cell] *= 0.7 + 0.6*s.random.Float64()
			}
			s.run(5 * time.Second)
		}
		g.Expect(s.most).To(BeNumerically("<=", 2), "seed %d", seed)
		longest = max(longest, s.longestAtOnce)
	}
	t.Logf("longest use by two cells: %v", longest)
	NewWithT(t).Expect(longest).To(BeNumerically("<=", 3*lending.Interval))
}

// A suspended entry of the borrower reads announcements when it goes on. Guards against leases
// that begin again at that time although they have ended.
func TestDelayedAnnouncementsDoNotExtendLeases(t *testing.T) {
	g := NewWithT(t)
	s, _ := lendingCells(t, 2)
	suspended := s.entries[entriesPerCell]
	suspended.suspendedUntil = s.now.Add(6 * time.Second)
	s.run(500 * time.Millisecond)
	for _, e := range s.entries {
		e.part = e.cell
	}
	s.run(6 * time.Second)
	g.Expect(s.lentTargets()).To(BeEmpty())
	g.Expect(suspended.ledger.Borrowed(s.now)).To(BeEmpty())
}

// Guards against use of a borrowed target by the members of a cell that has changed, and by
// the cell that the target belongs to after the change, until the lease has expired.
func TestChangedDivisionDropsWhatIsBorrowed(t *testing.T) {
	g := NewWithT(t)
	s, lent := lendingCells(t, 2)
	for _, e := range s.entries {
		e.ledger.SetCell(e.cell, 3)
	}
	g.Expect(s.lentTargets()).To(BeEmpty(), "borrowers drop their targets at once")
	until := s.now.Add(lending.Term - lending.Interval)
	for s.now.Before(until) {
		s.now = s.now.Add(step)
		for _, target := range s.targets {
			if _, found := lent[target.name]; found {
				g.Expect(s.usersOf(target)).To(BeEmpty())
			}
		}
	}
	s.now = until.Add(lending.Interval + 2*lending.Guard)
	for _, target := range s.targets {
		g.Expect(s.usersOf(target)).To(Equal([]int{target.home}))
	}
}

// Guards against the renewal of leases of targets that have left the registry or receive
// nothing.
func TestTargetGoneWhileLent(t *testing.T) {
	g := NewWithT(t)
	s, lent := lendingCells(t, 2)
	gone := ""
	for _, target := range s.targets {
		if _, found := lent[target.name]; found && gone == "" {
			target.gone, gone = true, target.name
		}
	}
	s.run(lending.Term + 2*lending.Guard)
	for _, e := range s.entries {
		g.Expect(e.ledger.Borrowed(s.now)).NotTo(ContainElement(gone))
		g.Expect(e.ledger.Lent(s.now, gone)).To(BeFalse())
	}
}

// One cell of many is overloaded. Guards against all the others lending to it within one round,
// which would make it the least full one.
func TestManyLendersDoNotFloodOneBorrower(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(3, 20, 12, 0.7)
	for i := range s.demand {
		s.demand[i] = 0.35
	}
	s.demand[5] = 0.9
	most := 0
	for range 200 {
		s.run(100 * time.Millisecond)
		n := 0
		for _, cell := range s.lentTargets() {
			if cell == 5 {
				n++
			}
		}
		most = max(most, n)
		g.Expect(s.pressures()[5]).To(BeNumerically(">", 0.9*slices.Min(s.pressures())))
	}
	t.Logf("the borrower had at most %d targets more; pressures %.2f", most, s.pressures())
	g.Expect(s.pressures()[5]).To(BeNumerically("<", 1.2*slices.Max(s.pressures()[6:])))
}

// Guards against lending where hardly any request waits: borrowed targets are often in another
// zone, where traffic is billed.
func TestNothingIsLentWithoutNeed(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(4, 7, 13, 0.3)
	s.run(20 * time.Second)
	g.Expect(s.outcomes).To(BeEmpty())
}

// Guards against a cell that keeps too few targets of its own.
func TestBoundsOfLending(t *testing.T) {
	for _, n := range []int{3, 4, 5, 8, 13, 40, 90} {
		g := NewWithT(t)
		s := newSimulation(5, 2, n, 0.7)
		s.demand[0], s.demand[1] = 0, 100
		s.run(40 * time.Second)
		g.Expect(s.lentTargets()).To(HaveLen(max(0, min(n/4, n-3, lending.MaxLeases))), "%d targets", n)
	}
}

func announcement(sequence uint64) lending.Announcement {
	return lending.Announcement{
		From: "front-1", Incarnation: 4, Age: time.Duration(sequence) * lending.Interval, Sequence: sequence, Cell: 1, Cells: 3,
		Loads:  []lending.Load{{Service: service, Capacity: 2, Arriving: 1}},
		Leases: []lending.Lease{{Target: "i-1", Service: service, To: 0, Term: lending.Term}},
	}
}

func at(sequence uint64) time.Time {
	return start.Add(time.Duration(sequence) * lending.Interval)
}

// Guards against a lease that goes on because an old announcement arrives again.
func TestOldAnnouncementsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	l := lending.New()
	l.SetCell(0, 3)
	g.Expect(l.Apply(at(5), announcement(5))).To(Succeed())
	g.Expect(l.Borrowed(at(5))).To(Equal([]string{"i-1"}))
	g.Expect(l.Apply(at(6), announcement(5))).To(MatchError(lending.ErrOutdated))
	g.Expect(l.Apply(at(6), announcement(4))).To(MatchError(lending.ErrOutdated))
	end := at(5).Add(lending.Term - lending.Guard)
	g.Expect(l.Borrowed(end.Add(-time.Millisecond))).To(HaveLen(1))
	g.Expect(l.Borrowed(end)).To(BeEmpty())
	g.Expect(l.Lent(end.Add(2*lending.Guard-time.Millisecond), "i-1")).To(BeTrue(), "nobody uses it in the guard time")
	g.Expect(l.Lent(end.Add(2*lending.Guard), "i-1")).To(BeFalse())

	replaced := announcement(1)
	replaced.Incarnation = 5
	replaced.Age = 0
	g.Expect(l.Apply(at(7), replaced)).To(Succeed(), "a new process of that name")
	late := announcement(6)
	late.Age = 20 * time.Second
	g.Expect(l.Apply(at(8), late)).To(MatchError(lending.ErrOutdated), "the process before it")
}

// Guards against figures of a faulty sender: a lease without end, a lease of a cell that does not
// exist, capacities that make every comparison false.
func TestImpossibleAnnouncementsAreErrors(t *testing.T) {
	inf := 1 / zero
	for name, c := range map[string]struct {
		spoil func(*lending.Announcement)
		want  error
	}{
		"negative capacity":  {func(a *lending.Announcement) { a.Loads[0].Capacity = -1 }, lending.ErrLoad},
		"infinite capacity":  {func(a *lending.Announcement) { a.Loads[0].Capacity = inf }, lending.ErrLoad},
		"no number":          {func(a *lending.Announcement) { a.Loads[0].Arriving = inf - inf }, lending.ErrLoad},
		"long term":          {func(a *lending.Announcement) { a.Leases[0].Term = lending.Term + 1 }, lending.ErrTerm},
		"negative term":      {func(a *lending.Announcement) { a.Leases[0].Term = -1 }, lending.ErrTerm},
		"negative age":       {func(a *lending.Announcement) { a.Age = -1 }, lending.ErrTerm},
		"unknown cell":       {func(a *lending.Announcement) { a.Cell = 3 }, lending.ErrCell},
		"negative cell":      {func(a *lending.Announcement) { a.Cell = -1 }, lending.ErrCell},
		"no cells":           {func(a *lending.Announcement) { a.Cells = 0 }, lending.ErrCell},
		"too many cells":     {func(a *lending.Announcement) { a.Cells = lending.MaxCells + 1 }, lending.ErrCell},
		"to an unknown cell": {func(a *lending.Announcement) { a.Leases[0].To = 3 }, lending.ErrCell},
		"to itself":          {func(a *lending.Announcement) { a.Leases[0].To = 1 }, lending.ErrCell},
		"many leases": {func(a *lending.Announcement) {
			a.Leases = slices.Repeat(a.Leases, lending.MaxLeases+1)
		}, lending.ErrTooMany},
		"many loads": {func(a *lending.Announcement) {
			a.Loads = slices.Repeat(a.Loads, lending.MaxLoads+1)
		}, lending.ErrTooMany},
	} {
		g := NewWithT(t)
		l := lending.New()
		l.SetCell(0, 3)
		a := announcement(5)
		c.spoil(&a)
		g.Expect(l.Apply(at(5), a)).To(MatchError(c.want), name)
		g.Expect(l.Borrowed(at(5))).To(BeEmpty(), name)
		g.Expect(l.Apply(at(5), announcement(5))).To(Succeed(), name)
	}
}

// zero is a variable, since the compiler rejects a division by a constant zero.
var zero = 0.0

// Two cells lend the same target, as after a change of cells that one of them does not know of.
// Guards against a second borrower: nobody who knows of both leases uses it.
func TestLeasesInConflictAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	l := lending.New()
	l.SetCell(0, 3)
	g.Expect(l.Apply(at(1), announcement(1))).To(Succeed())
	other := announcement(1)
	other.From, other.Cell = "front-2", 2
	g.Expect(l.Apply(at(1), other)).To(Succeed())
	for i := range uint64(6) {
		g.Expect(l.Borrowed(at(1 + i))).To(BeEmpty())
		g.Expect(l.Lent(at(1+i), "i-1")).To(BeTrue())
		g.Expect(l.Apply(at(2+i), announcement(2+i))).To(Succeed(), "the first lender renews its lease")
	}
	end := at(7).Add(lending.Term)
	again := announcement(20)
	again.Age = end.Sub(start)
	g.Expect(l.Apply(end, again)).To(Succeed())
	g.Expect(l.Borrowed(end)).To(Equal([]string{"i-1"}), "after the end of both")
}

// A lender lends a target to another cell as soon as its lease has ended. Guards against a
// conflict with the ended lease, which would leave the target unused.
func TestTargetIsLentAgainAfterItsLease(t *testing.T) {
	g := NewWithT(t)
	l := lending.New()
	l.SetCell(0, 3)
	first := announcement(1)
	first.Leases[0].To = 2
	g.Expect(l.Apply(at(1), first)).To(Succeed())
	g.Expect(l.Borrowed(at(1))).To(BeEmpty())
	again := announcement(8)
	g.Expect(l.Apply(at(8), again)).To(Succeed(), "after the term and the guard time")
	g.Expect(l.Borrowed(at(8))).To(Equal([]string{"i-1"}))
}

// Guards against state that grows with what others send.
func TestStateIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := lending.New()
	l.SetCell(0, lending.MaxCells)
	for i := range 3_000 {
		a := announcement(1)
		a.From, a.Cell, a.Cells = fmt.Sprint(i), 1+i%(lending.MaxCells-1), lending.MaxCells
		a.Loads[0].Service = fmt.Sprint(i)
		for j := range lending.MaxLeases - 1 {
			a.Leases = append(a.Leases, lending.Lease{Target: fmt.Sprintf("i-%d-%d", i, j), Service: service, To: 0, Term: lending.Term})
		}
		g.Expect(l.Apply(start, a)).To(Succeed())
	}
	senders, loads, leases, changes := lending.Sizes(l)
	g.Expect(senders).To(BeNumerically("<=", 2*lending.MaxCells))
	g.Expect(loads).To(BeNumerically("<=", lending.MaxLoads*lending.MaxCells))
	g.Expect(leases).To(BeNumerically("<=", lending.MaxLeases*lending.MaxCells))
	g.Expect(changes).To(BeNumerically("<=", 64))
}

// One cell alone: guards against announcements and decisions where there is nobody to lend to.
func TestOneCellLendsNothing(t *testing.T) {
	g := NewWithT(t)
	l := lending.New()
	pool := lending.Pool{Load: lending.Load{Service: service, Capacity: 1, Arriving: 3}, Own: 8}
	for i := range 8 {
		pool.Targets = append(pool.Targets, lending.Target{Name: fmt.Sprint(i), Capacity: 0.1})
	}
	for i := range uint64(40) {
		g.Expect(l.Round(at(i), []lending.Pool{pool}).Leases).To(BeEmpty())
	}
	g.Expect(l.Changes()).To(BeEmpty())
}

// BenchmarkRound measures a round of a relay in a deployment of 985 entries: 82 cells with 3,000
// targets of three services, and leases of all cells.
func BenchmarkRound(b *testing.B) {
	const cells = 82
	l := lending.New()
	l.SetCell(0, cells)
	var pools []lending.Pool
	for i := range 3 {
		p := lending.Pool{Load: lending.Load{Service: fmt.Sprint("service-", i), Capacity: 1.2, Arriving: 0.5}, Own: 12}
		for j := range 12 {
			p.Targets = append(p.Targets, lending.Target{Name: fmt.Sprintf("i-%d-%08x", i, j), Capacity: 0.1})
		}
		pools = append(pools, p)
	}
	now := start
	sequence := uint64(0)
	var others []lending.Announcement
	for cell := 1; cell < cells; cell++ {
		a := lending.Announcement{From: fmt.Sprint(cell), Incarnation: 1, Cell: cell, Cells: cells}
		for i := range pools {
			a.Loads = append(a.Loads, lending.Load{Service: pools[i].Service, Capacity: 1, Arriving: 0.5 + 0.01*float64(cell)})
		}
		for j := range 9 {
			a.Leases = append(a.Leases, lending.Lease{Target: fmt.Sprintf("i-%d-%d", cell, j), Service: pools[j%3].Service, To: 0, Term: lending.Term})
		}
		others = append(others, a)
	}
	announce := func() {
		sequence++
		for _, a := range others {
			a.Age, a.Sequence = now.Sub(start), sequence
			if err := l.Apply(now, a); err != nil {
				b.Fatal(err)
			}
		}
	}
	for range 12 {
		now = now.Add(lending.Interval)
		announce()
		l.Round(now, pools)
	}
	b.Run("round", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			l.Round(now, pools)
		}
	})
	b.Run("apply/81", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			now = now.Add(lending.Interval)
			announce()
		}
	})
}
