package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
)

var start = time.Unix(1_000_000, 0)

const service = "assistant"

func targets(n, slots int) []catalog.Target {
	list := make([]catalog.Target, 0, n)
	for i := range n {
		list = append(list, catalog.Target{ID: fmt.Sprintf("t-%02d", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a", Slots: slots})
	}
	return list
}

// waiting is the report of an entry whose queue contains requests like those of ask.
var waiting = map[string]dispatch.Urgency{service: dispatch.UrgencyOf(0, 0)}

func ask(id string) dispatch.Request {
	return dispatch.Request{ID: id, Service: service, Class: "c", Arrived: start, Objective: start.Add(800 * time.Millisecond), Expires: start.Add(8 * time.Second)}
}

func newScheduler(list []catalog.Target) *dispatch.Scheduler {
	s := dispatch.New(dispatch.Config{Zone: "a"})
	s.SetTargets(start, list)
	return s
}

func TestFullTargetsMakeRequestsWait(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(1, 2))
	first, effects := s.Submit(start, ask("1"))
	g.Expect(effects.Grants).To(HaveLen(1))
	_, effects = s.Submit(start, ask("2"))
	g.Expect(effects.Grants).To(HaveLen(1))
	third, effects := s.Submit(start, ask("3"))
	g.Expect(effects.Grants).To(BeEmpty())
	effects = s.Done(start.Add(50*time.Millisecond), first, dispatch.Report{Outcome: dispatch.Answered})
	g.Expect(effects.Grants).To(HaveLen(1))
	g.Expect(effects.Grants[0].Ticket).To(Equal(third))
}

// A target is full of another entry's requests. A request sent there would wait in the
// target's own queue, which ignores priorities.
func TestPeerLoadIsIncluded(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(1, 2))
	s.SetPeerLoad(start, "other", dispatch.Load{InFlight: map[string]int{"t-00": 2}})
	_, effects := s.Submit(start, ask("1"))
	g.Expect(effects.Grants).To(BeEmpty())
	effects = s.SetPeerLoad(start.Add(20*time.Millisecond), "other", dispatch.Load{})
	g.Expect(effects.Grants).To(HaveLen(1))
}

// An entry crashes with requests at the targets. Its last report must not occupy their
// slots forever.
func TestReportOfUnresponsivePeerExpires(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(1, 1))
	s.SetPeerLoad(start, "other", dispatch.Load{InFlight: map[string]int{"t-00": 1}})
	request := ask("1")
	request.Expires = start.Add(30 * time.Second)
	_, effects := s.Submit(start, request)
	g.Expect(effects.Grants).To(BeEmpty())
	g.Expect(s.Tick(start.Add(3500 * time.Millisecond)).Grants).To(HaveLen(1))
}

func TestLeavingTargetGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	list := targets(2, 1)
	s := newScheduler(list)
	list[0].Leaving = true
	s.SetTargets(start, list)
	_, effects := s.Submit(start, ask("1"))
	g.Expect(effects.Grants).To(HaveLen(1))
	g.Expect(effects.Grants[0].Target.ID).To(Equal("t-01"))
	_, effects = s.Submit(start, ask("2"))
	g.Expect(effects.Grants).To(BeEmpty())
}

func TestQueueIsOrderedByPriorityThenRank(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(1, 1))
	running, _ := s.Submit(start, ask("running"))
	for _, each := range []struct {
		id             string
		priority, rank int
	}{{"low", 1, 0}, {"high-route-2", 0, 2}, {"high-route-0", 0, 0}} {
		request := ask(each.id)
		request.Priority, request.Rank = each.priority, each.rank
		s.Submit(start, request)
	}
	var order []string
	now := start
	for range 3 {
		now = now.Add(10 * time.Millisecond)
		effects := s.Done(now, running, dispatch.Report{Outcome: dispatch.Abandoned})
		g.Expect(effects.Grants).To(HaveLen(1))
		running = effects.Grants[0].Ticket
		order = append(order, running.ID)
	}
	g.Expect(order).To(Equal([]string{"high-route-0", "high-route-2", "low"}))
}

// A short overload has made one request late; another can still be in time. The late
// one has lost most of its value, so the timely one goes first.
func TestTimelyRequestGoesBeforeLateOne(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(1, 1))
	running, _ := s.Submit(start, ask("running"))
	s.Submit(start, ask("late"))
	now := start.Add(time.Second)
	timely := ask("timely")
	timely.Arrived, timely.Objective = now, now.Add(800*time.Millisecond)
	s.Submit(now, timely)
	effects := s.Done(now, running, dispatch.Report{Outcome: dispatch.Abandoned})
	g.Expect(effects.Grants[0].Ticket.ID).To(Equal("timely"))
}

