package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
)

var orderStart = time.Unix(1_000_000, 0)

// queueOf submits requests to a scheduler whose only slot is taken, and returns it with the
// request that has the slot. All arrive at the start.
func queueOf(requests ...Request) (*Scheduler, *Ticket) {
	s := New(Config{Name: "a", Zone: "a"})
	s.SetTargets(orderStart, []catalog.Target{{ID: "t", Service: "desk", Zone: "a", Slots: 1}})
	holder, _ := s.Submit(orderStart, Request{ID: "holder", Service: "desk", Class: "holder", Arrived: orderStart, Expires: orderStart.Add(time.Hour)})
	for _, request := range requests {
		request.Service, request.Arrived, request.Expires = "desk", orderStart, orderStart.Add(time.Hour)
		if request.Class == "" {
			request.Class = fmt.Sprint(request.Rank)
		}
		s.Submit(orderStart, request)
	}
	return s, holder
}

// served returns the ids of the waiting requests in the order in which they get the slot.
func served(s *Scheduler, holder *Ticket, now time.Time) []string {
	var ids []string
	for effects := s.Done(now, holder, Report{Outcome: Abandoned}); len(effects.Grants) > 0; {
		holder = effects.Grants[0].Ticket
		ids = append(ids, holder.ID)
		now = now.Add(time.Millisecond)
		effects = s.Done(now, holder, Report{Outcome: Abandoned})
	}
	return ids
}

// late and timely are the objectives of requests that have missed it a second after the start,
// and of those that have not.
var late, timely = orderStart.Add(10 * time.Millisecond), orderStart.Add(time.Minute)

// Guards against late answers of the most urgent rank that wait for the least urgent ones,
// which are worth less for the same work.
func TestLateRequestGoesBeforeLessValuableRanks(t *testing.T) {
	g := NewWithT(t)
	s, holder := queueOf(
		Request{ID: "2", Rank: 2, Objective: timely},
		Request{ID: "late 2", Rank: 2, Objective: late},
		Request{ID: "late 1", Rank: 1, Objective: late},
		Request{ID: "1", Rank: 1, Objective: timely},
		Request{ID: "late 0", Rank: 0, Objective: late},
		Request{ID: "0", Rank: 0, Objective: timely},
	)
	// The work is the same: rank 1 is worth more than a late request of rank 0, rank 2 is not.
	// Late requests of rank 1 are worth less than rank 2 in time.
	g.Expect(served(s, holder, orderStart.Add(time.Second))).To(Equal([]string{"0", "1", "late 0", "2", "late 1", "late 2"}))
}

// Guards against a place of late requests that ignores the work: a rank with much more work
// for a request is worth less for the time of an engine.
func TestWorkDecidesThePlaceOfLateRequests(t *testing.T) {
	g := NewWithT(t)
	var w rankWork
	for range 10 {
		w.add(0, 0.4)
		w.add(1, 0.2)
		w.add(2, 0.5)
	}
	before, ok := w.lateBefore(0)
	g.Expect(ok).To(BeTrue())
	g.Expect(before).To(Equal(2), "0.3/0.4 is less than 0.33/0.2 and more than 0.11/0.5")
	before, ok = w.lateBefore(1)
	g.Expect(ok).To(BeTrue())
	g.Expect(before).To(Equal(2), "0.1/0.2 is more than 0.11/0.5")
	_, ok = w.lateBefore(2)
	g.Expect(ok).To(BeFalse())
	for range 3 * rankWorkWindow {
		w.add(1, 2)
	}
	before, _ = w.lateBefore(0)
	g.Expect(before).To(Equal(1), "0.3/0.4 is more than 0.33/2")
}

// Guards against late requests that lose the priority of their organisation, or overtake lower
// ranks only because the priority of the route is compared before the rank.
func TestLateRequestKeepsPriority(t *testing.T) {
	g := NewWithT(t)
	s, holder := queueOf(
		Request{ID: "low", Priority: 1, Rank: 0, Objective: timely},
		Request{ID: "high 2", Priority: 0, Rank: 2, Objective: timely},
		Request{ID: "late high 1", Priority: 0, Rank: 1, Objective: late},
	)
	g.Expect(served(s, holder, orderStart.Add(time.Second))).To(Equal([]string{"high 2", "late high 1", "low"}))

	s, holder = queueOf(
		Request{ID: "2", Priority: 2, Rank: 2, RoutePriority: true, Objective: timely},
		Request{ID: "late 0", Priority: 0, Rank: 0, RoutePriority: true, Objective: late},
		Request{ID: "late 1", Priority: 1, Rank: 1, RoutePriority: true, Objective: late},
		Request{ID: "1", Priority: 1, Rank: 1, RoutePriority: true, Objective: timely},
	)
	g.Expect(served(s, holder, orderStart.Add(time.Second))).To(Equal([]string{"1", "late 0", "2", "late 1"}))
}

