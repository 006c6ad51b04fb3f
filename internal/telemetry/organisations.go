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
	// largest; an organisation above 1/sketchSize of the traffic is always counted.
	sketchSize = 512
	// admitInterval is the number of requests between two admissions of new series.
	admitInterval = 1000
	// Other is the label of all organisations without series of their own.
	Other = "other"
)

// organisations chooses which organisations get series of their own: the largest
// by traffic, found with the space-saving sketch (Metwally et al. 2005). The reporter
// cannot remove a series, so a process admits at most bound organisations; one that
// grows after that stays in Other.
type organisations struct {
	bound int

	mutex    sync.Mutex
	admitted map[string]bool
	counts   map[string]*organisationCount
	smallest heap.Heap[*organisationCount]
	seen     int
}

// organisationCount counts the requests of one organisation in the sketch.
type organisationCount struct {
	name      string
	count     int64
	heapIndex int
}

func newOrganisations(bound int) *organisations {
	less := func(a, b *organisationCount) bool { return a.count < b.count || a.count == b.count && a.name < b.name }
	setIndex := func(t *organisationCount, index int) { t.heapIndex = index }
	return &organisations{
		bound: bound, admitted: make(map[string]bool), counts: make(map[string]*organisationCount), smallest: heap.New(less, setIndex),
	}
}

// label counts a request and returns the label of its series.
func (o *organisations) label(name string) string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.admitted) < o.bound {
		o.count(name)
		o.seen++
		if o.seen%admitInterval == 0 {
			o.admit()
		}
	}
	if o.admitted[name] {
		return name
	}
	return Other
}

// count counts a request of an organisation. If the sketch is full, a new organisation
// replaces the smallest one and inherits its count.
func (o *organisations) count(name string) {
	known := o.counts[name]
	switch {
	case known != nil:
	case len(o.counts) < sketchSize:
		known = &organisationCount{name: name}
		o.counts[name] = known
		o.smallest.Push(known)
	default:
		known = o.smallest.Top()
		delete(o.counts, known.name)
		known.name = name
		o.counts[name] = known
	}
	known.count++
	o.smallest.Fix(known.heapIndex)
}

// admit gives series to organisations with more than 1/(2*bound) of the traffic so
// far, the largest first.
func (o *organisations) admit() {
	threshold := int64(o.seen / (2 * o.bound))
	names := make([]string, 0, len(o.counts))
	for name, known := range o.counts {
		if known.count > threshold && !o.admitted[name] {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := o.counts[names[i]].count, o.counts[names[j]].count
		return a > b || a == b && names[i] < names[j]
	})
	for _, name := range names {
		if len(o.admitted) >= o.bound {
			return
		}
		o.admitted[name] = true
	}
}
