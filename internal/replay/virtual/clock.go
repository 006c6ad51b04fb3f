package virtual

import (
	"container/heap"
	"time"
)

// event is something that happens at an instant; equal instants keep their order.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return popped
}

// clock is the event heap.
type clock struct {
	now  time.Time
	seq  uint64
	heap events
}

// after plans an event.
func (c *clock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

// at plans an event; one in the past happens next.
func (c *clock) at(t time.Time, do func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	heap.Push(&c.heap, event{at: t, seq: c.seq, do: do})
}

// every plans an event again and again, for as long as it says so.
func (c *clock) every(first, period time.Duration, do func() bool) {
	var again func()
	again = func() {
		if do() {
			c.after(period, again)
		}
	}
	c.after(first, again)
}

// run makes events happen until the end, or until done says so.
func (c *clock) run(end time.Time, done func() bool) {
	for len(c.heap) > 0 && !done() {
		next := heap.Pop(&c.heap).(event)
		if next.at.After(end) {
			return
		}
		c.now = next.at
		next.do()
	}
}
