package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
)

// A target breaks a request off and is passed over. Its process ends and starts again
// under the same id, with free places: what was held against the former process, its
// requests in flight and what other entries told of them do not count any more, and a
// request that was tried there may be tried at the new process.
func TestRestartedTargetBeginsAnew(t *testing.T) {
	g := NewWithT(t)
	former := catalog.Target{ID: "t-00", StartedMS: 1000, Service: service, Address: "10.0.0.1:80", Zone: "a", Slots: 2}
	s := newScheduler([]catalog.Target{former})
	s.PeerLoad(start, "other", dispatch.Load{InFlight: map[string]int{former.Incarnation(): 1}})
	first, effects := s.Submit(start, ask("1"))
	g.Expect(effects.Grants).To(HaveLen(1))
	s.Done(start, first, dispatch.Report{Outcome: dispatch.Broken})
	again := ask("1")
	again.Tried = []string{former.Incarnation()}
	_, effects = s.Submit(start.Add(time.Millisecond), again)
	g.Expect(effects.Grants).To(BeEmpty(), "the former process is passed over")

	present := former
	present.StartedMS = 2000
	effects = s.SetTargets(start.Add(2*time.Millisecond), []catalog.Target{present})
	g.Expect(effects.Grants).To(HaveLen(1))
	g.Expect(effects.Grants[0].Target).To(Equal(present))
	g.Expect(effects.Grants[0].Load).To(Equal(1))
}

// The answer of a request at the former process comes after the new one is known. It
// gives back a place there only, and says nothing of the new one.
func TestLateAnswerOfFormerProcess(t *testing.T) {
	g := NewWithT(t)
	former := catalog.Target{ID: "t-00", StartedMS: 1000, Service: service, Zone: "a", Slots: 1}
	present := former
	present.StartedMS = 2000
	s := newScheduler([]catalog.Target{former})
	first, _ := s.Submit(start, ask("1"))
	s.SetTargets(start, []catalog.Target{present})
	_, effects := s.Submit(start, ask("2"))
	g.Expect(effects.Grants).To(HaveLen(1))
	third, effects := s.Submit(start, ask("3"))
	g.Expect(effects.Grants).To(BeEmpty())
	effects = s.Done(start, first, dispatch.Report{Outcome: dispatch.TimedOut})
	g.Expect(effects.Grants).To(BeEmpty(), "the place at the former process is not one at the new")
	g.Expect(s.Cancel(third)).To(BeTrue())
}
