// Package lending decides which targets a cell with spare capacity lends to a fuller one,
// and for how long. Targets are divided evenly between cells by name, but not their speed:
// with a third of the targets 4.4 times slower, capacities of cells differed by a factor of
// 1.7, and some cells refused 8 to 17 % of their requests while others refused none.
//
// The relay of a cell runs a round at each Interval and announces the result to all cells.
// A lease ends by itself, so that a crash or a partition needs no agreement to recover from.
// Every entry remembers the leases of all cells, since a target can become part of another
// cell while it is lent.
//
// Time is an argument and nothing here does I/O. A Ledger is not safe for concurrent use.
package lending

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Interval is the time between two rounds of a relay.
	Interval = 500 * time.Millisecond
	// Term is the duration of a lease: six announcements, all of which would have to be lost
	// for a wanted lease to end.
	Term = 3 * time.Second
	// Guard is the time before the end of a lease at which the borrower stops, and the time
	// after it at which the lender starts to use the target again.
	Guard = 500 * time.Millisecond
	// MaxLeases and MaxLoads bound an announcement.
	MaxLeases = 16
	MaxLoads  = 64
	// MaxCells bounds the number of cells: three times that of 1,970 entries, twice the largest
	// deployment.
	MaxCells = 512

	// maxLoadAge is the age up to which the load of another cell is used: three announcements.
	maxLoadAge = 3 * Interval
	// lendFactor is the least factor between the pressures of borrower and lender for a new
	// lease, renewFactor that for the renewal of a lease, as if the target had been returned.
	// The distance between them keeps the noise of measured loads from causing changes.
	lendFactor, renewFactor = 1.15, 1.05
	// lendPressure and renewPressure are the least pressures of a borrower. Below half of its
	// capacity hardly any request waits, and borrowed targets are often in another zone.
	lendPressure, renewPressure = 0.5, 0.45
	// returnMargin is by how much the higher pressure must fall for a target to be returned.
	returnMargin = 1.03
	// lentShare is the part of its targets that a cell lends at most, as a divisor; minKept is
	// the number of usable targets that it keeps.
	lentShare, minKept = 4, 3
	// takeover is the time for which a new relay lends nothing new: it may have missed a lease
	// of its predecessor, which has ended by then.
	takeover = Term + Guard
	// smoothing is the time constant of the mean of a cell's arriving work. At 1 s, a noise of a
	// tenth in the reported loads changes leases twice as often.
	smoothing = 1500 * time.Millisecond
	// reflected is the time after which an announcement of the borrower includes a new lease:
	// two datagrams within a cell's links and some waiting.
	reflected = 250 * time.Millisecond
	// announcedBytes bounds the loads and leases of an announcement, leaseBytes its leases. The
	// rest of a datagram of 1,400 bytes is for the sender's name and fields of fixed size.
	announcedBytes, leaseBytes = 1200, 700
	// leaseOverhead and loadOverhead are the encoded sizes apart from names.
	leaseOverhead, loadOverhead = 14, 23
	// maxKnown bounds the leases that are remembered.
	maxKnown = MaxLeases * MaxCells
)

// Load is the work a second that a cell's targets of a service can do, and the work a second
// that arrives for them, both in units of the mean latency of a target.
type Load struct {
	Service            string
	Capacity, Arriving float64
}

// Target is a usable target of a cell and its share of the cell's capacity.
type Target struct {
	Name     string
	Capacity float64
}

// Pool is the load of the own cell and the targets it consists of.
type Pool struct {
	Load
	// Own is the number of the cell's targets, usable or not; lent ones are included and
	// borrowed ones are not.
	Own int
	// Targets are the usable ones among them.
	Targets []Target
}

// Lease lends a target to a cell for the rest of a term.
type Lease struct {
	Target, Service string
	To              int
	Term            time.Duration
}

// Announcement is what the relay of a cell tells all cells.
type Announcement struct {
	// From and Incarnation name the sender's process, Age is the time since its start at the
	// moment of sending, and Sequence increases with its announcements.
	From        string
	Incarnation uint64
	Age         time.Duration
	Sequence    uint64

	// Cell is the sender's cell of Cells.
	Cell, Cells int
	Loads       []Load
	Leases      []Lease
}

// Outcome tells what happened to a lease.
type Outcome string

