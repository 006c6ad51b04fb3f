package peers

import (
	"sync"

	"sycamoretrail/internal/core/message"
)

// QueueSize is the default bound on the messages queued for one peer.
const QueueSize = 4096

// queue holds the messages to be sent on one link. When it is full, the oldest
// heartbeats and offers are dropped, since they are sent again. If it holds none, the
// link is closed: the peer would wait in vain for a grant or a reply lost from a
// working link, whereas both ends recover from a broken link.
type queue struct {
	size    int
	dropped func(Kind, int)
	// wake signals the writer that messages are queued.
	wake chan struct{}

	mutex   sync.Mutex
	waiting []message.Message
}

func newQueue(size int, dropped func(Kind, int)) *queue {
	return &queue{size: size, dropped: dropped, wake: make(chan struct{}, 1)}
}

// push adds a message. It returns false if the queue is full of messages that must not
// be dropped.
func (q *queue) push(m message.Message) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.waiting) >= q.size && !q.dropOldest() {
		return false
	}
	q.waiting = append(q.waiting, m)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// dropOldest drops the oldest droppable messages, up to a quarter of the queue, so
// that a series of pushes on a full queue does not search it each time.
func (q *queue) dropOldest() bool {
	goal := max(q.size/4, 1)
	var dropped counts
	kept := q.waiting[:0]
	total := 0
	for _, m := range q.waiting {
		kind := kindOf(m)
		if total < goal && kind.droppable() {
			dropped[kind].messages++
			total++
			continue
		}
		kept = append(kept, m)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	for kind, count := range dropped {
		if count.messages > 0 {
			q.dropped(Kind(kind), count.messages)
		}
	}
	return total > 0
}

// nextBatch removes and returns the next batch, oldest first. A batch has up to MaxBatch
// messages and ends after batchBytes.
func (q *queue) nextBatch() []message.Message {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	n := 0
	for size := 0; n < len(q.waiting) && n < MaxBatch && size < batchBytes; n++ {
		size += estimateSize(q.waiting[n])
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
	// batchBytes is the estimated size at which a batch ends. Even if a document exceeds
	// it, a frame stays well below maxFrame.
	batchBytes = 512 << 10
	baseSize   = 256
)

// estimateSize estimates the size of a message in bytes.
func estimateSize(m message.Message) int {
	switch m := m.(type) {
	case message.DocumentReply:
		return baseSize + len(m.Data)
	case message.Heartbeat:
		return baseSize + len(m.Digests)*baseSize
	case message.Running:
		return baseSize + len(m.Runs)*2*baseSize
	}
	return baseSize
}
