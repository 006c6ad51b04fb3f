// Package bounded holds maps that forget what was put first, for memory of things that end
// and may come again.
package bounded

// Map holds at most a number of values by key. It is not safe for concurrent use.
type Map[V any] struct {
	most   int
	values map[string]V
	// order is that in which keys were put.
	order []string
}

// New makes an empty map for at most so many values.
func New[V any](most int) *Map[V] {
	return &Map[V]{most: most, values: make(map[string]V)}
}

// Get returns the value of a key; the zero value where there is none.
func (m *Map[V]) Get(key string) V { return m.values[key] }

// Has reports whether there is a value of the key.
func (m *Map[V]) Has(key string) bool {
	_, found := m.values[key]
	return found
}

// Put sets the value of a key. One that is there keeps its place in the order.
func (m *Map[V]) Put(key string, value V) {
	if !m.Has(key) {
		m.order = append(m.order, key)
	}
	m.values[key] = value
	if len(m.order) > m.most {
		delete(m.values, m.order[0])
		m.order = m.order[1:]
	}
}
