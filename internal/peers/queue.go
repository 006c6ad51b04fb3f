package peers

import (
	"sync"

	"sycamoretrail/internal/core/message"
)

// QueueSize bounds the messages that wait for one peer.
const QueueSize = 4096

// queue holds what waits for one link. When it is full the oldest heartbeats and
// offers go, since they are sent again; if there are too few of them the link is
// given up, because a grant or a reply that vanished from a link that stands
// would be waited for in vain, while a broken link is something that both ends
// recover from.
type queue struct {
	size    int
	dropped func(Kind, int)
	// wake tells the writer that something waits.
	wake chan struct{}

	mutex   sync.Mutex
	waiting []message.Message
}

func newQueue(size int, dropped func(Kind, int)) *queue {
	return &queue{size: size, dropped: dropped, wake: make(chan struct{}, 1)}
}

// push adds a message; false: the queue is full of messages that may not be dropped.
func (q *queue) push(m message.Message) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.waiting) >= q.size && !q.makeRoom() {
		return false
	}
	q.waiting = append(q.waiting, m)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// makeRoom drops the oldest droppable messages, up to a quarter of the queue, so
// that a run of pushes on a full queue does not search it each time.
func (q *queue) makeRoom() bool {
	goal := max(q.size/4, 1)
	var gone counts
	kept := q.waiting[:0]
	total := 0
	for _, m := range q.waiting {
		kind := kindOf(m)
		if total < goal && kind.droppable() {
			gone[kind].messages++
			total++
			continue
		}
		kept = append(kept, m)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	for kind, count := range gone {
		if count.messages > 0 {
			q.dropped(Kind(kind), count.messages)
		}
	}
	return total > 0
}

// take removes the next batch, oldest first: up to MaxBatch messages, and not
// many after a large document.
func (q *queue) take() []message.Message {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	n := 0
	for size := 0; n < len(q.waiting) && n < MaxBatch && size < batchBytes; n++ {
		size += roughSize(q.waiting[n])
	}
	if n == 0 {
		return nil
	}
	batch := make([]message.Message, n)
	copy(batch, q.waiting)
	rest := copy(q.waiting, q.waiting[n:])
	clear(q.waiting[rest:])
	q.waiting = q.waiting[:rest]
	return batch
}

const (
	// batchBytes ends a batch; with one document beyond it a frame stays well
	// below maxFrame.
	batchBytes = 512 << 10
	roughOne   = 256
)

// roughSize estimates a message's bytes where they can be many.
func roughSize(m message.Message) int {
	switch m := m.(type) {
	case message.DocumentReply:
		return roughOne + len(m.Data)
	case message.Heartbeat:
		return roughOne + len(m.Digests)*roughOne
	case message.Running:
		return roughOne + len(m.Runs)*2*roughOne
	}
	return roughOne
}
