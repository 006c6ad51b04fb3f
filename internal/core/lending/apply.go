package lending

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// The errors of announcements that are not applied.
var (
	// ErrOutdated means that a later announcement of the sender has been applied.
	ErrOutdated = errors.New("announcement is old or repeated")
	// ErrCell means that a cell is out of range.
	ErrCell = errors.New("announcement names an impossible cell")
	// ErrLoad means that a capacity or a demand is negative or not finite.
	ErrLoad = errors.New("announcement has an impossible load")
	// ErrTerm means that a term is negative or longer than Term.
	ErrTerm = errors.New("announcement has an impossible term")
	// ErrTooMany means that it has more loads or leases than allowed.
	ErrTooMany = errors.New("announcement has too many entries")
)

const (
	// maxSenders bounds the processes whose sequence numbers are known. Only relays send, and
	// a relay that has not been heard for senderTTL is forgotten.
	maxSenders = 2 * MaxCells
	senderTTL  = 30 * time.Second
	// incarnationSlack is the difference between two estimates of the start of a process from
	// which on they are different processes.
	incarnationSlack = time.Second
	// offsetWindow is the time over which the least delay of a sender is known: clocks drift by
	// some milliseconds in it.
	offsetWindow = 30 * time.Second
)

// sender is a process that has announced something.
type sender struct {
	incarnation uint64
	sequence    uint64
	heardAt     time.Time
	// started is the earliest estimate of the start of the process in this window, before that
	// in the one before. An announcement with a later estimate was delayed by the difference.
	started, before time.Time
	windowEnd       time.Time
}

// delay returns by how much an announcement was delayed beyond the fastest ones of its sender.
func (s *sender) delay(now time.Time, age time.Duration) time.Duration {
	started := now.Add(-age)
	switch {
	case s.windowEnd.IsZero():
		s.started, s.before, s.windowEnd = started, started, now.Add(offsetWindow)
	case !now.Before(s.windowEnd):
		s.before, s.started, s.windowEnd = s.started, started, now.Add(offsetWindow)
	case started.Before(s.started):
		s.started = started
	}
	earliest := s.started
	if s.before.Before(earliest) {
		earliest = s.before
	}
	return started.Sub(earliest)
}

// Valid returns an error if a figure of the announcement is impossible.
func (a *Announcement) Valid() error {
	switch {
	case a.Cells < 1 || a.Cells > MaxCells || a.Cell < 0 || a.Cell >= a.Cells:
		return fmt.Errorf("%w: cell %d of %d", ErrCell, a.Cell, a.Cells)
	case len(a.Loads) > MaxLoads || len(a.Leases) > MaxLeases:
		return fmt.Errorf("%w: %d loads, %d leases", ErrTooMany, len(a.Loads), len(a.Leases))
	case a.Age < 0:
		return fmt.Errorf("%w: sent %v after the start", ErrTerm, a.Age)
	}
	for _, load := range a.Loads {
		if !possible(load.Capacity) || !possible(load.Arriving) {
			return fmt.Errorf("%w: %s: capacity %v, arriving %v", ErrLoad, load.Service, load.Capacity, load.Arriving)
		}
	}
	for _, each := range a.Leases {
		if each.To < 0 || each.To >= a.Cells || each.To == a.Cell {
			return fmt.Errorf("%w: %s lent to cell %d of %d by %d", ErrCell, each.Target, each.To, a.Cells, a.Cell)
		}
		if each.Term < 0 || each.Term > Term {
			return fmt.Errorf("%w: %s lent for %v", ErrTerm, each.Target, each.Term)
		}
	}
	return nil
}

func possible(figure float64) bool { return figure >= 0 && !math.IsInf(figure, 0) }

// weight returns the weight of a sample in a mean, given the time since the one before.
func weight(elapsed time.Duration) float64 {
	return 1 - math.Exp(-max(0, elapsed.Seconds())/smoothing.Seconds())
}

