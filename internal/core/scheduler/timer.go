package scheduler

import (
	"time"

	"sycamoretrail/internal/core/heap"
)

// timed is something that wants to be looked at when its time comes.
type timed interface {
	timerOf() *timer
	// fire is called once its time has come; it returns the next time, or the
	// zero time when it needs none or is gone.
	fire(s *Scheduler) time.Time
}

// timer is the place of a timed thing among the timers; each has at most one,
// so the memory is bounded by what is alive.
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

// run fires all that is due. What a fire puts off to an instant that has
// passed already is left for the next run, so that this one ends.
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
