package entry

import (
	"container/list"

	"sycamoretrail/internal/core/request"
)

// maxTiers is the largest number of tiers in a document; the document's check
// enforces it.
const maxTiers = 16

// evictionCandidates lists by tier the flights that can be evicted for a higher
// tier when the entry itself is full: those not dispatched, and repeatable
// runs.
type evictionCandidates struct {
	waiting [maxTiers]list.List
	running [maxTiers]list.List
}

// listPosition is a flight's position in one of the lists.
type listPosition struct {
	list    *list.List
	element *list.Element
}

func (s *evictionCandidates) remove(f *flight) {
	if f.evictionPosition.list != nil {
		f.evictionPosition.list.Remove(f.evictionPosition.element)
	}
	f.evictionPosition = listPosition{}
}

func (s *evictionCandidates) addWaiting(f *flight) {
	s.moveTo(f, &s.waiting[f.req.Tier])
}

func (s *evictionCandidates) addRunning(f *flight) {
	if !preemptible(&f.req) {
		s.remove(f)
		return
	}
	s.moveTo(f, &s.running[f.req.Tier])
}

func (s *evictionCandidates) moveTo(f *flight, to *list.List) {
	if f.evictionPosition.list == to {
		return
	}
	s.remove(f)
	f.evictionPosition = listPosition{list: to, element: to.PushBack(f)}
}

// lowestBelow returns the latest flight of the lowest tier below the given one,
// and prefers waiting to running flights of the same tier. It returns nil if
// there is none.
func (s *evictionCandidates) lowestBelow(above request.Tier) *flight {
	for t := maxTiers - 1; t > int(above); t-- {
		for _, l := range []*list.List{&s.waiting[t], &s.running[t]} {
			if last := l.Back(); last != nil {
				return last.Value.(*flight)
			}
		}
	}
	return nil
}

// preemptible reports whether a run may be cancelled in favor of a higher tier.
// A call that may not be repeated is never cancelled: its effect may be half
// done, and no one could resend it.
func preemptible(r *request.Request) bool {
	return r.Kind == request.Engine && r.Idempotent
}
