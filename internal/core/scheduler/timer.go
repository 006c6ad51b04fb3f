package scheduler

import (
	"time"

	"sycamoretrail/internal/core/heap"
)

// timed is an object with a timer.
type timed interface {
	timerOf() *timer
	// fire is called when the timer is due. It returns the next time, or the zero
	// time if the timer is not needed any more.
	fire(s *Scheduler) time.Time
}

// timer is the heap entry of a timed object. Each object has at most one, so
// memory is bounded by the number of live objects.
type timer struct {
	at    time.Time
	seq   uint64
	index int
	owner timed
}

type timers struct {
	heap heap.Heap[*timer]
	seq  uint64
}

func newTimers() timers {
	less := func(a, b *timer) bool {
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		return a.seq < b.seq
	}
	return timers{heap: heap.New(less, func(t *timer, i int) { t.index = i })}
}

// set starts or moves a timer; the zero time stops it.
func (ts *timers) set(owner timed, at time.Time) {
	t := owner.timerOf()
	if t.owner == nil {
		ts.seq++
		*t = timer{seq: ts.seq, index: -1, owner: owner}
	}
	t.at = at
	switch {
	case at.IsZero() && t.index >= 0:
		ts.heap.Remove(t.index)
	case at.IsZero():
	case t.index >= 0:
		ts.heap.Fix(t.index)
	default:
		ts.heap.Push(t)
	}
}

// run fires all timers that are due. A timer that is rescheduled to a time in
// the past fires in the next run, so that this one ends.
func (ts *timers) run(s *Scheduler) {
	var due []timed
	for ts.heap.Len() > 0 && !ts.heap.Top().at.After(s.now) {
		t := ts.heap.Top()
		ts.heap.Remove(t.index)
		due = append(due, t.owner)
	}
	for _, owner := range due {
		if next := owner.fire(s); !next.IsZero() {
			ts.set(owner, next)
		}
	}
}
