package crashes

// generationSize bounds each of the two generations of recent.
const generationSize = 1 << 15

// recent remembers the keys that were added last: at least generationSize of them, and at most
// twice as many.
type recent struct {
	current, previous map[uint64]struct{}
}

func newRecent() *recent {
	return &recent{current: make(map[uint64]struct{})}
}

func (r *recent) add(key uint64) {
	r.current[key] = struct{}{}
	if len(r.current) >= generationSize {
		r.previous, r.current = r.current, make(map[uint64]struct{})
	}
}

func (r *recent) has(key uint64) bool {
	if _, found := r.current[key]; found {
		return true
	}
	_, found := r.previous[key]
	return found
}
