package claims_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/record"
	"sycamoretrail/internal/core/request"
)

func TestClaims(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

// What follows from a log alone: each home reads it and is asked by one more
// request, and by those whose claims stand in it.
var _ = DescribeTable("the order of records decides",
	func(log []record.Record, want ...string) {
		w := newWorld()
		for _, rec := range log {
			w.land(rec)
		}
		n := w.node(config())
		n.read()
		for _, id := range []ident.RequestID{"a", "b", "c"} {
			n.ask(id)
			w.pass(200*time.Millisecond, n)
		}
		Expect(n.winners()).To(Equal(want))
	},
	Entry("first claim holds", []record.Record{claimOf("a"), claimOf("b")}, "a>a", "b>a", "c>a"),
	Entry("copies change nothing", []record.Record{claimOf("a"), claimOf("b"), claimOf("a")}, "a>a", "b>a", "c>a"),
	// The owner of a was told nothing in time: it refused "not run", voided a
	// and released it. The caller tries again as b, which runs.
	Entry("claim after a release holds", []record.Record{claimOf("a"), releaseOf("a"), claimOf("b")}, "a>", "b>b", "c>b"),
	// As before, but the append of a's claim lands only after its release. The
	// key must not be held by a, which will never run.
	Entry("late claim of a released id is dead", []record.Record{releaseOf("a"), claimOf("a"), claimOf("b")}, "a>", "b>b", "c>b"),
	// b lost against a and was not released; then a is. b holds the key: a
	// reader that started after a's claim knows no more than that.
	Entry("claim behind a released one moves up", []record.Record{claimOf("a"), claimOf("b"), releaseOf("a"), claimOf("c")}, "a>", "b>b", "c>b"),
	Entry("loser that was released stands back", []record.Record{claimOf("a"), claimOf("b"), releaseOf("b"), releaseOf("a"), claimOf("c")}, "a>", "b>", "c>c"),
)

var _ = Describe("appends with faults", func() {
	DescribeTable("settles one claim whose append is troubled",
		func(fault lose, appends int) {
			w := newWorld()
			n := w.node(config())
			n.read()
			w.lose = fault
			n.ask("a")
			w.pass(100*time.Millisecond, n)
			w.lose = loseNothing
			w.pass(500*time.Millisecond, n)
			Expect(n.winners()).To(Equal([]string{"a>a"}))
			Expect(n.appends).To(Equal(appends))
		},
		Entry("nothing lost", loseNothing, 1),
		// The record is there: reading it back settles the claim.
		Entry("answer lost", loseAnswer, 1),
		// A reading begun after the append's end does not show the record, so
		// it is written again while the caller waits.
		Entry("record and answer lost", loseRecord, 2),
		Entry("refused by the log", refuse, 2),
	)

	// The append seems lost and the home writes the claim again; then the
	// first lands too. Both records name the same request: nothing changes.
	It("takes a second landing of the same claim without harm", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		w.lose = loseBoth
		n.ask("a")
		w.pass(100*time.Millisecond, n)
		w.lose = loseNothing
		w.pass(300*time.Millisecond, n)
		for _, rec := range w.late {
			w.land(rec)
		}
		n.ask("b")
		w.pass(300*time.Millisecond, n)
		Expect(n.winners()).To(Equal([]string{"a>a", "b>a"}))
	})

	// The claim's fate is unknown until the caller's time is over: the owner
	// gets no verdict, refuses "not run", voids the id and releases it. The
	// claim lands after all, and the caller's next try must not be shut out.
	It("lets the next request run after a claim that timed out lands late", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		w.lose = loseBoth
		n.ask("a")
		w.pass(timeout+time.Second, n)
		Expect(n.winners()).To(Equal([]string{"a>"}))
		w.lose = loseNothing
		n.giveUp("a")
		w.pass(200*time.Millisecond, n)
		for _, rec := range w.late {
			w.land(rec)
		}
		n.ask("b")
		w.pass(300*time.Millisecond, n)
		Expect(n.winners()).To(Equal([]string{"b>b"}))
	})

	// A reading that was begun before the append ended says nothing about it:
	// were it taken as proof, each claim on a slow log would be written twice.
	It("waits for a reading begun after the append's end", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		w.lose = loseRecord
		n.ask("a")
		begun := w.now
		w.now = w.now.Add(100 * time.Millisecond)
		n.do(n.Tick(w.now))
		n.do(n.CaughtUp(w.now, 0, begun))
		w.now = w.now.Add(100 * time.Millisecond)
		n.do(n.Tick(w.now))
		Expect(n.appends).To(Equal(1))
		n.do(n.CaughtUp(w.now, 0, w.now))
		Expect(n.appends).To(Equal(2))
	})

	// The claim of a has not landed, another home's claim of b holds the key,
	// and a's owner releases. The release must be written although nothing of
	// a was read: a's claim may land and stand behind b's.
	It("writes the release of a claim that may still land", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		w.lose = loseBoth
		n.ask("a")
		w.pass(100*time.Millisecond, n)
		w.land(claimOf("b"))
		n.read()
		Expect(n.winners()).To(Equal([]string{"a>b"}))
		w.lose = loseNothing
		n.giveUp("a")
		w.pass(100*time.Millisecond, n)
		Expect(w.log).To(ContainElement(releaseOf("a")))

		appends := n.appends
		n.ask("c")
		n.giveUp("c")
		w.pass(100*time.Millisecond, n)
		Expect(n.appends).To(Equal(appends), "the claim of c was never written")
	})

	// The log goes down while a claim waits: the caller is refused at once
	// instead of waiting for an outage to end, and so is whoever asks during it.
	It("gives no verdict at once while the log is down", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		n.ask("a")
		w.down = true
		n.do(n.Down(w.now, 0))
		n.ask("b")
		Expect(n.winners()).To(Equal([]string{"a>", "b>"}))
		n.giveUp("a")
		w.down = false
		w.pass(300*time.Millisecond, n)
		n.ask("c")
		w.pass(300*time.Millisecond, n)
		Expect(n.winners()).To(Equal([]string{"c>c"}))
	})
})

