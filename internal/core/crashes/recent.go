package crashes

// generationSize bounds each of the two generations of recent.
const generationSize = 1 << 15

// recent counts how often the keys that were added last have been added: it remembers at least
// generationSize of them, and at most twice as many.
type recent struct {
	current, previous map[uint64]uint32
}

func newRecent() *recent {
	return &recent{current: make(map[uint64]uint32)}
}

func (r *recent) add(key uint64) {
	count, found := r.current[key]
	if !found {
		count = r.previous[key]
	}
	r.current[key] = count + 1
	if len(r.current) >= generationSize {
		r.previous, r.current = r.current, make(map[uint64]uint32)
	}
}

func (r *recent) has(key uint64) bool { return r.count(key) > 0 }

// count returns how often a key has been added, or 0 if it isn't remembered.
func (r *recent) count(key uint64) uint32 {
	if count, found := r.current[key]; found {
		return count
	}
	return r.previous[key]
}
