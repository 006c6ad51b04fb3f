// Package heap is a binary heap whose items know their place in it, so that any
// item can be removed or moved in O(log n) without a search.
package heap

// Heap orders items of type T. The zero value is not usable; see New.
type Heap[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(item T, index int)
}

// New returns an empty heap. less must be a strict order without ties, so that
// equal histories give equal heaps. place is told each item's index whenever it
// changes, and -1 when the item leaves.
func New[T any](less func(a, b T) bool, place func(item T, index int)) Heap[T] {
	return Heap[T]{less: less, place: place}
}

// Len is the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Top returns the least item; the heap must not be empty.
func (h *Heap[T]) Top() T { return h.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.place(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// Remove takes out the item at an index.
func (h *Heap[T]) Remove(index int) {
	last := len(h.items) - 1
	item := h.items[index]
	if index != last {
		h.swap(index, last)
	}
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.place(item, -1)
	if index != last {
		h.Fix(index)
	}
}

// Fix restores the order after the item at an index has changed its rank.
func (h *Heap[T]) Fix(index int) {
	if !h.down(index) {
		h.up(index)
	}
}

// CountWhile counts items for which holds is true, up to most. holds must be
// true of no item unless it is true of all lesser ones; the cost is O(most).
func (h *Heap[T]) CountWhile(holds func(T) bool, most int) int {
	return h.countFrom(0, holds, most)
}

func (h *Heap[T]) countFrom(index int, holds func(T) bool, most int) int {
	if most <= 0 || index >= len(h.items) || !holds(h.items[index]) {
		return 0
	}
	n := 1
	n += h.countFrom(2*index+1, holds, most-n)
	n += h.countFrom(2*index+2, holds, most-n)
	return n
}

func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.place(h.items[i], i)
	h.place(h.items[j], j)
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

// AppendTo appends all items to a slice, in no useful order.
func (h *Heap[T]) AppendTo(items []T) []T { return append(items, h.items...) }
