package entry

import (
	"container/list"

	"sycamoretrail/internal/core/request"
)

// maxTiers bounds the tiers of a document; the document's check enforces it.
const maxTiers = 16

// seats lists by tier the flights that may make way for a higher tier when the
// entry itself is full: first those not dispatched, then repeatable runs.
type seats struct {
	waiting [maxTiers]list.List
	running [maxTiers]list.List
}

// seat is a flight's place in one of the lists.
type seat struct {
	list    *list.List
	element *list.Element
}

func (s *seats) leave(f *flight) {
	if f.seat.list != nil {
		f.seat.list.Remove(f.seat.element)
	}
	f.seat = seat{}
}

func (s *seats) wait(f *flight) {
	s.take(f, &s.waiting[f.req.Tier])
}

func (s *seats) run(f *flight) {
	if !preemptible(&f.req) {
		s.leave(f)
		return
	}
	s.take(f, &s.running[f.req.Tier])
}

func (s *seats) take(f *flight, to *list.List) {
	if f.seat.list == to {
		return
	}
	s.leave(f)
	f.seat = seat{list: to, element: to.PushBack(f)}
}

// yielding finds the latest flight of the lowest tier below the given one, a
// waiting one before a running one of the same tier.
func (s *seats) yielding(above request.Tier) *flight {
	for t := maxTiers - 1; t > int(above); t-- {
		for _, l := range []*list.List{&s.waiting[t], &s.running[t]} {
			if last := l.Back(); last != nil {
				return last.Value.(*flight)
			}
		}
	}
	return nil
}

// preemptible reports whether a run may be cancelled for a higher tier's sake.
// A call that may not be repeated is never cut: its effect may be half done and
// nobody could send it again.
func preemptible(r *request.Request) bool {
	return r.Kind == request.Engine && r.Idempotent
}
