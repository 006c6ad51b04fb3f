// Package bounded provides maps that evict the oldest key, for state of things that end
// and may return.
package bounded

// Map holds a bounded number of values by key. It is not safe for concurrent use.
type Map[V any] struct {
	capacity int
	values   map[string]V
	// order lists the keys in order of insertion.
	order []string
}

// New returns an empty map with a capacity.
func New[V any](capacity int) *Map[V] {
	return &Map[V]{capacity: capacity, values: make(map[string]V)}
}

// Grow raises the capacity; a lower one is ignored.
func (m *Map[V]) Grow(capacity int) { m.capacity = max(m.capacity, capacity) }

// Get returns the value of a key, or the zero value if the key is absent.
func (m *Map[V]) Get(key string) V { return m.values[key] }

// Has reports whether the key is present.
func (m *Map[V]) Has(key string) bool {
	_, found := m.values[key]
	return found
}

// Put sets the value of a key. A key that is present keeps its position in the order.
func (m *Map[V]) Put(key string, value V) {
	if !m.Has(key) {
		m.order = append(m.order, key)
	}
	m.values[key] = value
	if len(m.order) > m.capacity {
		delete(m.values, m.order[0])
		m.order = m.order[1:]
	}
}
