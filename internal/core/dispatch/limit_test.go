package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/dispatch"
)

// Guards against unreported limits: who declared which, and how many requests were sent meanwhile.
func TestChangesOfDeclaredLimitAreReported(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(1, 4))
	limit := dispatch.Limit{Declared: true, PerSecond: 2}
	ticket, _ := s.Submit(start, ask("1"))
	effects := s.ObserveLimit(start, ticket, limit)
	g.Expect(effects.Limits).To(Equal([]dispatch.LimitChange{{Target: "t-00", Now: limit}}))
	g.Expect(s.ObserveLimit(start, ticket, limit).Limits).To(BeEmpty())
	g.Expect(s.Services(start)[0].Limited).To(Equal(1))
	later := start.Add(3 * time.Second)
	ticket, effects = s.Submit(later, ask("2"))
	g.Expect(effects.Grants).To(HaveLen(1))
	effects = s.ObserveLimit(later, ticket, dispatch.Limit{})
	g.Expect(effects.Limits).To(Equal([]dispatch.LimitChange{{Target: "t-00", Before: limit, Sent: 1, For: 3 * time.Second}}))
}

// limitedTarget returns a scheduler whose only target declares a limit of two requests a
// second, and the time from which it may receive the first request.
func limitedTarget(t *testing.T) (*dispatch.Scheduler, time.Time) {
	s := newScheduler(targets(1, 4))
	ticket, _ := s.Submit(start, ask("first"))
	s.ObserveLimit(start, ticket, dispatch.Limit{Declared: true, PerSecond: 2})
	s.Done(start, ticket, dispatch.Report{Outcome: dispatch.Answered})
	_, effects := s.Submit(start.Add(time.Second), ask("early"))
	NewWithT(t).Expect(effects.Grants).To(BeEmpty())
	return s, start.Add(1600 * time.Millisecond)
}

// Guards against a limit that is lost when the target's registration expires during an outage of the store.
func TestLimitOutlivesExpiryOfRegistration(t *testing.T) {
	g := NewWithT(t)
	s, free := limitedTarget(t)
	g.Expect(s.Tick(free).Grants).To(HaveLen(1))
	s.SetTargets(free, nil)
	s.SetTargets(free, targets(1, 4))
	_, effects := s.Submit(free, ask("2"))
	g.Expect(effects.Grants).To(BeEmpty())
	g.Expect(s.Tick(free.Add(time.Second)).Grants).To(HaveLen(1))
}

// Guards against entries that each use the whole limit: requests sent by a peer count as used.
func TestRequestsOfPeersDrawOnTheLimit(t *testing.T) {
	g := NewWithT(t)
	s, free := limitedTarget(t)
	peerLoad := func(sent int) dispatch.Load {
		report := dispatch.LimitReport{Limit: dispatch.Limit{Declared: true, PerSecond: 2}, Sent: sent}
		return dispatch.Load{Limits: map[string]dispatch.LimitReport{"t-00": report}}
	}
	g.Expect(s.SetPeerLoad(start.Add(1100*time.Millisecond), "peer", peerLoad(7)).Grants).To(BeEmpty())
	g.Expect(s.SetPeerLoad(free.Add(-10*time.Millisecond), "peer", peerLoad(9)).Grants).To(BeEmpty())
	g.Expect(s.Tick(free.Add(100 * time.Millisecond)).Grants).To(BeEmpty())
	g.Expect(s.Tick(free.Add(1100 * time.Millisecond)).Grants).To(HaveLen(1))
}

// Guards against requests held until they expire when all targets together accept less than
// is waiting: requests that cannot be served in time are refused at once, with a retry delay.
func TestRefusalsAccountForLimitsOfAllTargets(t *testing.T) {
	g := NewWithT(t)
	s, _ := limitedTarget(t)
	refused, now := 0, start.Add(time.Second)
	for i := range 20 {
		request := ask(fmt.Sprint("more", i))
		request.Arrived, request.Objective, request.Expires = now, now.Add(800*time.Millisecond), now.Add(8*time.Second)
		_, effects := s.Submit(now, request)
		for _, refusal := range effects.Refusals {
			refused++
			g.Expect(refusal.Reason).To(Equal(dispatch.ReasonOverload))
			g.Expect(refusal.RetryAfter).To(BeNumerically(">=", time.Second))
		}
	}
	g.Expect(refused).To(BeNumerically(">=", 10))
}

// Guards against a wrong count: a restarted peer counts from zero.
func TestCountOfRestartedPeerCreatesNoDebt(t *testing.T) {
	g := NewWithT(t)
	s, free := limitedTarget(t)
	for _, sent := range []int{1000, 0} {
		report := dispatch.LimitReport{Limit: dispatch.Limit{Declared: true, PerSecond: 2}, Sent: sent}
		s.SetPeerLoad(start.Add(1100*time.Millisecond), "peer", dispatch.Load{Limits: map[string]dispatch.LimitReport{"t-00": report, "unknown": report}})
	}
	g.Expect(s.Tick(free.Add(100 * time.Millisecond)).Grants).To(HaveLen(1))
}

// Guards against declarations whose age shrinks each time that entries pass them on: the end
// of a limit would seem no newer than the limit itself, and the limit would never end.
func TestEndOfLimitSpreadsAfterManyReports(t *testing.T) {
	g := NewWithT(t)
	const delay = 3 * time.Millisecond
	var entries []*dispatch.Scheduler
	for range 4 {
		entries = append(entries, newScheduler(targets(1, 4)))
	}
	now := start
	reportInTurn := func(period time.Duration) {
		for end := now.Add(period); now.Before(end); {
			for i, e := range entries {
				load := e.OwnLoad(now)
				now = now.Add(delay)
				entries[(i+1)%len(entries)].SetPeerLoad(now, fmt.Sprint(i), load)
			}
		}
	}
	limited := func() (n int) {
		for _, e := range entries {
			n += e.Services(now)[0].Limited
		}
		return n
	}
	first, _ := entries[0].Submit(now, ask("first"))
	second, _ := entries[2].Submit(now, ask("second"))
	entries[0].ObserveLimit(now, first, dispatch.Limit{Declared: true, PerSecond: 2})
	reportInTurn(10 * time.Second)
	g.Expect(limited()).To(Equal(len(entries)))
	entries[2].ObserveLimit(now, second, dispatch.Limit{})
	reportInTurn(2 * time.Second)
	g.Expect(limited()).To(BeZero())
	for range 4 {
		entries[2].ObserveLimit(now, second, dispatch.Limit{})
		reportInTurn(time.Second)
	}
	g.Expect(entries[2].OwnLoad(now).Limits).To(BeEmpty(), "the end is reported for a limited time only")
}
