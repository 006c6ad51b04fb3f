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

// resolution is the interval below which points of a series are merged.
const resolution = 50 * time.Millisecond

func (s *series) last() float64 {
	if s == nil || len(s.points) == 0 {
		return 0
	}
	return s.points[len(s.points)-1].total
}

// startAt starts the series with a total that was used before it.
func (s *series) startAt(now time.Time, total float64) {
	s.points = []point{{at: now, total: total}}
}

// set adds a point and drops points older than the window.
func (s *series) set(now time.Time, total float64, window time.Duration) {
	if n := len(s.points); n > 1 && now.Sub(s.points[n-2].at) < resolution {
		s.points[n-1] = point{at: now, total: total}
		return
	}
	if len(s.points) == 0 {
		s.startAt(now, 0)
	}
	s.points = append(s.points, point{at: now, total: total})
	expired := 0
	for expired+1 < len(s.points) && now.Sub(s.points[expired+1].at) > window {
		expired++
	}
	s.points = s.points[expired:]
}

// changedSince reports whether a point was added after a moment.
func (s *series) changedSince(moment time.Time) bool {
	return len(s.points) > 0 && s.points[len(s.points)-1].at.After(moment)
}

// addedSince returns what was added after a moment, rounded up to whole points.
func (s *series) addedSince(moment time.Time) float64 {
	if s == nil || len(s.points) == 0 {
		return 0
	}
	later := sort.Search(len(s.points), func(i int) bool { return s.points[i].at.After(moment) })
	return s.last() - s.points[max(0, later-1)].total
}

// spreadResolution is the interval between points added by spread.
const spreadResolution = 250 * time.Millisecond

// account is an organisation's usage at one entry. A nil account is empty.
type account struct {
	admitted, sent series
	// peak is the highest total of admitted.
	peak float64
}

// reserve adds an admitted cost; a negative cost subtracts it.
func (a *account) reserve(now time.Time, cost float64, window time.Duration) {
	a.admitted.set(now, a.admitted.last()+cost, window)
	a.peak = max(a.peak, a.admitted.last())
}

func (a *account) peakAdmitted() float64 {
	if a == nil {
		return 0
	}
	return a.peak
}

// send adds a sent cost; a negative cost makes it wait again.
func (a *account) send(now time.Time, cost float64, window time.Duration) {
	a.sent.set(now, a.sent.last()+cost, window)
}

func (a *account) total() Total { return Total{Admitted: a.admitted.last(), Sent: a.sent.last()} }

// changedSince reports whether anything was counted after a moment.
func (a *account) changedSince(moment time.Time) bool {
	return a.admitted.changedSince(moment) || a.sent.changedSince(moment)
}

// startAt starts an account with totals that were used at unknown times.
func (a *account) startAt(now time.Time, total Total) {
	a.admitted.startAt(now, total.Admitted)
	a.sent.startAt(now, total.Sent)
}

func (a *account) set(now time.Time, total Total, window time.Duration) {
	a.admitted.set(now, total.Admitted, window)
	a.sent.set(now, total.Sent, window)
	a.peak = max(a.peak, total.Admitted)
}

// spread adds points as if the usage since the last points, up to total, had been
// counted evenly over the given time before now.
func (a *account) spread(now time.Time, interval time.Duration, total Total, window time.Duration) {
	from := a.total()
	interval = min(interval, window)
	for before := interval - spreadResolution; before > 0; before -= spreadResolution {
		part := 1 - float64(before)/float64(interval)
		a.set(now.Add(-before), Total{
			Admitted: from.Admitted + part*(total.Admitted-from.Admitted),
			Sent:     from.Sent + part*(total.Sent-from.Sent),
		}, window)
	}
}

// usedSince returns what was sent after a moment plus what is still waiting.
func (a *account) usedSince(moment time.Time) float64 {
	if a == nil {
		return 0
	}
	return a.sent.addedSince(moment) + a.admitted.last() - a.sent.last()
}

// admittedSince returns what was admitted after a moment.
func (a *account) admittedSince(moment time.Time) float64 {
	if a == nil {
		return 0
	}
	return a.admitted.addedSince(moment)
}
