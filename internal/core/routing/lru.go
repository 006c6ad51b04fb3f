package routing

// lru is a map of bounded size that forgets what was used longest ago.
type lru[K comparable, V any] struct {
	index map[K]int32
	nodes []lruNode[K, V]
	// head is the newest node, tail the oldest; none while empty.
	head, tail int32
	most       int
}

type lruNode[K comparable, V any] struct {
	key        K
	value      V
	prev, next int32
}

const none = int32(-1)

func newLRU[K comparable, V any](most int) *lru[K, V] {
	return &lru[K, V]{index: make(map[K]int32), head: none, tail: none, most: most}
}

// get returns the value of a key, nil if it is not held, and does not touch it.
func (l *lru[K, V]) get(key K) *V {
	i, found := l.index[key]
	if !found {
		return nil
	}
	return &l.nodes[i].value
}

// touch returns the value of a key as the newest, a zero one if it is new.
func (l *lru[K, V]) touch(key K) *V {
	i, found := l.index[key]
	if found {
		l.unlink(i)
	} else {
		i = l.claim(key)
	}
	l.pushFront(i)
	return &l.nodes[i].value
}

// claim finds a node for a new key: a fresh one, or the oldest.
func (l *lru[K, V]) claim(key K) int32 {
	var i int32
	if len(l.nodes) < l.most {
		i = int32(len(l.nodes))
		l.nodes = append(l.nodes, lruNode[K, V]{})
	} else {
		i = l.tail
		l.unlink(i)
		delete(l.index, l.nodes[i].key)
	}
	l.nodes[i] = lruNode[K, V]{key: key, prev: none, next: none}
	l.index[key] = i
	return i
}

func (l *lru[K, V]) unlink(i int32) {
	n := &l.nodes[i]
	if n.prev == none {
		l.head = n.next
	} else {
		l.nodes[n.prev].next = n.next
	}
	if n.next == none {
		l.tail = n.prev
	} else {
		l.nodes[n.next].prev = n.prev
	}
}

func (l *lru[K, V]) pushFront(i int32) {
	n := &l.nodes[i]
	n.prev = none
	n.next = l.head
	if l.head == none {
		l.tail = i
	} else {
		l.nodes[l.head].prev = i
	}
	l.head = i
}
