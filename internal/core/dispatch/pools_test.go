package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
)

// Requests wait for an old version's targets when all traffic is moved to a new one. They
// are moved as well and served there; otherwise they would wait for slots that are never
// freed.
func TestWaitingRequestsAreRedirected(t *testing.T) {
	w := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	s := New(Config{Name: "e", Zone: "a"})
	s.SetTargets(now, []catalog.Target{{ID: "old", Service: "desk", Slots: 1}, {ID: "new", Service: "desk@2", Slots: 1}})
	ask := func() Request { return Request{Service: "desk", Arrived: now, Expires: now.Add(time.Second)} }
	running, _ := s.Submit(now, ask())
	waiting, effects := s.Submit(now, ask())
	w.Expect(effects.Grants).To(BeEmpty())
	w.Expect(s.Outstanding("desk")).To(Equal(2))
	w.Expect(s.HasFreeSlot(now, "desk")).To(BeFalse())
	w.Expect(s.HasFreeSlot(now, "desk@2")).To(BeTrue())

	effects = s.Redirect(now, "desk", "desk@2")
	w.Expect(effects.Grants).To(HaveLen(1))
	w.Expect(effects.Grants[0].Ticket).To(BeIdenticalTo(waiting))
	w.Expect(effects.Grants[0].Target.ID).To(Equal("new"))
	w.Expect(s.Outstanding("desk")).To(Equal(1))
	s.Done(now, running, Report{Outcome: Answered})
	w.Expect(s.Outstanding("desk")).To(Equal(0))
}

// A target is moved to another pool while it runs a request. The slot is released, and
// only the new pool sends requests there.
func TestTargetMovesBetweenPools(t *testing.T) {
	w := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	s := New(Config{Name: "e", Zone: "a"})
	s.SetTargets(now, []catalog.Target{{ID: "i", Service: "desk", Slots: 1}})
	running, _ := s.Submit(now, Request{Service: "desk", Arrived: now, Expires: now.Add(time.Second)})
	s.SetTargets(now, []catalog.Target{{ID: "i", Service: "desk@2", Slots: 1}})
	w.Expect(s.HasFreeSlot(now, "desk@2")).To(BeFalse())
	s.Done(now, running, Report{Outcome: Answered})
	w.Expect(s.HasFreeSlot(now, "desk@2")).To(BeTrue())
	_, effects := s.Submit(now, Request{Service: "desk", Arrived: now, Expires: now.Add(time.Second)})
	w.Expect(effects.Refusals).To(HaveLen(1))
}
