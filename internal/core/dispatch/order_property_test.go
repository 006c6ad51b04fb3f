package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
)

// earlierOrder is the order of the queue before fair sharing and the order of late requests by
// value were built.
func earlierOrder(now time.Time) func(a, b *Ticket) int {
	number := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return func(a, b *Ticket) int {
		return cmp.Or(
			number(a.late(now))-number(b.late(now)), a.Priority-b.Priority, a.Rank-b.Rank,
			a.queueTime.Compare(b.queueTime), cmp.Compare(a.sequence, b.sequence),
		)
	}
}

// earlierUrgency is the urgency that was reported then.
func earlierUrgency(now time.Time, t *Ticket) int {
	u := min(t.Priority, 0xff)<<8 | min(t.Rank, 0xff)
	if t.late(now) {
		u += 1 << 16
	}
	return u
}

// earlierAhead is the number of requests by which the wait of a new one was estimated then.
func earlierAhead(now time.Time, p *pool, t *Ticket) int {
	ahead := 0
	for _, other := range p.waiting {
		outranks := t.Priority < other.Priority || t.Priority == other.Priority && t.Rank < other.Rank
		if !other.late(now) && !outranks {
			ahead++
		}
	}
	return ahead
}

// Guards against decisions that change where the configuration calls for none of the parts: one
// rank, and one organisation, or fair sharing off, so that no request has a weight.
func TestOrderIsAsBeforeWithOneRank(t *testing.T) { expectEarlierOrder(t, false) }

// Guards against a setting that does not restore the decisions of several ranks.
func TestOrderIsAsBeforeWithLateLast(t *testing.T) { expectEarlierOrder(t, true) }

// expectEarlierOrder compares decisions on random queues with the earlier ones: with requests of
// one rank, or of several with the setting that serves late ones last.
func expectEarlierOrder(t *testing.T, lateLast bool) {
	t.Helper()
	for seed := range uint64(200) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 1))
		oneOrganisation, rank := seed%2 == 0, random.IntN(5)
		s := New(Config{Name: "a", Zone: "a", LateLast: lateLast})
		s.SetTargets(orderStart, []catalog.Target{{ID: "t", Service: "desk", Zone: "a", Slots: 4}})
		p := s.pool("desk")
		for i := range 40 {
			request := Request{
				ID: fmt.Sprint(i), Service: "desk", Class: fmt.Sprint(random.IntN(3)), Priority: random.IntN(3), Rank: rank,
				RoutePriority: random.IntN(2) == 0,
				Arrived:       orderStart.Add(time.Duration(random.IntN(1000)) * time.Millisecond), Expires: orderStart.Add(time.Minute),
				Waited: time.Duration(random.IntN(2)*random.IntN(1000)) * time.Millisecond,
				Work:   Work{Prompt: random.IntN(5000), Output: random.IntN(300)},
			}
			if lateLast {
				request.Rank = random.IntN(5)
			}
			if random.IntN(4) > 0 {
				request.Objective = request.Arrived.Add(time.Duration(random.IntN(1000)) * time.Millisecond)
			}
			if oneOrganisation {
				request.Organisation, request.Weight = "only", 5
			} else {
				request.Organisation = fmt.Sprint(random.IntN(5))
			}
			ticket := &Ticket{Request: request, sequence: uint64(i)}
			p.schedule(ticket)
			g.Expect(ticket.queueTime).To(Equal(ticket.Arrived.Add(ticket.expected)))
			now := orderStart.Add(time.Duration(25*i) * time.Millisecond)
			g.Expect(p.ahead(now, ticket)).To(Equal(earlierAhead(now, p, ticket)))

			p.waiting = append(p.waiting, ticket)
			want := slices.SortedStableFunc(slices.Values(p.waiting), earlierOrder(now))
			p.order(now)
			g.Expect(p.waiting).To(Equal(want))
			g.Expect(p.shared).To(BeEmpty())
			for j := range p.waiting[1:] {
				a, b := p.waiting[j], p.waiting[j+1]
				g.Expect(cmp.Compare(p.urgency(now, a), p.urgency(now, b))).To(Equal(cmp.Compare(earlierUrgency(now, a), earlierUrgency(now, b))))
			}
			g.Expect(p.lateRate(ticket)).To(BeIdenticalTo(p.lateRate(p.waiting[0])), "one rate for all")
		}
	}
}

// BenchmarkOrderOfManyOrganisations measures the cost of a request for a queue in which requests
// of 666 organisations wait at each of two ranks, twice the organisations of the largest
// deployment.
func BenchmarkOrderOfManyOrganisations(b *testing.B) {
	for _, shared := range []bool{false, true} {
		b.Run(fmt.Sprintf("shared=%v", shared), func(b *testing.B) {
			s := New(Config{Name: "a", Zone: "a"})
			s.SetTargets(orderStart, []catalog.Target{{ID: "t", Service: "desk", Zone: "a", Slots: 1}})
			for i := range 2 * 666 {
				request := Request{
					ID: fmt.Sprint(i), Service: "desk", Class: "c", Priority: 1, Rank: i % 2, Organisation: fmt.Sprint("organisation-", i/2),
					Arrived: orderStart, Objective: orderStart.Add(time.Hour), Expires: orderStart.Add(10 * time.Hour),
				}
				if shared {
					request.Weight = float64(1 + i%7)
				}
				s.Submit(orderStart, request)
			}
			request := Request{ID: "new", Service: "desk", Class: "c", Rank: 0, Organisation: "organisation-7", Arrived: orderStart, Objective: orderStart.Add(time.Hour), Expires: orderStart.Add(10 * time.Hour)}
			if shared {
				request.Weight = 1
			}
			b.ReportAllocs()
			for b.Loop() {
				ticket, _ := s.Submit(orderStart, request)
				s.Cancel(ticket)
			}
		})
	}
}
