package targets

import (
	"sync"
	"time"

	"sycamoretrail/internal/core/entry"
)

const (
	// maxProgress bounds the waiting inputs beyond which progress is dropped;
	// the inputs that must arrive are bounded by the runs themselves.
	maxProgress = 1 << 14
	// outboxPause is the wait before a full ring is tried again.
	outboxPause = time.Millisecond
)

// outbox hands inputs to the core in the order in which they were put. Putting
// never blocks, since the core's own loop puts some of them: were it to wait
// for room in the ring that it empties itself, it would wait for ever.
type outbox struct {
	core Core
	mu   sync.Mutex
	some *sync.Cond
	in   []entry.Input
	stop bool
	done chan struct{}
}

func newOutbox(core Core) *outbox {
	o := &outbox{core: core, done: make(chan struct{})}
	o.some = sync.NewCond(&o.mu)
	go o.deliver()
	return o
}

func (o *outbox) put(in entry.Input) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, progress := in.(entry.RunProgress); progress && len(o.in) >= maxProgress {
		return
	}
	o.in = append(o.in, in)
	o.some.Signal()
}

func (o *outbox) deliver() {
	defer close(o.done)
	var batch []entry.Input
	for {
		batch = o.take(batch[:0])
		if batch == nil {
			return
		}
		for i, in := range batch {
			o.submit(in)
			batch[i] = nil
		}
	}
}

// take waits for inputs and swaps them out; nil once the outbox is closed and empty.
func (o *outbox) take(empty []entry.Input) []entry.Input {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.in) == 0 && !o.stop {
		o.some.Wait()
	}
	if len(o.in) == 0 {
		return nil
	}
	batch := o.in
	o.in = empty
	return batch
}

// submit hands one input over, waiting while the ring is full.
func (o *outbox) submit(in entry.Input) {
	for !o.core.Submit(in) {
		if o.closed() {
			return
		}
		time.Sleep(outboxPause)
	}
}

func (o *outbox) closed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stop
}

func (o *outbox) close() {
	o.mu.Lock()
	o.stop = true
	o.some.Signal()
	o.mu.Unlock()
	<-o.done
}
