// Package coreloop runs the core loop of an entry and connects it to the entry's other
// goroutines through a bounded ring.
package coreloop

// Ring is a bounded FIFO queue between goroutines. A part of it is reserved for items
// that must not be lost: TryPush fails while Push still has capacity. Both kinds of
// items share one queue, so that a CallerLeft never overtakes the Submit that it belongs
// to, which could happen with two queues.
type Ring[T any] struct {
	items      chan T
	unreserved int
	stopped    <-chan struct{}
}

// NewRing returns a ring for size items, with reserved places that only Push may use.
// A stopped ring accepts no more items and never blocks.
func NewRing[T any](size, reserved int, stopped <-chan struct{}) *Ring[T] {
	return &Ring[T]{items: make(chan T, size), unreserved: size - reserved, stopped: stopped}
}

// TryPush adds an item and never blocks. It returns false if the ring is full or stopped;
// the caller must then refuse or drop the item. Concurrent producers may use some of the
// reserved places, at most one each.
func (r *Ring[T]) TryPush(item T) bool {
	if len(r.items) >= r.unreserved {
		return false
	}
	select {
	case <-r.stopped:
		return false
	default:
	}
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Push adds an item that must not be lost and waits for capacity. It returns false if the
// ring is stopped. The consumer's goroutine must never call it.
func (r *Ring[T]) Push(item T) bool {
	select {
	case <-r.stopped:
		return false
	default:
	}
	select {
	case r.items <- item:
		return true
	case <-r.stopped:
		return false
	}
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Items returns the channel from which the consumer receives.
func (r *Ring[T]) Items() <-chan T { return r.items }
