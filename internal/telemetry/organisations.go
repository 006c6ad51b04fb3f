package telemetry

import (
	"sort"
	"sync"
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
	counts map[string]int64
	seen   int
}

func newOrganisations(bound int) *organisations {
	return &organisations{bound: bound, own: make(map[string]bool), counts: make(map[string]int64)}
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

func (o *organisations) count(name string) {
	if _, known := o.counts[name]; known || len(o.counts) < sketchSize {
		o.counts[name]++
		return
	}
	smallest := o.smallest()
	o.counts[name] = o.counts[smallest] + 1
	delete(o.counts, smallest)
}

func (o *organisations) smallest() string {
	found, least := "", int64(-1)
	for name, count := range o.counts {
		if least < 0 || count < least || count == least && name < found {
			found, least = name, count
		}
	}
	return found
}

// admit gives series to organisations above a fair part of the traffic so far,
// the largest first.
func (o *organisations) admit() {
	threshold := int64(o.seen / (2 * o.bound))
	names := make([]string, 0, len(o.counts))
	for name, count := range o.counts {
		if count > threshold && !o.own[name] {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := o.counts[names[i]], o.counts[names[j]]
		return a > b || a == b && names[i] < names[j]
	})
	for _, name := range names {
		if len(o.own) >= o.bound {
			return
		}
		o.own[name] = true
	}
}
