package queue

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/request"
)

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queue")
}

var start = time.Unix(1e6, 0)

func anyItem(*Item) bool { return true }

func item(id, org string, tier request.Tier, cost, due int) *Item {
	return &Item{ID: ident.RequestID(id), Organisation: org, Tier: tier, Cost: cost, Prompt: cost, Due: start.Add(time.Duration(due) * time.Second)}
}

// serve takes n items and counts the cost served to each organisation.
func serve(q *Queue, n int) map[string]int {
	served := map[string]int{}
	for range n {
		it := q.Head(anyItem)
		q.Take(it)
		served[it.Organisation] += it.Cost
	}
	return served
}

var _ = Describe("Queue", func() {
	// One organisation sends 50 times as many requests as either of the other two,
	// and the requests of one of these are five times as large. Each receives the
	// same number of tokens while all have waiting work.
	It("shares tokens, not requests, fairly under a flood", func() {
		q := New(nil)
		for i := range 1000 {
			q.Push(item(fmt.Sprint("f", i), "flood", 1, 10, 1))
		}
		for i := range 20 {
			q.Push(item(fmt.Sprint("s", i), "small", 1, 10, 9))
			q.Push(item(fmt.Sprint("l", i), "large", 1, 50, 9))
		}
		served := serve(q, 44)
		Expect(served["flood"]).To(BeNumerically("~", served["small"], 10))
		Expect(served["flood"]).To(BeNumerically("~", served["large"], 50))
	})

	It("shares tokens in proportion to weights", func() {
		q := New(func(org string) float64 { return map[string]float64{"a": 3, "b": 1}[org] })
		for i := range 100 {
			q.Push(item(fmt.Sprint("a", i), "a", 0, 10, 1))
			q.Push(item(fmt.Sprint("b", i), "b", 0, 10, 1))
		}
		served := serve(q, 40)
		Expect(served["a"]).To(BeNumerically("~", 3*served["b"], 30))
	})

	// An organisation sends its next request only after the last was taken, so it
	// never has a backlog. It must be served neither at once each time, nor less
	// than its share.
	It("keeps the charge of an organisation that repeatedly becomes idle", func() {
		q := New(nil)
		for i := range 100 {
			q.Push(item(fmt.Sprint("f", i), "steady", 0, 10, 1))
		}
		q.Push(item("c0", "comes", 0, 10, 1))
		served := map[string]int{}
		for i := range 40 {
			it := q.Head(anyItem)
			q.Take(it)
			served[it.Organisation]++
			if it.Organisation == "comes" {
				q.Push(item(fmt.Sprint("c", i+1), "comes", 0, 10, 1))
			}
		}
		Expect(served["comes"]).To(BeNumerically("~", 20, 1))
	})

	It("lets a short item pass a long one that may not start, but nothing lower", func() {
		q := New(nil)
		long, short, low := item("l", "x", 1, 9, 1), item("s", "x", 1, 1, 2), item("w", "x", 2, 1, 1)
		long.Lane = Long
		q.Push(long)
		q.Push(low)
		noLong := func(it *Item) bool { return it.Lane != Long }
		Expect(q.Head(noLong)).To(BeNil())
		q.Push(short)
		Expect(q.Head(noLong)).To(BeIdenticalTo(short))
	})

	It("deletes idle organisations that the virtual time has reached", func() {
		q := New(nil)
		for i := range 100 {
			q.Push(item(fmt.Sprint(i), fmt.Sprint("org", i), 0, 10, 1))
		}
		serve(q, 100)
		Expect(q.tiers[0].orgs).To(BeEmpty())
	})
})

// TestOrder compares random operations with a plain list: the head is of the
// highest tier and has the least slack of its organisation, Last is of the
// lowest tier, and the counts are equal.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(nil)
		var all []*Item
		drop := func(removed *Item) {
			for i, it := range all {
				if it == removed {
					all = append(all[:i], all[i+1:]...)
					return
				}
			}
		}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch op := rapid.IntRange(0, 4).Draw(t, "op"); {
			case op < 3 || len(all) == 0:
				org := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "org")
				it := item(fmt.Sprint(i), org, request.Tier(rapid.IntRange(0, 2).Draw(t, "tier")), rapid.IntRange(1, 50).Draw(t, "cost"), rapid.IntRange(0, 9).Draw(t, "due"))
				it.Lane = Lane(rapid.IntRange(0, 2).Draw(t, "lane"))
				q.Push(it)
				all = append(all, it)
			case op == 3:
				it := all[rapid.IntRange(0, len(all)-1).Draw(t, "index")]
				q.Remove(it)
				drop(it)
			default:
				head, last := q.Head(anyItem), q.Last()
				for _, it := range all {
					sameOrg := it.Tier == head.Tier && it.Organisation == head.Organisation
					if it.Tier < head.Tier || it.Tier > last.Tier || sameOrg && it.Due.Before(head.Due) {
						t.Fatalf("head %v or last %v is wrong beside %v", head, last, it)
					}
				}
				q.Take(head)
				drop(head)
			}
			if q.Len() != len(all) || len(q.Items()) != len(all) {
				t.Fatalf("%d and %d items, want %d", q.Len(), len(q.Items()), len(all))
			}
		}
	})
}