// Apply applies the announcement of another entry. An error means that nothing was applied.
func (l *Ledger) Apply(now time.Time, a Announcement) error {
	if err := a.Valid(); err != nil {
		return err
	}
	delay, err := l.receive(now, &a)
	if err != nil {
		return err
	}
	if now.Sub(l.expiredAt) >= Guard {
		l.expire(now)
	}
	sameDivision := a.Cells == l.cells
	if sameDivision && a.Cell == l.cell && l.isRelay(now) {
		// Two relays at once must not lend the same target: neither lends a new one.
		l.relaySince = now
	}
	if sameDivision && delay < maxLoadAge {
		for _, load := range a.Loads {
			l.setLoad(now, a.Cell, load)
		}
	}
	for _, each := range a.Leases {
		if term := each.Term - delay; term > -Guard {
			l.setLease(now, &a, each, term)
		}
	}
	return nil
}

func (l *Ledger) isRelay(now time.Time) bool {
	return !l.lastRound.IsZero() && now.Sub(l.lastRound) <= maxLoadAge
}

// receive checks whether the announcement is the latest of its sender, and returns by how much
// it was delayed: a process that was suspended reads old ones when it goes on.
func (l *Ledger) receive(now time.Time, a *Announcement) (time.Duration, error) {
	known, found := l.senders[a.From]
	if found && known.incarnation != a.Incarnation {
		if now.Add(-a.Age).Before(known.started.Add(-incarnationSlack)) {
			return 0, fmt.Errorf("%w: of a process that has been replaced", ErrOutdated)
		}
		found = false
	}
	if found && a.Sequence <= known.sequence {
		return 0, fmt.Errorf("%w: number %d after %d", ErrOutdated, a.Sequence, known.sequence)
	}
	if !found {
		l.forgetSenders(now)
		known = &sender{incarnation: a.Incarnation}
		l.senders[a.From] = known
	}
	known.sequence, known.heardAt = a.Sequence, now
	return known.delay(now, a.Age), nil
}

// forgetSenders makes room for one more sender.
func (l *Ledger) forgetSenders(now time.Time) {
	if len(l.senders) < maxSenders {
		return
	}
	oldest := ""
	for name, known := range l.senders {
		if now.Sub(known.heardAt) > senderTTL {
			delete(l.senders, name)
		} else if oldest == "" || known.heardAt.Before(l.senders[oldest].heardAt) {
			oldest = name
		}
	}
	if len(l.senders) >= maxSenders {
		delete(l.senders, oldest)
	}
}

// setLease records a lease. If the target is already lent otherwise, nobody who knows of both
// leases uses it until they have ended, and neither is renewed: their cells may not know of each
// other.
func (l *Ledger) setLease(now time.Time, a *Announcement, announced Lease, term time.Duration) {
	until := now.Add(term)
	known, found := l.leases[announced.Target]
	// The lender lends again only after the guard time, so what is lent anew after the end of a
	// lease is not in conflict with it.
	if !found || !now.Before(known.until) {
		if !found && len(l.leases) >= maxKnown {
			return
		}
		known = &lease{service: announced.Service, from: a.Cell, to: announced.To, cells: a.Cells, since: now, until: until}
		l.leases[announced.Target] = known
	}
	if until.After(known.until) {
		known.until = until
	}
	known.conflict = known.conflict || known.from != a.Cell || known.to != announced.To || known.cells != a.Cells
	wasBorrowed := known.borrowed
	valid := !known.conflict && known.cells == l.cells
	known.own, known.borrowed = valid && known.from == l.cell, valid && known.to == l.cell
	switch {
	case known.borrowed && !wasBorrowed:
		l.record(Borrowed, announced.Target, known, term, 0, 0)
	case wasBorrowed && !known.borrowed:
		l.record(Dropped, announced.Target, known, term, 0, 0)
	}
}
