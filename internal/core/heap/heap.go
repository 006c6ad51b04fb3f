// Package heap implements a binary heap that reports the index of each item, so that any
// item can be removed or moved in O(log n) without a search.
package heap

// Heap orders items of type T. The zero value is not usable; see New.
type Heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(item T, index int)
}

// New returns an empty heap. less must be a strict order without ties, so that
// equal histories give equal heaps. setIndex is called with an item's index whenever
// it changes, and with -1 when the item is removed.
func New[T any](less func(a, b T) bool, setIndex func(item T, index int)) Heap[T] {
	return Heap[T]{less: less, setIndex: setIndex}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Top returns the least item; the heap must not be empty.
func (h *Heap[T]) Top() T { return h.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.setIndex(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// Remove removes the item at an index.
func (h *Heap[T]) Remove(index int) {
	last := len(h.items) - 1
	item := h.items[index]
	if index != last {
		h.swap(index, last)
	}
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(item, -1)
	if index != last {
		h.Fix(index)
	}
}

// Fix restores the order after the order of the item at an index has changed.
func (h *Heap[T]) Fix(index int) {
	if !h.down(index) {
		h.up(index)
	}
}

// CountWhile counts items for which holds is true, up to limit. holds must be
// true of no item unless it is true of all lesser ones; the cost is O(limit).
func (h *Heap[T]) CountWhile(holds func(T) bool, limit int) int {
	return h.countFrom(0, holds, limit)
}

func (h *Heap[T]) countFrom(index int, holds func(T) bool, limit int) int {
	if limit <= 0 || index >= len(h.items) || !holds(h.items[index]) {
		return 0
	}
	n := 1
	n += h.countFrom(2*index+1, holds, limit-n)
	n += h.countFrom(2*index+2, holds, limit-n)
	return n
}

func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

func (h *Heap[T]) up(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !h.less(h.items[index], h.items[parent]) {
			return
		}
		h.swap(index, parent)
		index = parent
	}
}

func (h *Heap[T]) down(index int) bool {
	start := index
	for {
		least := 2*index + 1
		if least >= len(h.items) {
			break
		}
		if right := least + 1; right < len(h.items) && h.less(h.items[right], h.items[least]) {
			least = right
		}
		if !h.less(h.items[least], h.items[index]) {
			break
		}
		h.swap(index, least)
		index = least
	}
	return index > start
}

// AppendTo appends all items to a slice, in unspecified order.
func (h *Heap[T]) AppendTo(items []T) []T { return append(items, h.items...) }