// The outcomes of leases.
const (
	// Lent and Borrowed mean that the lease began, as seen by the lender's relay and by the
	// borrowers.
	Lent     Outcome = "lent"
	Borrowed Outcome = "borrowed"
	// Returned means that the lender's relay has not renewed it in time, so that the borrower
	// has stopped to use the target.
	Returned Outcome = "returned"
	// Expired means that the lender uses the target again.
	Expired Outcome = "expired"
	// Dropped means that the borrower's cell has changed.
	Dropped Outcome = "dropped"
)

// Change is a change of a lease, with the inputs of the decision: the pressures of the lender
// and of the borrower, 0 if they are not known.
type Change struct {
	Outcome          Outcome
	Target, Service  string
	From, To         int
	Term             time.Duration
	Pressure, Theirs float64
}

// lease is a lease that is known.
type lease struct {
	service string
	// It is lent by the cell from to the cell to, out of cells.
	from, to, cells int
	since           time.Time
	until           time.Time
	// own means that the own cell is the lender, borrowed that it is the borrower. Neither is
	// set after a change of cells.
	own, borrowed bool
	// conflict means that two cells lend the target, or one to two cells.
	conflict bool
	// ending means that it was not renewed in the last round, returned that it cannot be renewed
	// any more.
	ending, returned bool
}

// cellLoad is the latest load of a cell for a service.
type cellLoad struct {
	capacity, arriving float64
	at                 time.Time
}

func (c *cellLoad) update(now time.Time, load Load) {
	c.capacity = load.Capacity
	c.arriving += (load.Arriving - c.arriving) * weight(now.Sub(c.at))
	c.at = now
}

// Ledger holds the loads and leases of all cells as known to one entry.
type Ledger struct {
	cell, cells int
	senders     map[string]*sender
	// loads are by service and cell, for the current number of cells.
	loads  map[string]map[int]*cellLoad
	leases map[string]*lease
	// expiredAt is when ended leases were last forgotten.
	expiredAt time.Time
	// lastRound is the time of the last round, relaySince that of the first one without a gap.
	lastRound, relaySince time.Time
	// firstLoad is the name of the service with which the next announcement begins, if not
	// all fit.
	firstLoad string
	changes   []Change
}

// New returns a ledger of an entry that is alone.
func New() *Ledger {
	return &Ledger{
		cells: 1, senders: make(map[string]*sender),
		loads: make(map[string]map[int]*cellLoad), leases: make(map[string]*lease),
	}
}

// SetCell sets the index of this entry's cell and the number of cells. If either changes, what
// is borrowed is dropped; targets known to be lent stay so until their leases expire.
func (l *Ledger) SetCell(cell, cells int) {
	if cell == l.cell && cells == l.cells {
		return
	}
	l.cell, l.cells = cell, cells
	l.relaySince, l.lastRound = time.Time{}, time.Time{}
	clear(l.loads)
	for _, name := range l.sortedTargets() {
		known := l.leases[name]
		if known.borrowed {
			l.record(Dropped, name, known, 0, 0, 0)
		}
		known.own, known.borrowed = false, false
	}
}

// Lent reports whether the target is lent by any cell to another than the own.
func (l *Ledger) Lent(now time.Time, target string) bool {
	known, found := l.leases[target]
	return found && !known.ended(now) && !known.usable(now)
}

// Borrowed returns the targets that the own cell may use although they belong to another, by
// name.
func (l *Ledger) Borrowed(now time.Time) []string {
	var borrowed []string
	for name, known := range l.leases {
		if known.usable(now) {
			borrowed = append(borrowed, name)
		}
	}
	slices.Sort(borrowed)
	return borrowed
}

func (known *lease) usable(now time.Time) bool {
	return known.borrowed && now.Before(known.until.Add(-Guard))
}

// Terms returns until when the target counts as lent, and until when the own cell may use it
// as borrowed; zero times if neither.
func (l *Ledger) Terms(target string) (lentUntil, borrowedUntil time.Time) {
	known, found := l.leases[target]
	if !found {
		return time.Time{}, time.Time{}
	}
	if known.borrowed {
		borrowedUntil = known.until.Add(-Guard)
	}
	return known.until.Add(Guard), borrowedUntil
}

// Changes returns the changes since the last call.
func (l *Ledger) Changes() []Change {
	changes := l.changes
	l.changes = nil
	return changes
}

// maxChanges bounds the changes that wait to be read.
const maxChanges = 64