// Guards against excess requests that go before requests within pace of the next rank, or are
// starved by ranks further below.
func TestExcessGoesBehindTheNextRank(t *testing.T) {
	g := NewWithT(t)
	s, holder := queueOf(
		Request{ID: "excess 0", Rank: 0, Excess: true, Objective: timely},
		Request{ID: "excess 1", Rank: 1, Excess: true, Objective: timely},
		Request{ID: "excess 2", Rank: 2, Excess: true, Objective: timely},
		Request{ID: "2", Rank: 2, Objective: timely},
		Request{ID: "1", Rank: 1, Objective: timely},
		Request{ID: "0", Rank: 0, Objective: timely},
	)
	g.Expect(served(s, holder, orderStart.Add(time.Second))).To(Equal([]string{"0", "1", "excess 0", "2", "excess 1", "excess 2"}))
}

// Guards against a late excess request that goes before requests within pace.
func TestLateExcessGoesLast(t *testing.T) {
	g := NewWithT(t)
	s, holder := queueOf(
		Request{ID: "late excess 0", Rank: 0, Excess: true, Objective: late},
		Request{ID: "late 0", Rank: 0, Objective: late},
		Request{ID: "late 1", Rank: 1, Objective: late},
		Request{ID: "2", Rank: 2, Objective: timely},
		Request{ID: "1", Rank: 1, Objective: timely},
	)
	g.Expect(served(s, holder, orderStart.Add(time.Second))).To(Equal([]string{"1", "late 0", "2", "late 1", "late excess 0"}))
}

// Guards against an organisation with a long queue that keeps another one waiting until all of
// it is served.
func TestOrganisationsAreServedByWeight(t *testing.T) {
	g := NewWithT(t)
	var requests []Request
	for i := range 12 {
		requests = append(requests, Request{ID: fmt.Sprint("many ", i), Class: "c", Organisation: "many", Weight: 1})
	}
	for i := range 6 {
		requests = append(requests, Request{ID: fmt.Sprint("few ", i), Class: "c", Organisation: "few", Weight: 3})
	}
	s, holder := queueOf(requests...)
	order := served(s, holder, orderStart.Add(time.Second))
	g.Expect(order[:8]).To(ConsistOf("many 0", "many 1", "few 0", "few 1", "few 2", "few 3", "few 4", "few 5"))
	g.Expect(order[8:]).To(Equal([]string{"many 2", "many 3", "many 4", "many 5", "many 6", "many 7", "many 8", "many 9", "many 10", "many 11"}))
	g.Expect(s.pool("desk").shared).To(BeEmpty(), "nothing is kept of organisations that wait no more")
}

// Guards against an organisation that has one request at a time and receives more than its
// weight: while none of its requests waits, what it has received was forgotten.
func TestOneRequestAtATimeIsChargedInThePool(t *testing.T) {
	g := NewWithT(t)
	var requests []Request
	for i := range 130 {
		requests = append(requests, Request{ID: fmt.Sprint(i), Class: "c", Organisation: "many", Weight: 5})
	}
	one := Request{ID: "one", Service: "desk", Class: "c", Organisation: "one", Weight: 1, Arrived: orderStart, Expires: orderStart.Add(time.Hour)}
	s, holder := queueOf(append(requests, one)...)
	ones, now := 0, orderStart
	for range 120 {
		returns := holder.Organisation == "one"
		now = now.Add(time.Millisecond)
		holder = s.Done(now, holder, Report{Outcome: Abandoned}).Grants[0].Ticket
		if holder.Organisation == "one" {
			ones++
		}
		if returns {
			one.Arrived = now
			s.Submit(now, one)
		}
		g.Expect(len(s.pool("desk").shared)).To(BeNumerically("<=", 1))
	}
	g.Expect(ones).To(BeNumerically("~", 120/6, 2))
}

// Guards against a first request of an organisation that is refused at once because of the
// queue of another one, behind which it does not wait.
func TestQueueOfAnotherOrganisationDoesNotRefuse(t *testing.T) {
	g := NewWithT(t)
	var requests []Request
	for i := range 40 {
		requests = append(requests, Request{ID: fmt.Sprint(i), Class: "c", Organisation: "many", Weight: 1})
	}
	s, _ := queueOf(requests...)
	ask := Request{Service: "desk", Class: "c", Arrived: orderStart, Expires: orderStart.Add(5 * time.Second), Organisation: "many", Weight: 1}
	_, effects := s.Submit(orderStart, ask)
	g.Expect(effects.Refusals).To(HaveLen(1), "41 requests before it at 0.3 s each")
	ask.Organisation = "few"
	_, effects = s.Submit(orderStart, ask)
	g.Expect(effects.Refusals).To(BeEmpty())
	_, effects = s.Submit(orderStart, ask)
	g.Expect(effects.Refusals).To(BeEmpty(), "the queue is shared now")
}