// A request that waits too long is refused while its caller can still retry, and is
// removed from the queue: a slot freed later must not go to it.
func TestExpiredInQueueIsRefusedAndNeverSent(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(1, 1))
	running, _ := s.Submit(start, ask("running"))
	waiting, _ := s.Submit(start, ask("waiting"))
	now := start.Add(6 * time.Second)
	effects := s.Tick(now)
	g.Expect(effects.Refusals).To(HaveLen(1))
	g.Expect(effects.Refusals[0].Ticket).To(Equal(waiting))
	g.Expect(effects.Refusals[0].RetryAfter).To(BeNumerically(">=", dispatch.MinRetryAfter))
	g.Expect(s.Done(now, running, dispatch.Report{Outcome: dispatch.Answered}).Grants).To(BeEmpty())
	g.Expect(s.Cancel(waiting)).To(BeFalse())
}

func TestRequestWithoutTargetIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	_, effects := newScheduler(nil).Submit(start, ask("1"))
	g.Expect(effects.Refusals).To(HaveLen(1))
	g.Expect(effects.Refusals[0].Reason).To(Equal(dispatch.ReasonNoTarget))
}

// A target's connections break. It receives nothing for a while, then is tried again.
func TestBrokenTargetIsEjectedTemporarily(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(2, 4))
	ticket, effects := s.Submit(start, ask("1"))
	broken := effects.Grants[0].Target.ID
	s.Done(start, ticket, dispatch.Report{Outcome: dispatch.Broken})
	for i := range 4 {
		_, effects = s.Submit(start, ask(fmt.Sprint(i)))
		g.Expect(effects.Grants[0].Target.ID).NotTo(Equal(broken))
	}
	_, effects = s.Submit(start.Add(time.Second), ask("again"))
	g.Expect(effects.Grants[0].Target.ID).To(Equal(broken))
}

func TestTriedTargetIsNotChosenAgain(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(2, 4))
	request := ask("1")
	request.Tried = []string{"t-00"}
	_, effects := s.Submit(start, request)
	g.Expect(effects.Grants[0].Target.ID).To(Equal("t-01"))
}

func TestCellsDivideTargetsEvenly(t *testing.T) {
	g := NewWithT(t)
	const cells = 6
	seen := make(map[string]int)
	for cell := range cells {
		s := newScheduler(targets(60, 1))
		s.SetCell(start, cell, cells)
		for i := range 60 {
			_, effects := s.Submit(start, ask(fmt.Sprint(i)))
			for _, grant := range effects.Grants {
				seen[grant.Target.ID]++
			}
		}
	}
	g.Expect(seen).To(HaveLen(60))
	for id, n := range seen {
		g.Expect(n).To(Equal(1), id)
	}
}

// A service has too few targets for each cell to have its own. All cells use all of
// them, each for its share of the slots.
func TestFewTargetsAreSharedByAllCells(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(5, 6))
	s.SetCell(start, 2, 6)
	granted := make(map[string]int)
	for i := range 60 {
		_, effects := s.Submit(start, ask(fmt.Sprint(i)))
		for _, grant := range effects.Grants {
			granted[grant.Target.ID]++
		}
	}
	g.Expect(granted).To(HaveLen(5))
	for id, n := range granted {
		g.Expect(n).To(Equal(2), id)
	}
}