var _ = Describe("homes", func() {
	// Membership is in change and two entries believe to be the home. Each
	// writes its own request's claim; the log's order decides for both.
	It("agree when there are two at once", func() {
		w := newWorld()
		m, n := w.node(config()), w.node(config())
		m.read()
		n.read()
		m.ask("a")
		n.ask("b")
		w.pass(300*time.Millisecond, m, n)
		Expect(m.winners()).To(Equal([]string{"a>a"}))
		Expect(n.winners()).To(Equal([]string{"b>a"}))
	})

	// The home changes after it wrote a claim and before its verdict. The
	// owner asks the new home with the same id, while the caller's second try
	// asks too. The new home must say nothing before it has read back.
	It("change in the middle of a claim", func() {
		w := newWorld()
		m := w.node(config())
		m.read()
		m.ask("a")
		w.pass(60*time.Millisecond, m)
		n := w.node(config())
		n.ask("b")
		n.ask("a")
		n.do(n.Tick(w.now))
		n.do(n.Record(w.now, 0, 1, 0, w.log[0]))
		n.ask("c")
		Expect(n.winners()).To(BeEmpty())
		m.do(m.SetHome(w.now, nil))
		w.pass(100*time.Millisecond, m, n)
		Expect(n.winners()).To(Equal([]string{"b>a", "a>a", "c>a"}))
		Expect(m.reads).To(BeFalse())
	})

	It("give up a key after the horizon, not before", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		n.ask("a")
		w.pass(100*time.Millisecond, n)
		w.now = w.now.Add(horizon - time.Minute)
		n.ask("b")
		w.now = w.now.Add(2 * time.Minute)
		n.do(n.Tick(w.now))
		n.ask("c")
		w.pass(100*time.Millisecond, n)
		Expect(n.winners()).To(Equal([]string{"a>a", "b>a", "c>c"}))
	})

	It("share one record among claims of a batch", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		for i := range 100 {
			n.do(n.Ask(w.now, "owner", request.KeyHash(fmt.Sprint("k", i)), "a"))
		}
		w.pass(100*time.Millisecond, n)
		Expect(n.appends).To(Equal(2))
		Expect(n.winners()).To(HaveLen(100))
	})

	// Memory is full: a claim that is forgotten early would let its key run
	// twice, so new keys get no verdict, and known ones keep theirs.
	It("refuse new keys when full, and keep what they know", func() {
		cfg := config()
		cfg.MaxKeys = 10
		w := newWorld()
		n := w.node(cfg)
		n.read()
		for i := range 12 {
			n.do(n.Ask(w.now, "owner", request.KeyHash(fmt.Sprint("k", i)), "a"))
		}
		w.pass(100*time.Millisecond, n)
		Expect(n.Size()).To(Equal(10))
		n.do(n.Ask(w.now, "owner", "k0", "b"))
		Expect(n.winners()).To(ContainElements("a>", "b>a"))
	})

	// Other homes fill a partition beyond this one's memory. It can hold only
	// part of the claims, so it may speak for none of them until there is room.
	It("give a partition up that is too large, and read it again later", func() {
		cfg := config()
		cfg.MaxKeys = 10
		w := newWorld()
		n := w.node(cfg)
		for i := range 21 {
			w.land(record.Record{Claims: []record.Claim{{Key: request.KeyHash(fmt.Sprint("k", i)), ID: "a"}}})
		}
		n.read()
		Expect(n.reads).To(BeFalse())
		n.ask("b")
		Expect(n.winners()).To(Equal([]string{"b>"}))
		w.now = w.now.Add(horizon + time.Minute)
		w.pass(100*time.Millisecond, n)
		n.ask("c")
		w.pass(100*time.Millisecond, n)
		Expect(n.winners()).To(Equal([]string{"c>c"}))
	})
})
