package lending

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// balance is the state of one service as seen by the lender's relay: what it and the borrowers
// could do, and have to do, if the decisions made so far in this round had taken effect.
type balance struct {
	capacity, arriving float64
}

func (b balance) pressure() float64 {
	switch {
	case b.capacity > 0:
		return b.arriving / b.capacity
	case b.arriving > 0:
		return math.Inf(1)
	default:
		return 0
	}
}

// plus returns the balance with more capacity, or less if it is negative.
func (b balance) plus(capacity float64) balance {
	b.capacity = max(0, b.capacity+capacity)
	return b
}

// round is the state of a service during one round.
type round struct {
	ledger *Ledger
	now    time.Time
	pool   *Pool
	own    balance
	// capacities are those of the cell's usable targets.
	capacities map[string]float64
	// lent are the targets that the own cell lends, latest first.
	lent []string
	// others are the other cells of which the load is fresh.
	others map[int]balance
}

// decide renews leases of a service and lends one more target if that is due. It returns the
// load of the cell after that.
func (l *Ledger) decide(now time.Time, pool *Pool) Load {
	known := l.setLoad(now, l.cell, pool.Load)
	if l.cells < 2 {
		return pool.Load
	}
	r := &round{
		ledger: l, now: now, pool: pool, own: balance{known.capacity, known.arriving},
		capacities: make(map[string]float64, len(pool.Targets)), others: make(map[int]balance, len(l.loads[pool.Service])),
	}
	for _, t := range pool.Targets {
		r.capacities[t.Name] = t.Capacity
	}
	r.readLeases()
	r.readLoads()
	r.renew()
	load := pool.Load
	load.Capacity -= r.lend()
	load.Capacity = max(0, load.Capacity)
	return load
}

func (r *round) readLeases() {
	for name, known := range r.ledger.leases {
		if known.own && known.service == r.pool.Service {
			r.lent = append(r.lent, name)
		}
	}
	leases := r.ledger.leases
	slices.SortFunc(r.lent, func(a, b string) int {
		return cmp.Or(leases[b].since.Compare(leases[a].since), cmp.Compare(a, b))
	})
}

// readLoads reads the loads of the other cells, and adds the leases that they do not
// include yet.
func (r *round) readLoads() {
	for cell := range r.ledger.loads[r.pool.Service] {
		known, fresh := r.ledger.loadOf(r.now, r.pool.Service, cell)
		if !fresh || cell == r.ledger.cell {
			continue
		}
		b := balance{known.capacity, known.arriving}
		for _, name := range r.lent {
			if each := r.ledger.leases[name]; each.to == cell && known.at.Before(each.since.Add(reflected)) {
				b = b.plus(r.capacities[name])
			}
		}
		r.others[cell] = b
	}
}

// renew renews each lease without which the borrower's pressure would be too far above that of
// the own cell. The leases are tested one after the other, as if those that are not renewed had
// been returned: tested each for itself, all would be returned at once where one is enough.
func (r *round) renew() {
	for _, name := range r.lent {
		known := r.ledger.leases[name]
		capacity, usable := r.capacities[name]
		theirs, fresh := r.others[known.to]
		ownReturned, theirsReturned := r.own.plus(capacity), theirs.plus(-capacity)
		inUse := r.now.Before(known.until.Add(-Guard))
		if inUse && usable && fresh && worthKeeping(r.own, theirs, ownReturned, theirsReturned) {
			known.until, known.ending, known.returned = r.now.Add(Term), false, false
			continue
		}
		known.ending = true
		if !inUse && !known.returned {
			known.returned = true
			r.ledger.record(Returned, name, known, 0, ownReturned.pressure(), theirsReturned.pressure())
		}
		r.own = ownReturned
		if fresh && inUse {
			r.others[known.to] = theirsReturned
		}
	}
}

// worthKeeping reports whether a lease should go on, given the pressures with the lease and
// those after a return.
func worthKeeping(own, theirs, ownReturned, theirsReturned balance) bool {
	returned := theirsReturned.pressure()
	return returned > renewPressure && returned > renewFactor*ownReturned.pressure() &&
		max(own.pressure(), theirs.pressure()) < returnMargin*max(returned, ownReturned.pressure())
}

