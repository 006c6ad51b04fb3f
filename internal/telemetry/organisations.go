package telemetry

import (
	"sort"
	"sync"

	"sycamoretrail/internal/core/heap"
)

const (
	// MaxOrganisationSeries bounds the organisations with series of their own.
	MaxOrganisationSeries = 32
	// sketchSize bounds the organisations whose traffic is counted to find the
	// largest; an organisation above 1/sketchSize of the traffic is always among them.
	sketchSize = 512
	// admitEvery is how many requests pass between two choices of new series.
	admitEvery = 1000
	// Other is the series of all organisations without their own.
	Other = "other"
)

// organisations chooses which organisations get series of their own: the largest
// by traffic, found with the space-saving sketch (Metwally et al. 2005). A series
// once made stays, since the reporter cannot take one back; so a process makes
// at most the bound, and an organisation that grows later than that stays in Other.
type organisations struct {
	bound int

	mutex  sync.Mutex
	own    map[string]bool
	counts map[string]*tallied
	least  heap.Heap[*tallied]
	seen   int
}

// tallied is the count of one organisation in the sketch.
type tallied struct {
	name  string
	count int64
	place int
}

func newOrganisations(bound int) *organisations {
	less := func(a, b *tallied) bool { return a.count < b.count || a.count == b.count && a.name < b.name }
	place := func(t *tallied, index int) { t.place = index }
	return &organisations{
		bound: bound, own: make(map[string]bool), counts: make(map[string]*tallied), least: heap.New(less, place),
	}
}

// label counts a request and names its series.
func (o *organisations) label(name string) string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.own) < o.bound {
		o.count(name)
		o.seen++
		if o.seen%admitEvery == 0 {
			o.admit()
		}
	}
	if o.own[name] {
		return name
	}
	return Other
}

// count adds to an organisation; one that is not in the full sketch takes over
// the place and the count of the smallest.
func (o *organisations) count(name string) {
	known := o.counts[name]
	switch {
	case known != nil:
	case len(o.counts) < sketchSize:
		known = &tallied{name: name}
		o.counts[name] = known
		o.least.Push(known)
	default:
		known = o.least.Top()
		delete(o.counts, known.name)
		known.name = name
		o.counts[name] = known
	}
	known.count++
	o.least.Fix(known.place)
}

// admit gives series to organisations above a fair part of the traffic so far,
// the largest first.
func (o *organisations) admit() {
	threshold := int64(o.seen / (2 * o.bound))
	names := make([]string, 0, len(o.counts))
	for name, known := range o.counts {
		if known.count > threshold && !o.own[name] {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := o.counts[names[i]].count, o.counts[names[j]].count
		return a > b || a == b && names[i] < names[j]
	})
	for _, name := range names {
		if len(o.own) >= o.bound {
			return
		}
		o.own[name] = true
	}
}
