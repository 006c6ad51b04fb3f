// Package queue orders the offers that wait for one target: by tier, within a
// tier by weighted fair sharing among organisations in virtual time, and within
// an organisation by slack (the latest start that still meets the deadline).
//
// Invariants:
//   - An item of a lower tier never leaves before one of a higher tier, except
//     that items may pass suspects held back by another suspect (see Head).
//   - An organisation is charged for an item when it is taken, never when it is
//     removed, so that withdrawn and displaced work costs nothing.
//   - An organisation that returns after an idle period starts at the tier's
//     virtual time: idle time earns no credit, and previous charges remain in
//     effect while the tier is busy.
package queue

import (
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/request"
)

// Lane is a class of items that may be held back without holding back the
// rest of their tier.
type Lane uint8

const (
	Short Lane = iota
	Long
	// Suspect items wait for another suspect to end, not for a slot.
	Suspect
	laneCount
)

// Item is one waiting offer. The exported fields must not change while queued.
type Item struct {
	ID           ident.RequestID
	Tier         request.Tier
	Organisation string
	Lane         Lane
	// Cost is the item's work, in tokens.
	Cost int
	// Prompt is the size of its prompt, in tokens.
	Prompt int
	// Due is the latest start that meets its deadlines.
	Due time.Time

	seq        uint64
	org        *organisation
	firstIndex int
	lastIndex  int
	waiting    bool
}

// Waiting reports whether the item is in a queue.
func (it *Item) Waiting() bool { return it.waiting }

// Queue holds the waiting items of one target. Push, Take, Remove, Head and
// Last cost O(log n).
type Queue struct {
	tiers  []*tier
	weight func(organisation string) float64
	count  int
	prompt int
	seq    uint64
}

// New returns an empty queue. weight returns an organisation's weight within its
// tier; a nil function or a weight that is not positive counts as 1.
func New(weight func(organisation string) float64) *Queue {
	return &Queue{weight: weight}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.count }

// PromptTokens returns the prompt tokens of all waiting items.
func (q *Queue) PromptTokens() int { return q.prompt }

// TierLen returns the number of waiting items of one tier.
func (q *Queue) TierLen(t request.Tier) int {
	if int(t) >= len(q.tiers) {
		return 0
	}
	return q.tiers[t].count
}

// Tiers returns the number of tiers that the queue has held items of, counted
// from the top.
func (q *Queue) Tiers() int { return len(q.tiers) }

// Push adds an item.
func (q *Queue) Push(it *Item) {
	for len(q.tiers) <= int(it.Tier) {
		q.tiers = append(q.tiers, newTier())
	}
	q.seq++
	it.seq = q.seq
	it.waiting = true
	q.count++
	q.prompt += it.Prompt
	q.tiers[it.Tier].push(it, q.weightOf(it.Organisation))
}

// Head returns the next item to start, or nil. may reports whether an item may
// start now; it is called for the first item of each lane.
//
// An item of the highest waiting tier that may not start holds back all lower
// tiers. If they could pass, a stream of short low-tier work could keep a long
// high-tier request from ever finding enough capacity. Suspects are the
// exception: a suspect waits only for the running suspect to end, so other items
// take nothing from it. If suspects held others back, a caller that repeats a
// crashing request could block the target.
func (q *Queue) Head(may func(*Item) bool) *Item {
	for _, t := range q.tiers {
		if t.count == 0 {
			continue
		}
		it, blocked := t.head(may)
		if it != nil || blocked {
			return it
		}
	}
	return nil
}

// Take removes an item that is being served and charges its organisation.
func (q *Queue) Take(it *Item) {
	it.org.tier.charge(it.org, it.Cost)
	q.Remove(it)
}

// Remove removes an item without charging its organisation. It does nothing if
// the item is not waiting.
func (q *Queue) Remove(it *Item) {
	if !it.waiting {
		return
	}
	it.waiting = false
	q.count--
	q.prompt -= it.Prompt
	it.org.tier.remove(it)
	it.org = nil
}

// Last returns the item of the lowest waiting tier that would be served last:
// the one with the most slack, of the organisation whose backlog ends latest.
// It is the item that a new one of a higher tier displaces.
func (q *Queue) Last() *Item {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if q.tiers[i].count > 0 {
			return q.tiers[i].backlogEnds.Top().latest.Top()
		}
	}
	return nil
}

// Below returns the waiting items of tiers lower than t: the lowest tier first,
// within a tier the latest arrival first.
func (q *Queue) Below(t request.Tier) []*Item {
	var items []*Item
	for i := len(q.tiers) - 1; i > int(t); i-- {
		items = q.tiers[i].list(items)
	}
	return items
}

// Items returns all waiting items, in the order of Below.
func (q *Queue) Items() []*Item {
	items := q.Below(0)
	if len(q.tiers) > 0 {
		items = q.tiers[0].list(items)
	}
	return items
}

// CountAbove returns the number of waiting items of tiers higher than t.
func (q *Queue) CountAbove(t request.Tier) int {
	n := 0
	for i := 0; i < len(q.tiers) && i < int(t); i++ {
		n += q.tiers[i].count
	}
	return n
}

// Ahead estimates how many waiting items would be served before a new one: all
// items of higher tiers, those of its own organisation with less slack, and as
// many of each other organisation of its tier as fair sharing serves first.
func (q *Queue) Ahead(t request.Tier, organisation string, due time.Time) int {
	n := q.CountAbove(t)
	if int(t) < len(q.tiers) {
		n += q.tiers[t].ahead(organisation, due)
	}
	return n
}

func (q *Queue) weightOf(organisation string) float64 {
	if q.weight == nil {
		return 1
	}
	w := q.weight(organisation)
	if w <= 0 {
		return 1
	}
	return w
}
