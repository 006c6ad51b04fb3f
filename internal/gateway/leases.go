package gateway

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/lending"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/gossip"
)

// The relay of a cell announces the load of its cell and the targets that it lends. As with
// digests, it sends the announcement to one entry of each other cell, which forwards it.

const (
	// loadReceivers is the number of entries of a cell to which an announcement without leases
	// is forwarded: only the relay needs the loads, and it is the first live entry of its cell.
	loadReceivers = 2
	// droppedLogPause is the least time between two log lines about dropped announcements.
	droppedLogPause = time.Second
)

// lend runs a round every lending.Interval while this entry is the relay of its cell.
func (l *links) lend(ctx context.Context) {
	if l.gateway.state.leases == nil {
		return
	}
	pause := rand.N(lending.Interval)
	for round := rand.IntN(dispatch.CellEntries); ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = lending.Interval
		if l.cells.Load().IsRelay {
			l.announceLeases(round)
		}
	}
}

// announceLeases runs a round and sends its result.
func (l *links) announceLeases(round int) {
	m, cells := l.leaseRound(time.Now())
	if m == nil {
		return
	}
	m.Leases.PassOn = true
	l.send(m, oneOfEach(cells, round))
	m.Leases.PassOn = false
	l.send(m, leaseReceivers(cells, m.Leases))
}

// leaseRound runs a round and returns the announcement with the cells it is for; nil if there is
// nothing to announce. Its age is that of the decision: if this process is suspended before it
// sends the announcement, the receivers notice the delay.
func (l *links) leaseRound(now time.Time) (*gossip.Message, *peerset.Cells) {
	s := l.gateway.state
	m := l.message()
	m.AgeMS = now.Sub(l.gateway.started).Milliseconds()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	cells := l.cells.Load()
	a := s.leases.Round(now, s.sched.LendingPools(now))
	if len(a.Loads) == 0 && len(a.Leases) == 0 {
		return nil, nil
	}
	l.applyLeases(now, a.Leases)
	m.Leases = leasesMessage(&a)
	m.Leases.Sequence = l.conn.NextSequence()
	return m, cells
}

// oneOfEach returns one entry of each other cell, which changes with the round and differs by the
// sender's cell; see sendDigests.
func oneOfEach(cells *peerset.Cells, round int) []peerset.Entry {
	var to []peerset.Entry
	for _, cell := range cells.OtherCells {
		if len(cell) > 0 {
			to = append(to, cell[(round+cells.Own)%len(cell)])
		}
	}
	return to
}

// leaseReceivers returns the entries of the own cell that need an announcement.
func leaseReceivers(cells *peerset.Cells, leases *gossip.Leases) []peerset.Entry {
	if len(leases.Leases) > 0 {
		return cells.Audience
	}
	return cells.Peers[:min(loadReceivers, len(cells.Peers))]
}

// applyLeases passes leases on to the scheduler. The caller holds the state's mutex.
func (l *links) applyLeases(now time.Time, announced []lending.Lease) {
	s := l.gateway.state
	leases := make([]dispatch.Lease, 0, len(announced))
	for _, each := range announced {
		lentUntil, borrowedUntil := s.leases.Terms(each.Target)
		leases = append(leases, dispatch.Lease{Target: each.Target, LentUntil: lentUntil, BorrowedUntil: borrowedUntil})
	}
	if len(leases) > 0 {
		s.deliver(s.sched.SetLeases(now, leases))
	}
	l.logLeases()
}

// setLeaseCell passes this entry's cell on to the ledger. The caller holds the state's mutex.
func (l *links) setLeaseCell(cells *peerset.Cells) {
	if s := l.gateway.state; s.leases != nil {
		s.leases.SetCell(cells.Own, cells.Count)
		l.logLeases()
	}
}

// logLeases logs the changes of leases. The caller holds the state's mutex.
func (l *links) logLeases() {
	for _, c := range l.gateway.state.leases.Changes() {
		l.gateway.log.Write(eventlog.StateChange, eventLease, eventlog.Fields{
			"service": c.Service, "target": c.Target, "from": c.From, "to": c.To, "term_ms": c.Term.Milliseconds(),
			"pressure": c.Pressure, "their_pressure": c.Theirs, "outcome": string(c.Outcome),
		})
	}
}

// handleLeases applies an announcement, and forwards it to the cell if its sender requests this.
func (l *links) handleLeases(m *gossip.Message) {
	s := l.gateway.state
	if s.leases == nil {
		return
	}
	now := time.Now()
	a := announcementOf(m)
	s.mutex.Lock()
	err := s.leases.Apply(now, a)
	if err == nil {
		l.applyLeases(now, a.Leases)
	}
	s.mutex.Unlock()
	if err != nil {
		l.dropAnnouncement(now, m, err)
		return
	}
	if m.Leases.PassOn {
		m.Leases.PassOn = false
		l.send(m, leaseReceivers(l.cells.Load(), m.Leases))
	}
}

// dropAnnouncement counts an announcement that is not applied, and logs it if it is impossible.
func (l *links) dropAnnouncement(now time.Time, m *gossip.Message, err error) {
	l.gateway.counters.droppedAnnouncements.add(dropReason(err))
	if errors.Is(err, lending.ErrOutdated) || now.Sub(l.droppedLogAt) < droppedLogPause {
		return
	}
	l.droppedLogAt = now
	l.gateway.log.Write(eventlog.StateChange, eventLease, eventlog.Fields{"peer": m.From, "outcome": "impossible", "error": err.Error()})
}

func dropReason(err error) string {
	for _, known := range []struct {
		err    error
		reason string
	}{
		{lending.ErrOutdated, "outdated"}, {lending.ErrCell, "cell"}, {lending.ErrLoad, "load"},
		{lending.ErrTerm, "term"}, {lending.ErrTooMany, "too_many"},
	} {
		if errors.Is(err, known.err) {
			return known.reason
		}
	}
	return "other"
}

// leasesMessage and announcementOf convert between the ledger's announcement and the datagram's.
func leasesMessage(a *lending.Announcement) *gossip.Leases {
	m := &gossip.Leases{Cell: a.Cell, Cells: a.Cells}
	for _, load := range a.Loads {
		m.Loads = append(m.Loads, gossip.CellLoad{Service: load.Service, Capacity: load.Capacity, Arriving: load.Arriving})
	}
	for _, each := range a.Leases {
		m.Leases = append(m.Leases, gossip.Lease{Target: each.Target, Service: each.Service, To: each.To, TermMS: each.Term.Milliseconds()})
	}
	return m
}

func announcementOf(m *gossip.Message) lending.Announcement {
	a := lending.Announcement{
		From: m.From, Incarnation: m.Incarnation, Age: boundedMS(m.AgeMS), Sequence: m.Leases.Sequence,
		Cell: m.Leases.Cell, Cells: m.Leases.Cells,
	}
	for _, load := range m.Leases.Loads {
		a.Loads = append(a.Loads, lending.Load{Service: load.Service, Capacity: load.Capacity, Arriving: load.Arriving})
	}
	for _, each := range m.Leases.Leases {
		a.Leases = append(a.Leases, lending.Lease{Target: each.Target, Service: each.Service, To: each.To, Term: boundedMS(each.TermMS)})
	}
	return a
}

// boundedMS converts milliseconds without overflow: a figure beyond the range of a duration must
// not turn into a possible one.
func boundedMS(ms int64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Millisecond)
	return milliseconds(max(-limit, min(ms, limit)))
}