// Four entries of a cell have requests waiting for a full target. A fifth entry's
// request ends and it has nothing to send there. All four receive the report of the free
// slot at the same time; they take turns and receive the report of the entry that took it,
// so only one request is sent.
func TestFreeSlotIsTakenOnce(t *testing.T) {
	g := NewWithT(t)
	const entries = 4
	names := []string{"a", "b", "c", "d"}
	full := dispatch.Load{InFlight: map[string]int{"t-00": 1}, Waiting: waiting}
	cell := make([]*dispatch.Scheduler, entries)
	for i := range cell {
		cell[i] = dispatch.New(dispatch.Config{Name: names[i], Zone: "a"})
		cell[i].SetTargets(start, targets(1, 1))
		cell[i].SetPeerLoad(start, "fifth", full)
		for _, other := range names {
			if other != names[i] {
				cell[i].SetPeerLoad(start, other, dispatch.Load{Waiting: waiting})
			}
		}
		for j := range 2 {
			_, effects := cell[i].Submit(start, ask(fmt.Sprint(i, j)))
			g.Expect(effects.Grants).To(BeEmpty())
		}
	}
	const report = 5 * time.Millisecond // delay of a report to the others
	taken := 0
	reportedAt := make(map[string]time.Time)
	for now := start.Add(time.Millisecond); now.Before(start.Add(100 * time.Millisecond)); now = now.Add(time.Millisecond) {
		for i, s := range cell {
			for name, at := range reportedAt {
				if name != names[i] && !now.Before(at) {
					s.SetPeerLoad(now, name, full)
				}
			}
			if grants := s.SetPeerLoad(now, "fifth", dispatch.Load{}).Grants; len(grants) > 0 {
				taken += len(grants)
				reportedAt[names[i]] = now.Add(report)
			}
		}
	}
	g.Expect(taken).To(Equal(1))
}

// An entry's own request ends while others wait for the target too. It sends its next
// one at once: waiting for a turn would leave the slot idle.
func TestOwnFreedSlotIsTakenAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.New(dispatch.Config{Name: "a", Zone: "a"})
	s.SetTargets(start, targets(1, 1))
	for _, other := range []string{"b", "c", "d", "e", "f"} {
		s.SetPeerLoad(start, other, dispatch.Load{Waiting: waiting})
	}
	s.Tick(start)
	first, _ := s.Submit(start, ask("first"))
	s.Submit(start, ask("second"))
	g.Expect(s.Tick(start.Add(100 * time.Millisecond)).Grants).To(HaveLen(1))
	g.Expect(s.Done(start.Add(200*time.Millisecond), first, dispatch.Report{Outcome: dispatch.Answered}).Grants).To(HaveLen(1))
}

// An entry has released a slot and has a short request to send there, while a peer
// has a more urgent request waiting. The peer goes first; the slot is not held for it
// longer than a report takes there and back.
func TestFreedSlotGoesToMoreUrgentPeerRequest(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.New(dispatch.Config{Name: "a", Zone: "a"})
	s.SetTargets(start, targets(1, 1))
	first, _ := s.Submit(start, ask("first"))
	second := ask("second")
	second.Rank = 1
	s.Submit(start, second)
	s.SetPeerLoad(start, "b", dispatch.Load{Waiting: map[string]dispatch.Urgency{service: dispatch.UrgencyOf(0, 0)}})
	releasedAt := start.Add(200 * time.Millisecond)
	g.Expect(s.Done(releasedAt, first, dispatch.Report{Outcome: dispatch.Answered}).Grants).To(BeEmpty())
	g.Expect(s.Tick(releasedAt.Add(5 * time.Millisecond)).Grants).To(BeEmpty())
	g.Expect(s.Tick(releasedAt.Add(20 * time.Millisecond)).Grants).To(HaveLen(1))
}

// Late requests wait behind timely ones and hardly any gets a slot. Meanwhile, a request
// that becomes late is refused at once; once a slot is free again, late ones are served.
func TestLateRequestsAreShedWhileHardlyAnyIsServed(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(targets(1, 1))
	late := func(id string, at time.Time) dispatch.Request {
		a := ask(id)
		a.Arrived, a.Objective, a.BeginBy, a.Expires = at, at.Add(400*time.Millisecond), at.Add(3*time.Second), at.Add(20*time.Second)
		return a
	}
	first, _ := s.Submit(start, late("first", start))
	for i := range 5 {
		s.Submit(start, late(fmt.Sprint(i), start))
	}
	g.Expect(s.Tick(start.Add(1900*time.Millisecond)).Refusals).To(HaveLen(5), "held while a slot may become free")
	again := start.Add(1900 * time.Millisecond)
	s.Submit(again, late("again", again))
	g.Expect(s.Tick(again.Add(50*time.Millisecond)).Refusals).To(BeEmpty(), "it can still be in time")
	g.Expect(s.Tick(again.Add(450 * time.Millisecond)).Refusals).To(HaveLen(1))
	later := again.Add(3 * time.Second)
	s.Submit(later, late("later", later))
	g.Expect(s.Tick(later.Add(600*time.Millisecond)).Refusals).To(BeEmpty(), "earlier late requests no longer count")
	g.Expect(s.Done(later.Add(700*time.Millisecond), first, dispatch.Report{Outcome: dispatch.Answered}).Grants).To(HaveLen(1))
}
