package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/dispatch"
)

// Guards against a target that receives requests during a pause that it requested, such as when
// its registration expires and is renewed, and against one that receives none afterwards.
func TestPausedTargetGetsNoRequestsUntilPauseEnds(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(1, 4))
	ticket, _ := s.Submit(start, ask("1"))
	s.ObservePause(start, ticket, 2*time.Second)
	s.Done(start, ticket, dispatch.Report{Outcome: dispatch.Rejected})
	s.SetTargets(start, nil)
	s.SetTargets(start, targets(1, 4))
	waiting, effects := s.Submit(start, ask("2"))
	g.Expect(effects).To(Equal(dispatch.Effects{}))
	g.Expect(s.Tick(start.Add(1990 * time.Millisecond)).Grants).To(BeEmpty())
	effects = s.Tick(start.Add(2 * time.Second))
	g.Expect(effects.Grants).To(HaveLen(1))
	g.Expect(effects.Grants[0].Ticket).To(Equal(waiting))
}

// Guards against requests to thousands of targets within pauses that they requested, after their
// registrations have expired together in an outage of the store and been renewed.
func TestPausesOfManyTargetsOutlastTheirExpiry(t *testing.T) {
	g := NewWithT(t)
	const count = 1500
	s := newScheduler(targets(count, 1))
	for i := range count {
		ticket, effects := s.Submit(start, ask(fmt.Sprint(i)))
		g.Expect(effects.Grants).To(HaveLen(1))
		s.ObservePause(start, ticket, time.Hour)
		s.Done(start, ticket, dispatch.Report{Outcome: dispatch.Rejected})
	}
	s.SetTargets(start, nil)
	s.SetTargets(start, targets(count, 1))
	_, effects := s.Submit(start, ask("next"))
	g.Expect(effects.Grants).To(BeEmpty())
	g.Expect(effects.Refusals).To(HaveLen(1))
}

// Guards against requests held in vain when the last target requests a pause longer than they
// can wait: both those that are waiting and those that arrive later.
func TestPauseOfAllTargetsRefusesAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(1, 1))
	running, _ := s.Submit(start, ask("running"))
	waiting, _ := s.Submit(start, ask("waiting"))
	effects := s.ObservePause(start, running, time.Hour)
	g.Expect(effects.Refusals).To(HaveLen(1))
	g.Expect(effects.Refusals[0].Ticket).To(Equal(waiting))
	g.Expect(effects.Refusals[0].Reason).To(Equal(dispatch.ReasonPaused))
	_, effects = s.Submit(start, ask("next"))
	g.Expect(effects.Refusals).To(HaveLen(1))
	g.Expect(effects.Refusals[0].RetryAfter).To(Equal(6 * time.Second))
	s.SetTargets(start, targets(2, 1))
	_, effects = s.Submit(start, ask("another target"))
	g.Expect(effects.Grants).To(HaveLen(1))
}
