// Package poolview describes what is known of the targets of one service and of the
// demand for them: one view that admission control and lending between cells read.
//
// Work is counted in seconds of a slot at a target of the pool's mean speed.
package poolview

import (
	"math"
	"time"
)

// Ranks is the number of ranks told apart; less urgent ones count as the last.
const Ranks = 4

// RankOf returns the index of a rank in the figures of this package.
func RankOf(rank int) int { return max(0, min(rank, Ranks-1)) }

// Work is an amount of work by rank.
type Work [Ranks]float64

// Total returns the work of all ranks.
func (w Work) Total() float64 { return w.UpTo(Ranks - 1) }

// UpTo returns the work of a rank and of all more urgent ones.
func (w Work) UpTo(rank int) float64 {
	sum := 0.0
	for _, part := range w[:RankOf(rank)+1] {
		sum += part
	}
	return sum
}

// Plus returns the sum of two amounts.
func (w Work) Plus(other Work) Work {
	for i := range w {
		w[i] += other[i]
	}
	return w
}

// Times returns the amount multiplied by a factor.
func (w Work) Times(factor float64) Work {
	for i := range w {
		w[i] *= factor
	}
	return w
}

// Valid reports whether all parts are finite and not negative.
func (w Work) Valid() bool {
	for _, part := range w {
		if !(part >= 0) || math.IsInf(part, 0) {
			return false
		}
	}
	return true
}

// View is the state of a pool as known to one entry.
type View struct {
	// Capacity is the work a second that the usable targets of the cell can do.
	Capacity float64
	// Arriving is the work a second that arrives, Backlog the work that waits, both over the
	// entries of the cell.
	Arriving, Backlog Work
	// Latency is the mean latency of the pool's targets: the unit that makes work of
	// different cells comparable. 0 means unknown.
	Latency time.Duration
	// Age is the age of the oldest report included, Entries the number of entries whose
	// figures are included, this one among them.
	Age     time.Duration
	Entries int
	// Own is this entry's part of Arriving and Backlog, Size the number of entries of the cell
	// whether or not they report.
	Own  Demand
	Size int
}

// Demand is what one entry reports of a pool to its cell.
type Demand struct{ Arriving, Backlog Work }

// Valid reports whether a report can be used.
func (d Demand) Valid() bool { return d.Arriving.Valid() && d.Backlog.Valid() }

// MeterWindow is the time over which a Meter averages the rate of arriving work.
const MeterWindow = 2 * time.Second

// Meter measures the rate at which work arrives. The zero Meter is ready for use.
type Meter struct {
	rate Work
	at   time.Time
}

// Add counts work that arrives.
func (m *Meter) Add(now time.Time, rank int, work float64) {
	m.decay(now)
	m.rate[RankOf(rank)] += work / MeterWindow.Seconds()
}

// Rate returns the work a second that has arrived lately.
func (m *Meter) Rate(now time.Time) Work {
	m.decay(now)
	return m.rate
}

func (m *Meter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.rate = m.rate.Times(math.Exp(-elapsed.Seconds() / MeterWindow.Seconds()))
		m.at = now
	}
}