// Guards against callers that come back late in any case and make those late that could still be
// served in time.
func TestReturnedCallerKeepsItsPlaceByArrival(t *testing.T) {
	g := NewWithT(t)
	s, holder := queueOf(
		Request{ID: "1", Rank: 1, Objective: timely},
		Request{ID: "new", Rank: 0, Objective: timely},
		Request{ID: "returned 1", Rank: 1, Objective: timely, Waited: time.Second},
		Request{ID: "returned", Rank: 0, Objective: timely, Waited: time.Second},
	)
	g.Expect(served(s, holder, orderStart.Add(time.Second))).To(Equal([]string{"new", "returned", "1", "returned 1"}))

	s, _ = queueOf(Request{Rank: 1}, Request{ID: "short of time", Rank: 0, Waited: time.Hour})
	waiting := s.pool("desk").waiting[0]
	g.Expect(waiting.ID).To(Equal("short of time"))
	g.Expect(waiting.queueTime).To(Equal(orderStart.Add(waiting.expected)))
}

// Guards against late requests of the most urgent rank that are refused at once because late
// ones of the least urgent rank hardly ever get a slot.
func TestRanksAreShedSeparately(t *testing.T) {
	g := NewWithT(t)
	p := New(Config{}).pool("desk")
	now := orderStart
	for range minLateSamples {
		p.lateRate(&Ticket{Request: Request{Rank: 2}}).record(now, false)
		p.lateRate(&Ticket{Request: Request{Rank: 0}}).record(now, true)
	}
	g.Expect(p.lateRate(&Ticket{Request: Request{Rank: 2}}).rarelyPlaced(now)).To(BeTrue())
	g.Expect(p.lateRate(&Ticket{Request: Request{Rank: 0}}).rarelyPlaced(now)).To(BeFalse())
	g.Expect(p.lateRate(&Ticket{Request: Request{Rank: 1, Excess: true}}).rarelyPlaced(now)).To(BeTrue(), "it is served as rank 2")
}

// Guards against entries of a cell that take free slots in another order than their queues have:
// the reported urgency and the order of the queue must agree.
func TestReportedUrgencyIsThatOfTheFirstRequest(t *testing.T) {
	g := NewWithT(t)
	s, holder := queueOf(
		Request{ID: "late 0", Rank: 0, Objective: late},
		Request{ID: "2", Rank: 2, Objective: timely},
		Request{ID: "excess 0", Rank: 0, Excess: true, Objective: timely},
		Request{ID: "late 2", Rank: 2, Objective: late},
	)
	now := orderStart.Add(time.Second)
	before := Urgency(0)
	for len(s.pool("desk").waiting) > 0 {
		reported := s.OwnLoad(now).Waiting["desk"]
		g.Expect(reported).To(BeNumerically(">", before))
		before = reported
		holder = s.Done(now, holder, Report{Outcome: Abandoned}).Grants[0].Ticket
		g.Expect(holder.urgency).To(Equal(reported), holder.ID)
	}
}

// Guards against an urgency whose parts overflow into each other.
func TestUrgencyIsMonotonous(t *testing.T) {
	g := NewWithT(t)
	before := Urgency(0)
	for priority := range 300 {
		for rank := range 300 {
			u := UrgencyOf(priority, rank)
			if priority < maxPriority && rank <= 255 && priority+rank > 0 {
				g.Expect(u).To(BeNumerically(">", before), "%d %d", priority, rank)
				before = u
			}
			g.Expect(u).To(BeNumerically("<", lateUrgency))
		}
	}
	g.Expect(UrgencyOf(math.MaxInt, math.MaxInt)).To(BeNumerically("<", lateUrgency))
	g.Expect(UrgencyOf(-1, -1)).To(Equal(UrgencyOf(0, 0)))
}

// Guards against load reports that tell what no part reads.
func TestDemandIsReportedOnlyWhereAPartNeedsIt(t *testing.T) {
	for _, config := range []Config{{}, {Admission: true}, {Lending: true}, {LateLast: true}} {
		g := NewWithT(t)
		s := New(config)
		s.SetTargets(orderStart, []catalog.Target{{ID: "t", Service: "desk", Slots: 1}})
		s.Submit(orderStart, Request{ID: "1", Service: "desk", Arrived: orderStart, Expires: orderStart.Add(time.Hour)})
		g.Expect(len(s.OwnLoad(orderStart).Pools) > 0).To(Equal(config.Admission || config.Lending))
	}
}

// Guards against demand that a redirection hides from admission and lending.
func TestRedirectedRequestCountsAsArrival(t *testing.T) {
	g := NewWithT(t)
	s, _ := queueOf(Request{ID: "1", Rank: 1})
	s.Redirect(orderStart, "desk", "new desk")
	g.Expect(s.View(orderStart, "new desk").Arriving[1]).To(BeNumerically(">", 0))
}

// Guards against operators who cannot see that late requests get slots.
func TestGrantTellsThatARequestIsLate(t *testing.T) {
	g := NewWithT(t)
	s, holder := queueOf(Request{ID: "late", Rank: 0, Objective: late}, Request{ID: "in time", Rank: 0, Objective: timely})
	now := orderStart.Add(time.Second)
	first := s.Done(now, holder, Report{Outcome: Abandoned}).Grants[0]
	g.Expect(first.Ticket.ID).To(Equal("in time"))
	g.Expect(first.Late).To(BeFalse())
	g.Expect(s.Done(now, first.Ticket, Report{Outcome: Abandoned}).Grants[0].Late).To(BeTrue())
}
