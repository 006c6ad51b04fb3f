package virtual

import "time"

// event is a function to run at a time. Events at the same time keep their order.
type event struct {
	// at is in Unix nanoseconds.
	at  int64
	seq uint64
	do  func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

// clock is a virtual clock with its event heap.
type clock struct {
	now  time.Time
	seq  uint64
	heap []event
}

// after schedules an event after a delay.
func (c *clock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

// at schedules an event at a time, or as the next one if the time has passed.
func (c *clock) at(t time.Time, do func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	c.push(event{at: t.UnixNano(), seq: c.seq, do: do})
}

// push and pop work like those of container/heap, without its interfaces, which
// cost an allocation for each event.
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

// every schedules a periodic event that repeats while do returns true.
func (c *clock) every(first, period time.Duration, do func() bool) {
	var again func()
	again = func() {
		if do() {
			c.after(period, again)
		}
	}
	c.after(first, again)
}

// run processes events until the end time or until done returns true.
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
