package owner_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/owner"
)

const (
	period  = 20 * time.Second
	longest = 60 * time.Second
	a       = ident.Incarnation("aaaaaaaaaaaaaaaa-1")
	b       = ident.Incarnation("bbbbbbbbbbbbbbbb-1")
	c       = ident.Incarnation("cccccccccccccccc-1")
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func table(self ident.Incarnation, limit int) *owner.Table {
	return owner.New(owner.Config{Self: self, Period: period, MaxDeadline: longest, MaxIDs: limit, Validity: time.Second}, start)
}

var _ = Describe("Table", func() {
	id := ident.PrefixFor(a, 0).ID("one")
	refusal := outcome.Refused(outcome.ReasonOverload, time.Second, "")

	// Ids are admitted for 2 periods and a quarter (45 s), and expire 60 s later
	// (105 s).
	DescribeTable("decides on an unknown id by its epoch and age",
		func(now time.Duration, id ident.RequestID, want owner.Kind) {
			t := table(a, 10)
			Expect(t.State(at(now), id).Kind).To(Equal(want))
			Expect(t.Admit(at(now), id).Kind).To(Equal(want))
		},
		Entry("at once", time.Duration(0), id, owner.KindNew),
		Entry("handed out last in its epoch, used last", 39*time.Second, id, owner.KindNew),
		Entry("within the grace time", 44*time.Second, id, owner.KindNew),
		Entry("after the grace time", 45*time.Second, id, owner.KindPrefixExpired),
		Entry("after the longest deadline", 105*time.Second, id, owner.KindExpired),
		Entry("of a prefix not handed out yet", time.Duration(0), ident.PrefixFor(a, 1).ID("x"), owner.KindMalformed),
		Entry("of an epoch skipped by a pause", 10*time.Minute, ident.PrefixFor(a, 5).ID("x"), owner.KindExpired),
		Entry("of another owner", time.Duration(0), ident.PrefixFor(b, 9).ID("x"), owner.KindRemote),
		Entry("without an owner", time.Duration(0), ident.RequestID("x"), owner.KindMalformed),
	)

	It("returns the current state for each repeated request", func() {
		t := table(a, 10)
		Expect(t.Admit(start, id).Kind).To(Equal(owner.KindNew))
		Expect(t.Admit(start, id).State).To(Equal(message.IDWaiting))
		Expect(t.RecordDispatch(start, id, "t1")).To(BeTrue())
		Expect(t.Admit(start, id)).To(Equal(owner.Admission{Kind: owner.KindKnown, State: message.IDRunning, Target: "t1"}))
		Expect(t.Finish(start, id, refusal)).To(BeTrue())
		Expect(t.Finish(start, id, outcome.Complete())).To(BeFalse())
		Expect(t.Admit(at(104*time.Second), id).Status).To(Equal(refusal))
		Expect(t.Admit(at(105*time.Second), id).Kind).To(Equal(owner.KindExpired))
		Expect(t.Len()).To(BeZero())
	})

	It("dispatches again only if the target provably did not accept the request", func() {
		t := table(a, 10)
		Expect(t.RecordDispatch(start, id, "t1")).To(BeFalse(), "not admitted")
		t.Admit(start, id)
		Expect(t.RecordDispatch(start, id, "t1")).To(BeTrue())
		Expect(t.RecordDispatch(start, id, "t2")).To(BeFalse())
		Expect(t.RevertDispatch(start, id)).To(BeTrue())
		Expect(t.RecordDispatch(start, id, "t2")).To(BeTrue())
		t.Finish(start, id, outcome.Complete())
		Expect(t.RevertDispatch(start, id)).To(BeFalse())
		Expect(t.RecordDispatch(start, id, "t3")).To(BeFalse())
	})

	It("keeps the expiry of remembered ids when settings change", func() {
		t := table(a, 10)
		t.Admit(start, id)
		t.Configure(at(time.Second), time.Second, time.Second, 10)
		prefix, _ := t.Prefix(at(time.Second))
		Expect(prefix).To(Equal(ident.PrefixFor(a, 1)))
		Expect(t.Admit(at(104*time.Second), id).Kind).To(Equal(owner.KindKnown))
	})

	// The caller sends one id to three entries at once, and the owner receives its
	// copy last. The first entry that queries the owner becomes the delegate, the
	// third entry is referred to it, and the owner does not run the request. A
	// delegate that repeats the query, because the reply was lost, gets the same
	// reply, but not once it may have dropped the id.
	It("lets only one of three entries run an id sent to all", func() {
		ta, tb, tc := table(a, 10), table(b, 10), table(c, 10)
		Expect(tb.Admit(start, id)).To(Equal(owner.Admission{Kind: owner.KindRemote, Owner: a}))
		Expect(ta.Query(start, b, id).State).To(Equal(message.IDVoided))
		Expect(tb.Adopt(start, id)).To(BeTrue())
		Expect(tb.Adopt(start, id)).To(BeFalse())
		reply := ta.Query(start, c, id)
		Expect(reply.State).To(Equal(message.IDTransferred))
		Expect(reply.Delegate).To(Equal(b))
		Expect(tc.RecordDispatch(start, id, "t")).To(BeFalse())
		Expect(ta.Admit(start, id)).To(Equal(owner.Admission{Kind: owner.KindVoided, State: message.IDTransferred, Delegate: b}))
		Expect(ta.RecordDispatch(start, id, "t")).To(BeFalse())
		Expect(tb.RecordDispatch(start, id, "t")).To(BeTrue())
		Expect(tb.Query(start, c, id).State).To(Equal(message.IDRunning))
		Expect(ta.Query(at(19*time.Second), b, id).State).To(Equal(message.IDVoided))
		Expect(ta.Query(at(20*time.Second), b, id).State).To(Equal(message.IDTransferred))
		Expect(tb.Admit(at(20*time.Second), id).Kind).To(Equal(owner.KindKnown))
	})

	// The delegate crashes after the owner transferred the id to it. The owner must
	// neither transfer it again nor run it: the delegate may have dispatched it.
	It("never transfers an id twice when the delegate has crashed", func() {
		t := table(a, 10)
		t.Query(start, b, id)
		for now := time.Duration(0); now < 105*time.Second; now += 5 * time.Second {
			Expect(t.Query(at(now), c, id).Delegate).To(Equal(b))
			Expect(t.RecordDispatch(at(now), id, "t")).To(BeFalse())
		}
		Expect(t.Query(at(105*time.Second), c, id).State).To(Equal(message.IDExpired))
	})

	// The owner is paused with a waiting request and resumes after all ids have
	// expired. Another entry has reported "unknown" to the caller meanwhile. The
	// owner must not dispatch the request; inputs in its rings are overdue.
	It("does not dispatch after a pause longer than any validity", func() {
		t := table(a, 10)
		t.Admit(start, id)
		Expect(t.Overdue(at(2*time.Second), start)).To(BeTrue())
		Expect(t.Overdue(at(time.Second), start)).To(BeFalse())
		Expect(t.RecordDispatch(at(time.Hour), id, "t")).To(BeFalse())
		Expect(t.Admit(at(time.Hour), id).Kind).To(Equal(owner.KindExpired))
	})

	// The table is full and a copy of an id is refused as "not run". Then there is
	// memory again and an older copy arrives, or a peer's query. It must stay refused.
	It("never admits an id that was refused for lack of memory", func() {
		t := table(a, 1)
		t.Admit(start, ident.PrefixFor(a, 0).ID("other"))
		Expect(t.Admit(start, id).Kind).To(Equal(owner.KindFull))
		asked := ident.PrefixFor(a, 0).ID("asked")
		Expect(t.Query(start, b, asked).Status.Reason).To(Equal(outcome.ReasonEntryFull))
		adopted := ident.PrefixFor(b, 0).ID("adopted")
		Expect(t.Adopt(start, adopted)).To(BeFalse())
		t.Configure(start, period, longest, 10)
		Expect(t.Admit(start, id).Kind).To(Equal(owner.KindFull))
		Expect(t.Admit(start, asked).Kind).To(Equal(owner.KindFull))
		Expect(t.Adopt(start, adopted)).To(BeFalse())
		Expect(t.Admit(start, adopted).Kind).To(Equal(owner.KindFull))
		Expect(t.Admit(start, ident.PrefixFor(a, 0).ID("new")).Kind).To(Equal(owner.KindNew))
	})
})

// TestEachIDIsDispatchedAtMostOnce draws schedules in which callers send ids to
// any of three entries, replies of peers are lost, tables become full and epochs
// expire. No id is dispatched twice, and none that was refused as "not run" is
// dispatched at all.
func TestEachIDIsDispatchedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		selves := []ident.Incarnation{a, b, c}
		tables := make([]*owner.Table, len(selves))
		for i := range selves {
			tables[i] = table(selves[i], rapid.IntRange(1, 4).Draw(rt, "max"))
		}
		dispatched := map[ident.RequestID]int{}
		refused := map[ident.RequestID]bool{}
		now := start
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(rt, "seconds")) * time.Second)
			i := rapid.IntRange(0, 2).Draw(rt, "entry")
			ownerIndex := rapid.IntRange(0, 2).Draw(rt, "owner")
			epoch := uint32(rapid.IntRange(0, int(now.Sub(start)/period)).Draw(rt, "epoch"))
			id := ident.PrefixFor(selves[ownerIndex], epoch).ID(fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "suffix")))
			found := tables[i].Admit(now, id)
			refused[id] = refused[id] || found.Kind == owner.KindFull || found.Kind == owner.KindPrefixExpired
			if found.Kind == owner.KindRemote {
				reply := tables[ownerIndex].Query(now, selves[i], id)
				refused[id] = refused[id] || reply.Status.Outcome == outcome.NotRun
				lost := rapid.Bool().Draw(rt, "reply lost")
				if !lost && reply.State == message.IDVoided && !tables[i].Adopt(now, id) {
					refused[id] = true
				}
			}
			if rapid.Bool().Draw(rt, "dispatch") && tables[i].RecordDispatch(now, id, "t") {
				dispatched[id]++
			}
			if dispatched[id] > 1 || (dispatched[id] > 0 && refused[id]) {
				rt.Fatalf("%s: dispatched %d times, refused %v", id, dispatched[id], refused[id])
			}
		}
	})
}

func BenchmarkAdmitDispatchFinish(bench *testing.B) {
	t := table(a, bench.N+1)
	ids := make([]ident.RequestID, bench.N)
	prefix := ident.PrefixFor(a, 0)
	for i := range ids {
		ids[i] = prefix.ID(fmt.Sprintf("0123456789abcdef-%08d", i))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	bench.ResetTimer()
	for _, id := range ids {
		t.Admit(start, id)
		t.RecordDispatch(start, id, "target-1")
		t.Finish(start, id, outcome.Complete())
	}
	bench.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	bench.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(t.Len()), "B/id")
	runtime.KeepAlive(ids)
}