func (l *Ledger) record(outcome Outcome, target string, known *lease, term time.Duration, pressure, theirs float64) {
	if len(l.changes) < maxChanges {
		l.changes = append(l.changes, Change{
			Outcome: outcome, Target: target, Service: known.service, From: known.from, To: known.to, Term: term, Pressure: pressure, Theirs: theirs,
		})
	}
}

// expire forgets the leases that have ended at the lender. Every question about a lease also
// compares times, so it need not precede each of them.
func (l *Ledger) expire(now time.Time) {
	var ended []string
	for name, known := range l.leases {
		if known.ended(now) {
			ended = append(ended, name)
		}
	}
	slices.Sort(ended)
	for _, name := range ended {
		if known := l.leases[name]; known.own {
			l.record(Expired, name, known, 0, 0, 0)
		}
		delete(l.leases, name)
	}
	l.expiredAt = now
}

func (known *lease) ended(now time.Time) bool { return !now.Before(known.until.Add(Guard)) }

func (l *Ledger) sortedTargets() []string { return slices.Sorted(maps.Keys(l.leases)) }

// loadOf returns the load of a cell for a service, if it is fresh.
func (l *Ledger) loadOf(now time.Time, service string, cell int) (*cellLoad, bool) {
	known, found := l.loads[service][cell]
	return known, found && now.Sub(known.at) <= maxLoadAge
}

func (l *Ledger) setLoad(now time.Time, cell int, load Load) *cellLoad {
	byCell, found := l.loads[load.Service]
	if !found {
		if len(l.loads) >= MaxLoads {
			l.forgetLoads(now)
		}
		byCell = make(map[int]*cellLoad)
		l.loads[load.Service] = byCell
	}
	known, found := byCell[cell]
	if !found || now.Sub(known.at) > maxLoadAge {
		known = &cellLoad{arriving: load.Arriving}
		byCell[cell] = known
	}
	known.update(now, load)
	return known
}

// forgetLoads drops the services of which no load is fresh, or all if that is not enough.
func (l *Ledger) forgetLoads(now time.Time) {
	maps.DeleteFunc(l.loads, func(_ string, byCell map[int]*cellLoad) bool {
		maps.DeleteFunc(byCell, func(_ int, known *cellLoad) bool { return now.Sub(known.at) > maxLoadAge })
		return len(byCell) == 0
	})
	if len(l.loads) >= MaxLoads {
		clear(l.loads)
	}
}

// Round decides which leases begin and which are renewed, and returns the announcement to
// send. Only the relay of a cell calls it; pools are the loads of its cell.
func (l *Ledger) Round(now time.Time, pools []Pool) Announcement {
	l.expire(now)
	if now.Sub(l.lastRound) > maxLoadAge {
		l.relaySince = now
	}
	l.lastRound = now
	pools = slices.SortedFunc(slices.Values(pools), func(a, b Pool) int { return cmp.Compare(a.Service, b.Service) })
	loads := make([]Load, 0, len(pools))
	for i := range pools {
		loads = append(loads, l.decide(now, &pools[i]))
	}
	a := Announcement{Cell: l.cell, Cells: l.cells, Leases: l.ownLeases(now)}
	a.Loads = l.share(loads, a.Leases)
	return a
}

// ownLeases returns the leases of the own cell that have not ended, with what is left of
// their terms.
func (l *Ledger) ownLeases(now time.Time) []Lease {
	var leases []Lease
	for name, known := range l.leases {
		if known.own && now.Before(known.until) {
			leases = append(leases, Lease{Target: name, Service: known.service, To: known.to, Term: known.until.Sub(now)})
		}
	}
	slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.Target, b.Target) })
	return leases
}

func sizeOfLease(target, service string) int { return len(target) + len(service) + leaseOverhead }

// share returns the loads that fit beside the leases, beginning with those that the last
// announcement had no room for.
func (l *Ledger) share(loads []Load, leases []Lease) []Load {
	room := announcedBytes
	for _, each := range leases {
		room -= sizeOfLease(each.Target, each.Service)
	}
	first := max(0, slices.IndexFunc(loads, func(load Load) bool { return load.Service >= l.firstLoad }))
	loads = slices.Concat(loads[first:], loads[:first])
	l.firstLoad = ""
	for i, load := range loads {
		if room -= len(load.Service) + loadOverhead; room < 0 || i >= MaxLoads {
			l.firstLoad = load.Service
			return loads[:i]
		}
	}
	return loads
}
