package quota

import (
	"sort"
	"time"
)

// series is a running total over time. A nil series is zero.
type series struct{ points []point }

type point struct {
	at    time.Time
	total float64
}

// step is the resolution of a series; finer points are merged.
const step = 50 * time.Millisecond

func (s *series) last() float64 {
	if s == nil || len(s.points) == 0 {
		return 0
	}
	return s.points[len(s.points)-1].total
}

// begin starts the series at a total that counts as used before it.
func (s *series) begin(now time.Time, total float64) {
	s.points = []point{{at: now, total: total}}
}

// set adds a point and drops what is older than the window.
func (s *series) set(now time.Time, total float64, window time.Duration) {
	if n := len(s.points); n > 1 && now.Sub(s.points[n-2].at) < step {
		s.points[n-1] = point{at: now, total: total}
		return
	}
	if len(s.points) == 0 {
		s.begin(now, 0)
	}
	s.points = append(s.points, point{at: now, total: total})
	old := 0
	for old+1 < len(s.points) && now.Sub(s.points[old+1].at) > window {
		old++
	}
	s.points = s.points[old:]
}

// changedSince reports whether a point was added after a moment.
func (s *series) changedSince(moment time.Time) bool {
	return len(s.points) > 0 && s.points[len(s.points)-1].at.After(moment)
}

// since is what was added after a moment, rounded up to whole points.
func (s *series) since(moment time.Time) float64 {
	if s == nil || len(s.points) == 0 {
		return 0
	}
	later := sort.Search(len(s.points), func(i int) bool { return s.points[i].at.After(moment) })
	return s.last() - s.points[max(0, later-1)].total
}

// spreadStep is the resolution of what is spread.
const spreadStep = 250 * time.Millisecond

// account is an organisation's usage at one entry. A nil account is empty.
type account struct{ admitted, sent series }

// reserve counts what is admitted; a negative cost takes it back.
func (a *account) reserve(now time.Time, cost float64, window time.Duration) {
	a.admitted.set(now, a.admitted.last()+cost, window)
}

// send counts what is sent; a negative cost makes it wait again.
func (a *account) send(now time.Time, cost float64, window time.Duration) {
	a.sent.set(now, a.sent.last()+cost, window)
}

func (a *account) total() Total { return Total{Admitted: a.admitted.last(), Sent: a.sent.last()} }

// changedSince reports whether anything was counted after a moment.
func (a *account) changedSince(moment time.Time) bool {
	return a.admitted.changedSince(moment) || a.sent.changedSince(moment)
}

// begin starts an account whose totals were used at unknown times.
func (a *account) begin(now time.Time, total Total) {
	a.admitted.begin(now, total.Admitted)
	a.sent.begin(now, total.Sent)
}

func (a *account) set(now time.Time, total Total, window time.Duration) {
	a.admitted.set(now, total.Admitted, window)
	a.sent.set(now, total.Sent, window)
}

// spread adds points as if what was counted since the last ones, up to total, had
// been counted evenly over the time before now.
func (a *account) spread(now time.Time, over time.Duration, total Total, window time.Duration) {
	from := a.total()
	over = min(over, window)
	for before := over - spreadStep; before > 0; before -= spreadStep {
		part := 1 - float64(before)/float64(over)
		a.set(now.Add(-before), Total{
			Admitted: from.Admitted + part*(total.Admitted-from.Admitted),
			Sent:     from.Sent + part*(total.Sent-from.Sent),
		}, window)
	}
}

// since is what was sent after a moment and what waits.
func (a *account) since(moment time.Time) float64 {
	if a == nil {
		return 0
	}
	return a.sent.since(moment) + a.admitted.last() - a.sent.last()
}

// admittedSince is what was admitted after a moment.
func (a *account) admittedSince(moment time.Time) float64 {
	if a == nil {
		return 0
	}
	return a.admitted.since(moment)
}
