package targets

import (
	"sync"
	"time"

	"sycamoretrail/internal/core/entry"
)

const (
	// maxPendingForProgress is the number of queued inputs beyond which progress reports are
	// dropped. The other inputs, which must arrive, are bounded by the number of runs.
	maxPendingForProgress = 1 << 14
	// submitRetryInterval is the wait before an input is submitted again to a full ring.
	submitRetryInterval = time.Millisecond
)

// outbox submits inputs to the core in the order in which they were put. put never
// blocks, since the core's loop itself puts some of them: it would deadlock if it waited
// for capacity in the ring that only it empties.
type outbox struct {
	core     Core
	mu       sync.Mutex
	nonEmpty *sync.Cond
	pending  []entry.Input
	stopped  bool
	done     chan struct{}
}

func newOutbox(core Core) *outbox {
	o := &outbox{core: core, done: make(chan struct{})}
	o.nonEmpty = sync.NewCond(&o.mu)
	go o.deliver()
	return o
}

func (o *outbox) put(in entry.Input) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, progress := in.(entry.RunProgress); progress && len(o.pending) >= maxPendingForProgress {
		return
	}
	o.pending = append(o.pending, in)
	o.nonEmpty.Signal()
}

func (o *outbox) deliver() {
	defer close(o.done)
	var batch []entry.Input
	for {
		batch = o.takeAll(batch[:0])
		if batch == nil {
			return
		}
		for i, in := range batch {
			o.submit(in)
			batch[i] = nil
		}
	}
}

// takeAll waits for inputs and returns all of them, using empty for the next ones. It returns
// nil once the outbox is closed and empty.
func (o *outbox) takeAll(empty []entry.Input) []entry.Input {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.pending) == 0 && !o.stopped {
		o.nonEmpty.Wait()
	}
	if len(o.pending) == 0 {
		return nil
	}
	batch := o.pending
	o.pending = empty
	return batch
}

// submit submits one input to the core, and retries while the ring is full.
func (o *outbox) submit(in entry.Input) {
	for !o.core.Submit(in) {
		if o.closed() {
			return
		}
		time.Sleep(submitRetryInterval)
	}
}

func (o *outbox) closed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopped
}

func (o *outbox) close() {
	o.mu.Lock()
	o.stopped = true
	o.nonEmpty.Signal()
	o.mu.Unlock()
	<-o.done
}
