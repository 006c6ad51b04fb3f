package virtual

import "time"

// event is something that happens at an instant; equal instants keep their order.
type event struct {
	// at is in nanoseconds of the epoch's clock.
	at  int64
	seq uint64
	do  func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

// clock is the event heap.
type clock struct {
	now  time.Time
	seq  uint64
	heap []event
}

// after plans an event.
func (c *clock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

// at plans an event; one in the past happens next.
func (c *clock) at(t time.Time, do func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	c.push(event{at: t.UnixNano(), seq: c.seq, do: do})
}

// push and pop are container/heap's without its interfaces, which cost an
// allocation for each event.
func (c *clock) push(e event) {
	c.heap = append(c.heap, e)
	place := len(c.heap) - 1
	for place > 0 {
		parent := (place - 1) / 2
		if !e.before(&c.heap[parent]) {
			break
		}
		c.heap[place] = c.heap[parent]
		place = parent
	}
	c.heap[place] = e
}

func (c *clock) pop() event {
	first, last := c.heap[0], len(c.heap)-1
	moved := c.heap[last]
	c.heap[last] = event{}
	c.heap = c.heap[:last]
	if last == 0 {
		return first
	}
	place := 0
	for {
		child := 2*place + 1
		if child >= last {
			break
		}
		if child+1 < last && c.heap[child+1].before(&c.heap[child]) {
			child++
		}
		if !c.heap[child].before(&moved) {
			break
		}
		c.heap[place] = c.heap[child]
		place = child
	}
	c.heap[place] = moved
	return first
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
		next := c.pop()
		if next.at > end.UnixNano() {
			return
		}
		c.now = epoch.Add(time.Duration(next.at - epoch.UnixNano()))
		next.do()
	}
}
