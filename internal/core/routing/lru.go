package routing

// lru is a map of bounded size that evicts the least recently used key.
type lru[K comparable, V any] struct {
	index map[K]int32
	nodes []lruNode[K, V]
	// head is the most recently used node, tail the least recently used; both are
	// noNode while the map is empty.
	head, tail int32
	capacity   int
}

type lruNode[K comparable, V any] struct {
	key        K
	value      V
	prev, next int32
}

const noNode = int32(-1)

func newLRU[K comparable, V any](capacity int) *lru[K, V] {
	return &lru[K, V]{index: make(map[K]int32), head: noNode, tail: noNode, capacity: capacity}
}

// get returns the value of a key, or nil if there is none. It does not mark the key as
// used.
func (l *lru[K, V]) get(key K) *V {
	i, found := l.index[key]
	if !found {
		return nil
	}
	return &l.nodes[i].value
}

// touch marks a key as the most recently used and returns its value, which is zero if
// the key is new.
func (l *lru[K, V]) touch(key K) *V {
	i, found := l.index[key]
	if found {
		l.unlink(i)
	} else {
		i = l.allocate(key)
	}
	l.pushFront(i)
	return &l.nodes[i].value
}

// allocate returns a node for a new key: an unused one, or the least recently used one
// after evicting its key.
func (l *lru[K, V]) allocate(key K) int32 {
	var i int32
	if len(l.nodes) < l.capacity {
		i = int32(len(l.nodes))
		l.nodes = append(l.nodes, lruNode[K, V]{})
	} else {
		i = l.tail
		l.unlink(i)
		delete(l.index, l.nodes[i].key)
	}
	l.nodes[i] = lruNode[K, V]{key: key, prev: noNode, next: noNode}
	l.index[key] = i
	return i
}

func (l *lru[K, V]) unlink(i int32) {
	n := &l.nodes[i]
	if n.prev == noNode {
		l.head = n.next
	} else {
		l.nodes[n.prev].next = n.next
	}
	if n.next == noNode {
		l.tail = n.prev
	} else {
		l.nodes[n.next].prev = n.prev
	}
}

func (l *lru[K, V]) pushFront(i int32) {
	n := &l.nodes[i]
	n.prev = noNode
	n.next = l.head
	if l.head == noNode {
		l.tail = i
	} else {
		l.nodes[l.head].prev = i
	}
	l.head = i
}
