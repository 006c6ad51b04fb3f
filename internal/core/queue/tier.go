package queue

import (
	"sort"
	"time"

	"sycamoretrail/internal/core/heap"
)

// aheadSearchLimit bounds the search for items with less slack, so that the cost
// of an estimate does not depend on the length of an organisation's backlog.
const aheadSearchLimit = 64

// tier holds the waiting items of one tier. virtual is its virtual time: the
// start tag of the last item taken (start-time fair queueing).
type tier struct {
	virtual float64
	count   int
	orgs    map[string]*organisation
	lanes   [laneCount]heap.Heap[*organisation]
	// backlogEnds orders organisations by the end of their backlog, latest first.
	backlogEnds heap.Heap[*organisation]
	// idle holds organisations without waiting items that are ahead of the virtual
	// time. They are kept until the virtual time reaches theirs.
	idle heap.Heap[*organisation]
}

// organisation is one organisation's backlog within a tier.
type organisation struct {
	tier          *tier
	name          string
	weight        float64
	virtual       float64
	cost          int
	count         int
	lanes         [laneCount]heap.Heap[*Item]
	latest        heap.Heap[*Item]
	inLane        [laneCount]int
	inBacklogEnds int
	inIdle        int
}

func newTier() *tier {
	t := &tier{orgs: make(map[string]*organisation)}
	for lane := range t.lanes {
		t.lanes[lane] = heap.New(earlier, func(o *organisation, i int) { o.inLane[lane] = i })
	}
	t.backlogEnds = heap.New(endsLater, func(o *organisation, i int) { o.inBacklogEnds = i })
	t.idle = heap.New(earlier, func(o *organisation, i int) { o.inIdle = i })
	return t
}

func newOrganisation(t *tier, name string) *organisation {
	o := &organisation{tier: t, name: name, virtual: t.virtual, inBacklogEnds: -1, inIdle: -1}
	for lane := range o.lanes {
		o.lanes[lane] = heap.New(dueEarlier, setFirstIndex)
		o.inLane[lane] = -1
	}
	o.latest = heap.New(dueLater, setLastIndex)
	return o
}

func earlier(a, b *organisation) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.name < b.name
}

func endsLater(a, b *organisation) bool {
	endA, endB := a.end(), b.end()
	if endA != endB {
		return endA > endB
	}
	return a.name > b.name
}

func dueEarlier(a, b *Item) bool {
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.seq < b.seq
}

func dueLater(a, b *Item) bool { return dueEarlier(b, a) }

func setFirstIndex(it *Item, i int) { it.firstIndex = i }

func setLastIndex(it *Item, i int) { it.lastIndex = i }

// end returns the virtual time at which the organisation's backlog would be
// served completely.
func (o *organisation) end() float64 { return o.virtual + float64(o.cost)/o.weight }

func (t *tier) push(it *Item, weight float64) {
	o := t.orgs[it.Organisation]
	if o == nil {
		o = newOrganisation(t, it.Organisation)
		t.orgs[it.Organisation] = o
	}
	if o.inIdle >= 0 {
		t.idle.Remove(o.inIdle)
	}
	if o.count == 0 {
		o.virtual = max(o.virtual, t.virtual)
		o.weight = weight
	}
	it.org = o
	o.count++
	o.cost += it.Cost
	o.lanes[it.Lane].Push(it)
	o.latest.Push(it)
	t.count++
	t.reindex(o)
}

// reindex updates an organisation's positions in the heaps after a change of its
// virtual time or backlog.
func (t *tier) reindex(o *organisation) {
	for lane := range o.lanes {
		updateHeap(&t.lanes[lane], o, o.inLane[lane], o.lanes[lane].Len() > 0)
	}
	updateHeap(&t.backlogEnds, o, o.inBacklogEnds, o.count > 0)
}

func updateHeap(h *heap.Heap[*organisation], o *organisation, index int, in bool) {
	switch {
	case in && index >= 0:
		h.Fix(index)
	case in:
		h.Push(o)
	case index >= 0:
		h.Remove(index)
	}
}

// charge adds the cost of a taken item to its organisation's virtual time.
func (t *tier) charge(o *organisation, cost int) {
	t.virtual = max(t.virtual, o.virtual)
	o.virtual += float64(cost) / o.weight
}

func (t *tier) remove(it *Item) {
	o := it.org
	o.lanes[it.Lane].Remove(it.firstIndex)
	o.latest.Remove(it.lastIndex)
	o.count--
	o.cost -= it.Cost
	t.count--
	t.reindex(o)
	if o.count == 0 {
		t.idle.Push(o)
	}
	t.prune()
}

// prune deletes idle organisations that the virtual time has reached, and all of
// them when the tier's busy period ends, which bounds the memory.
func (t *tier) prune() {
	for t.idle.Len() > 0 {
		o := t.idle.Top()
		if t.count > 0 && o.virtual > t.virtual {
			return
		}
		t.idle.Remove(o.inIdle)
		delete(t.orgs, o.name)
	}
	if t.count == 0 {
		t.virtual = 0
	}
}

// head returns the next item that may start. blocked reports that there is an
// item, other than a suspect, that may not start.
func (t *tier) head(may func(*Item) bool) (found *Item, blocked bool) {
	for lane := range t.lanes {
		if t.lanes[lane].Len() == 0 {
			continue
		}
		it := t.lanes[lane].Top().lanes[lane].Top()
		if found != nil && !goesBefore(it, found) {
			continue
		}
		if may(it) {
			found = it
			continue
		}
		if Lane(lane) != Suspect {
			blocked = true
		}
	}
	return found, blocked
}

// goesBefore reports whether the first item of one lane precedes that of another.
func goesBefore(a, b *Item) bool {
	if a.org != b.org {
		return earlier(a.org, b.org)
	}
	return dueEarlier(a, b)
}

func (t *tier) ahead(name string, due time.Time) int {
	others := t.backlogEnds.Len()
	before := 0
	if o := t.orgs[name]; o != nil && o.count > 0 {
		others--
		before = o.before(due)
	}
	return min(t.count, before+(before+1)*others)
}

// before estimates the number of the organisation's items that are due no later
// than due.
func (o *organisation) before(due time.Time) int {
	n := 0
	holds := func(it *Item) bool { return !it.Due.After(due) }
	for lane := range o.lanes {
		n += o.lanes[lane].CountWhile(holds, aheadSearchLimit)
	}
	if n >= aheadSearchLimit {
		return o.count
	}
	return n
}

func (t *tier) list(items []*Item) []*Item {
	from := len(items)
	for _, o := range t.orgs {
		for lane := range o.lanes {
			items = o.lanes[lane].AppendTo(items)
		}
	}
	added := items[from:]
	sort.Slice(added, func(i, j int) bool { return added[i].seq > added[j].seq })
	return items
}
