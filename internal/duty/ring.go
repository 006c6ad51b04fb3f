// Package duty runs the goroutines of an entry, joined by bounded rings.
package duty

// Ring is a bounded queue in order of arrival between duties. A part of it is
// reserved for items that must not be lost: TryPush is turned down while Push
// still finds room. Both kinds share one order, so that a CallerGone never
// overtakes the Submit that it belongs to, which two lanes would allow.
type Ring[T any] struct {
	items   chan T
	open    int
	stopped <-chan struct{}
}

// NewRing makes a ring of a size of which reserved places are kept for Push.
// A stopped ring takes nothing more and never blocks.
func NewRing[T any](size, reserved int, stopped <-chan struct{}) *Ring[T] {
	return &Ring[T]{items: make(chan T, size), open: size - reserved, stopped: stopped}
}

// TryPush adds an item and never waits; false: the ring is full or stopped, and
// the caller must refuse or drop the item. Producers that race may take a few
// of the reserved places, one each at most.
func (r *Ring[T]) TryPush(item T) bool {
	if len(r.items) >= r.open {
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

// Push adds an item that must not be lost and waits for room. False: the ring
// is stopped. The consumer's own goroutine must never call it.
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

// Len is the number of items that wait.
func (r *Ring[T]) Len() int { return len(r.items) }

// Items is what the consumer receives from.
func (r *Ring[T]) Items() <-chan T { return r.items }
