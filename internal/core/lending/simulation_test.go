package lending_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sycamoretrail/internal/core/lending"
)

// Simulated cells that lend each other targets: entries with a ledger each, and announcements
// that take some milliseconds, may be lost, and do not pass between the parts of a partition.

const (
	service = "assistant"
	// step is the resolution of the virtual clock.
	step = 50 * time.Millisecond
	// entriesPerCell is the number of entries of a simulated cell, the first live one of which
	// is the relay.
	entriesPerCell = 3
	// slowFactor is the time of a slow target relative to a fast one.
	slowFactor = 4.4
)

var start = time.Unix(1_000_000, 0)

type simTarget struct {
	name     string
	home     int
	capacity float64
	gone     bool
}

type simEntry struct {
	name     string
	number   int
	cell     int
	ledger   *lending.Ledger
	dead     bool
	part     int
	sequence uint64
	// suspendedUntil is until when the entry neither sends nor reads.
	suspendedUntil time.Time
	nextRound      time.Time
	turn           int
}

type delivery struct {
	at     time.Time
	to     *simEntry
	a      lending.Announcement
	passOn bool
	// from is the entry that sent or forwarded it.
	from *simEntry
}

type simulation struct {
	now     time.Time
	random  *rand.Rand
	cells   int
	targets []*simTarget
	entries []*simEntry
	pending []delivery
	demand  []float64
	// noise is the largest relative error of the reported demand, loss the share of datagrams
	// that are lost.
	noise, loss float64
	outcomes    map[lending.Outcome]int
	// most is the largest number of cells that used a target at once, twice the time for which
	// each target was used by two.
	most  int
	twice map[string]time.Duration
	// atOnce is that time without interruption, longestAtOnce the longest one.
	atOnce        map[string]time.Duration
	longestAtOnce time.Duration
	messages      int
}

// newSimulation returns cells with targets of which a third are slow, divided by chance as by
// name, and a demand of a part of the total capacity that varies by a tenth between cells.
func newSimulation(seed uint64, cells, perCell int, load float64) *simulation {
	s := &simulation{
		now: start, random: rand.New(rand.NewPCG(seed, 7)), cells: cells, demand: make([]float64, cells),
		outcomes: make(map[lending.Outcome]int), twice: make(map[string]time.Duration), atOnce: make(map[string]time.Duration),
	}
	total := 0.0
	for i := range cells * perCell {
		capacity := 0.06
		if s.random.IntN(3) == 0 {
			capacity /= slowFactor
		}
		total += capacity
		s.targets = append(s.targets, &simTarget{name: fmt.Sprintf("i-%08x", i*2654435761), home: i / perCell, capacity: capacity})
	}
	for cell := range cells {
		s.demand[cell] = load * total / float64(cells) * (0.9 + 0.2*s.random.Float64())
		for i := range entriesPerCell {
			e := &simEntry{name: fmt.Sprintf("front-%d-%d", cell, i), number: len(s.entries), cell: cell, ledger: lending.New()}
			e.ledger.SetCell(cell, cells)
			e.nextRound = start.Add(time.Duration(s.random.Int64N(int64(lending.Interval))))
			s.entries = append(s.entries, e)
		}
	}
	return s
}

func (s *simulation) relay(cell int) *simEntry {
	for _, e := range s.entries {
		if e.cell == cell && !e.dead {
			return e
		}
	}
	return nil
}

// uses reports whether an entry would send new requests to a target.
func (s *simulation) uses(e *simEntry, t *simTarget) bool {
	if e.dead || t.gone || s.now.Before(e.suspendedUntil) {
		return false
	}
	_, borrowedUntil := e.ledger.Terms(t.name)
	return s.now.Before(borrowedUntil) || t.home == e.cell && !e.ledger.Lent(s.now, t.name)
}

// pools returns the load of an entry's cell as it would report it.
func (s *simulation) pools(e *simEntry) []lending.Pool {
	pool := lending.Pool{Load: lending.Load{Service: service, Arriving: s.demand[e.cell] * (1 + s.noise*(2*s.random.Float64()-1))}}
	for _, t := range s.targets {
		if s.uses(e, t) {
			pool.Capacity += t.capacity
		}
		if t.home == e.cell && !t.gone {
			pool.Own++
			pool.Targets = append(pool.Targets, lending.Target{Name: t.name, Capacity: t.capacity})
		}
	}
	return []lending.Pool{pool}
}

