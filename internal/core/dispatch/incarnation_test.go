package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
)

// A target breaks off a request and is ejected. Its process ends and starts again under
// the same id, with free slots: the failures of the previous process, its requests in
// flight and the load that other entries reported for it no longer count, and a request
// that was tried there may be tried at the new process.
func TestRestartedTargetStartsWithoutHistory(t *testing.T) {
	g := NewWithT(t)
	previous := catalog.Target{ID: "t-00", StartedMS: 1000, Service: service, Address: "10.0.0.1:80", Zone: "a", Slots: 2}
	s := newScheduler([]catalog.Target{previous})
	s.SetPeerLoad(start, "other", dispatch.Load{InFlight: map[string]int{previous.Incarnation(): 1}})
	first, effects := s.Submit(start, ask("1"))
	g.Expect(effects.Grants).To(HaveLen(1))
	s.Done(start, first, dispatch.Report{Outcome: dispatch.Broken})
	again := ask("1")
	again.Tried = []string{previous.Incarnation()}
	_, effects = s.Submit(start.Add(time.Millisecond), again)
	g.Expect(effects.Grants).To(BeEmpty(), "the previous process is ejected")

	current := previous
	current.StartedMS = 2000
	effects = s.SetTargets(start.Add(2*time.Millisecond), []catalog.Target{current})
	g.Expect(effects.Grants).To(HaveLen(1))
	g.Expect(effects.Grants[0].Target).To(Equal(current))
	g.Expect(effects.Grants[0].Load).To(Equal(1))
}

// A request at the previous process ends after the new process is known. It releases a
// slot of the previous process only, and does not affect the new one.
func TestLateAnswerOfPreviousProcess(t *testing.T) {
	g := NewWithT(t)
	previous := catalog.Target{ID: "t-00", StartedMS: 1000, Service: service, Zone: "a", Slots: 1}
	current := previous
	current.StartedMS = 2000
	s := newScheduler([]catalog.Target{previous})
	first, _ := s.Submit(start, ask("1"))
	s.SetTargets(start, []catalog.Target{current})
	_, effects := s.Submit(start, ask("2"))
	g.Expect(effects.Grants).To(HaveLen(1))
	third, effects := s.Submit(start, ask("3"))
	g.Expect(effects.Grants).To(BeEmpty())
	effects = s.Done(start, first, dispatch.Report{Outcome: dispatch.TimedOut})
	g.Expect(effects.Grants).To(BeEmpty(), "the slot at the previous process is not one at the new")
	g.Expect(s.Cancel(third)).To(BeTrue())
}
