package quota

import "time"

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

// since is what was added after a moment, rounded up to whole points.
func (s *series) since(moment time.Time) float64 {
	if s == nil || len(s.points) == 0 {
		return 0
	}
	for i := len(s.points) - 1; i >= 0; i-- {
		if !s.points[i].at.After(moment) {
			return s.last() - s.points[i].total
		}
	}
	return s.last() - s.points[0].total
}