func (s *simulation) send(from, to *simEntry, a lending.Announcement, passOn bool) {
	s.messages++
	if s.random.Float64() < s.loss || from.part != to.part {
		return
	}
	delay := time.Duration(1+s.random.IntN(20)) * time.Millisecond
	s.pending = append(s.pending, delivery{s.now.Add(delay), to, a, passOn, from})
}

func (s *simulation) round(e *simEntry) {
	a := e.ledger.Round(s.now, s.pools(e))
	e.sequence++
	e.turn++
	a.From, a.Incarnation, a.Age, a.Sequence = e.name, 1, s.now.Sub(start), e.sequence
	s.count(e)
	for cell := range s.cells {
		var live []*simEntry
		for _, other := range s.entries {
			if other.cell == cell && !other.dead && other != e {
				live = append(live, other)
			}
		}
		switch {
		case len(live) == 0:
		case cell == e.cell:
			for _, other := range live {
				s.send(e, other, a, false)
			}
		default:
			s.send(e, live[e.turn%len(live)], a, true)
		}
	}
}

func (s *simulation) count(e *simEntry) {
	for _, c := range e.ledger.Changes() {
		s.outcomes[c.Outcome]++
	}
}

func (s *simulation) deliver(d delivery) {
	if d.to.dead {
		return
	}
	if s.now.Before(d.to.suspendedUntil) {
		d.at = d.to.suspendedUntil
		s.pending = append(s.pending, d)
		return
	}
	if d.to.ledger.Apply(s.now, d.a) != nil || !d.passOn {
		return
	}
	for _, other := range s.entries {
		if other.cell == d.to.cell && other != d.to {
			s.send(d.to, other, d.a, false)
		}
	}
}

// run advances the clock.
func (s *simulation) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.now = s.now.Add(step)
		slices.SortStableFunc(s.pending, func(a, b delivery) int { return a.at.Compare(b.at) })
		pending := s.pending
		s.pending = nil
		for _, d := range pending {
			if d.at.After(s.now) {
				s.pending = append(s.pending, d)
			} else {
				s.deliver(d)
			}
		}
		for _, e := range s.entries {
			if e == s.relay(e.cell) && !s.now.Before(e.nextRound) && !s.now.Before(e.suspendedUntil) {
				e.nextRound = s.now.Add(lending.Interval)
				s.round(e)
			}
		}
		s.check()
	}
}

// check records the targets that several cells use at once.
func (s *simulation) check() {
	for _, t := range s.targets {
		n := len(s.usersOf(t))
		s.most = max(s.most, n)
		if n > 1 {
			s.twice[t.name] += step
			s.atOnce[t.name] += step
			s.longestAtOnce = max(s.longestAtOnce, s.atOnce[t.name])
		} else {
			delete(s.atOnce, t.name)
		}
	}
}

// usersOf returns the cells of which an entry uses a target.
func (s *simulation) usersOf(t *simTarget) []int {
	var cells []int
	for _, e := range s.entries {
		if s.uses(e, t) && !slices.Contains(cells, e.cell) {
			cells = append(cells, e.cell)
		}
	}
	return cells
}

func (s *simulation) longestTwice() time.Duration {
	longest := time.Duration(0)
	for _, each := range s.twice {
		longest = max(longest, each)
	}
	return longest
}

// pressures returns the pressure of each cell, as its relay sees it.
func (s *simulation) pressures() []float64 {
	pressures := make([]float64, s.cells)
	for cell := range s.cells {
		capacity := 0.0
		if e := s.relay(cell); e != nil {
			for _, t := range s.targets {
				if s.uses(e, t) {
					capacity += t.capacity
				}
			}
		}
		pressures[cell] = s.demand[cell] / max(capacity, math.SmallestNonzeroFloat32)
	}
	return pressures
}

// excess returns the highest pressure relative to that of all cells together.
func (s *simulation) excess() float64 {
	capacity, demand := 0.0, 0.0
	for _, t := range s.targets {
		if !t.gone {
			capacity += t.capacity
		}
	}
	for _, each := range s.demand {
		demand += each
	}
	return slices.Max(s.pressures()) / (demand / capacity)
}

// lentTargets returns the targets that another cell than the home uses, with that cell.
func (s *simulation) lentTargets() map[string]int {
	lent := make(map[string]int)
	for _, t := range s.targets {
		for _, cell := range s.usersOf(t) {
			if cell != t.home {
				lent[t.name] = cell
			}
		}
	}
	return lent
}