// lend lends one more target to the cell that is the counterpart of the own, and returns its
// capacity.
func (r *round) lend() float64 {
	l := r.ledger
	if r.now.Sub(l.relaySince) < takeover || len(r.lent) >= r.limit() {
		return 0
	}
	to, found := r.counterpart()
	if !found || r.isTransient(to) {
		return 0
	}
	theirs := r.others[to]
	own, pressure := r.own.pressure(), theirs.pressure()
	if pressure <= lendPressure || pressure <= lendFactor*own {
		return 0
	}
	best, capacity := "", 0.0
	least := math.Inf(1)
	for _, t := range r.pool.Targets {
		if _, lent := l.leases[t.Name]; lent || t.Capacity <= 0 {
			continue
		}
		// The lender must not become the fuller one.
		if rest := theirs.plus(t.Capacity).pressure() - r.own.plus(-t.Capacity).pressure(); rest >= 0 && rest < least {
			best, capacity, least = t.Name, t.Capacity, rest
		}
	}
	if best == "" || !l.fits(best, r.pool.Service) {
		return 0
	}
	known := &lease{service: r.pool.Service, from: l.cell, to: to, cells: l.cells, since: r.now, until: r.now.Add(Term), own: true}
	l.leases[best] = known
	l.record(Lent, best, known, Term, own, pressure)
	return capacity
}

// limit returns the number of targets that the own cell may lend.
func (r *round) limit() int {
	unlent := 0
	for _, t := range r.pool.Targets {
		if _, lent := r.ledger.leases[t.Name]; !lent {
			unlent++
		}
	}
	return min(r.pool.Own/lentShare, len(r.lent)+unlent-minKept)
}

// fits reports whether a further lease fits the announcement.
func (l *Ledger) fits(target, service string) bool {
	n, size := 1, sizeOfLease(target, service)
	for name, known := range l.leases {
		if known.own {
			n++
			size += sizeOfLease(name, known.service)
		}
	}
	return n <= MaxLeases && size <= leaseBytes && len(l.leases) < maxKnown
}

// isTransient reports whether a lease between the own cell and another is about to end, or the
// other lends to the own cell: it should first take its target back.
func (r *round) isTransient(to int) bool {
	for _, known := range r.ledger.leases {
		if known.service != r.pool.Service {
			continue
		}
		if known.own && known.to == to && known.ending || known.borrowed && known.from == to {
			return true
		}
	}
	return false
}

// counterpart returns the cell to which the own cell may lend. Cells are ordered by pressure;
// the least full cell lends to the fullest, the second least to the second fullest and so on.
// If all lent to the fullest one, it would get a target of each of them within one round.
func (r *round) counterpart() (int, bool) {
	type place struct {
		cell     int
		pressure float64
	}
	byPressure := func(a, b place) int {
		return cmp.Or(cmp.Compare(b.pressure, a.pressure), cmp.Compare(a.cell, b.cell))
	}
	all := []place{{r.ledger.cell, r.own.pressure()}}
	for cell, b := range r.others {
		all = append(all, place{cell, b.pressure()})
	}
	slices.SortFunc(all, byPressure)
	lendsAll := r.exhausted()
	lenders := 0
	for i := len(all) - 1; i > lenders; i-- {
		if all[i].cell == r.ledger.cell {
			return all[lenders].cell, true
		}
		if !lendsAll[all[i].cell] {
			lenders++
		}
	}
	return 0, false
}

// exhausted returns the other cells that lend as much as they may. Cells have equal numbers of
// targets, except for one.
func (r *round) exhausted() map[int]bool {
	count := make(map[int]int)
	for _, known := range r.ledger.leases {
		if known.service == r.pool.Service && !known.own {
			count[known.from]++
		}
	}
	exhausted := make(map[int]bool)
	for cell, n := range count {
		exhausted[cell] = n >= max(1, (r.pool.Own-1)/lentShare)
	}
	return exhausted
}
