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

// A coordinator reads the log. Then the requests with claims in it, and another
// one, claim the key.
var _ = DescribeTable("decides by the order of records in the log",
	func(log []record.Record, want ...string) {
		w := newWorld()
		for _, rec := range log {
			w.appendRecord(rec)
		}
		n := w.node(config())
		n.read()
		for _, id := range []ident.RequestID{"a", "b", "c"} {
			n.claim(id)
			w.advance(200*time.Millisecond, n)
		}
		Expect(n.winners()).To(Equal(want))
	},
	Entry("first claim holds the key", []record.Record{claimOf("a"), claimOf("b")}, "a>a", "b>a", "c>a"),
	Entry("repeated claim has no effect", []record.Record{claimOf("a"), claimOf("b"), claimOf("a")}, "a>a", "b>a", "c>a"),
	// The owner of a received no decision in time. It refused the request as "not
	// run", voided a and released its claim. The caller retries as b, which runs.
	Entry("claim after a release holds the key", []record.Record{claimOf("a"), releaseOf("a"), claimOf("b")}, "a>", "b>b", "c>b"),
	// As before, but the append of a's claim reaches the log after its release.
	// a must not hold the key, since it never runs.
	Entry("claim after its own release has no effect", []record.Record{releaseOf("a"), claimOf("a"), claimOf("b")}, "a>", "b>b", "c>b"),
	// a's claim preceded b's, which was not released; then a is released. b holds
	// the key, as it does for a reader that started after a's claim.
	Entry("claim after a released one holds the key", []record.Record{claimOf("a"), claimOf("b"), releaseOf("a"), claimOf("c")}, "a>", "b>b", "c>b"),
	Entry("second claim that was released does not hold the key", []record.Record{claimOf("a"), claimOf("b"), releaseOf("b"), releaseOf("a"), claimOf("c")}, "a>", "b>", "c>c"),
)

var _ = Describe("appends with faults", func() {
	DescribeTable("decides one claim despite the fault",
		func(fault appendFault, appends int) {
			w := newWorld()
			n := w.node(config())
			n.read()
			w.fault = fault
			n.claim("a")
			w.advance(100*time.Millisecond, n)
			w.fault = faultNone
			w.advance(500*time.Millisecond, n)
			Expect(n.winners()).To(Equal([]string{"a>a"}))
			Expect(n.appends).To(Equal(appends))
		},
		Entry("nothing lost", faultNone, 1),
		// The record is in the log, so reading it back decides the claim.
		Entry("answer lost", faultAnswerLost, 1),
		// A read begun after the append's end does not return the record, so it is
		// appended again while the caller waits.
		Entry("record and answer lost", faultRecordLost, 2),
		Entry("refused by the log", faultRefused, 2),
	)

	// The append seems lost, so the coordinator repeats it, and then the first one
	// reaches the log, too. Both records have the same id, so nothing changes.
	It("tolerates a second record of the same claim", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		w.fault = faultDelayed
		n.claim("a")
		w.advance(100*time.Millisecond, n)
		w.fault = faultNone
		w.advance(300*time.Millisecond, n)
		for _, rec := range w.delayed {
			w.appendRecord(rec)
		}
		n.claim("b")
		w.advance(300*time.Millisecond, n)
		Expect(n.winners()).To(Equal([]string{"a>a", "b>a"}))
	})

	// The outcome of the append is unknown until the claim times out: the owner
	// gets no decision, refuses the request as "not run", voids the id and releases
	// its claim. The claim reaches the log later and must not block the caller's
	// retry.
	It("lets the next request run after a timed-out claim reaches the log late", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		w.fault = faultDelayed
		n.claim("a")
		w.advance(timeout+time.Second, n)
		Expect(n.winners()).To(Equal([]string{"a>"}))
		w.fault = faultNone
		n.release("a")
		w.advance(200*time.Millisecond, n)
		for _, rec := range w.delayed {
			w.appendRecord(rec)
		}
		n.claim("b")
		w.advance(300*time.Millisecond, n)
		Expect(n.winners()).To(Equal([]string{"b>b"}))
	})

	// A read begun before the append ended does not show whether it took effect.
	// If it counted, each claim on a slow log would be appended twice.
	It("waits for a read begun after the append's end", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		w.fault = faultRecordLost
		n.claim("a")
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

	// The claim of a has not reached the log, the claim of b by another
	// coordinator holds the key, and a's owner releases its claim. The release must
	// be appended although no claim of a was read, since it may still follow b's.
	It("appends the release of a claim that may still reach the log", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		w.fault = faultDelayed
		n.claim("a")
		w.advance(100*time.Millisecond, n)
		w.appendRecord(claimOf("b"))
		n.read()
		Expect(n.winners()).To(Equal([]string{"a>b"}))
		w.fault = faultNone
		n.release("a")
		w.advance(100*time.Millisecond, n)
		Expect(w.log).To(ContainElement(releaseOf("a")))

		appends := n.appends
		n.claim("c")
		n.release("c")
		w.advance(100*time.Millisecond, n)
		Expect(n.appends).To(Equal(appends), "the claim of c was never appended")
	})

	// The log becomes unavailable while a claim is pending: it is refused at once
	// instead of waiting for the end of the outage, and so are claims during it.
	It("refuses claims at once while the log is unavailable", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		n.claim("a")
		w.down = true
		n.do(n.Down(w.now, 0))
		n.claim("b")
		Expect(n.winners()).To(Equal([]string{"a>", "b>"}))
		n.release("a")
		w.down = false
		w.advance(300*time.Millisecond, n)
		n.claim("c")
		w.advance(300*time.Millisecond, n)
		Expect(n.winners()).To(Equal([]string{"c>c"}))
	})
})

var _ = Describe("coordinators", func() {
	// During a membership change two entries coordinate the same partition. Each
	// appends the claim of its own request; the log's order decides for both.
	It("agree when there are two at once", func() {
		w := newWorld()
		m, n := w.node(config()), w.node(config())
		m.read()
		n.read()
		m.claim("a")
		n.claim("b")
		w.advance(300*time.Millisecond, m, n)
		Expect(m.winners()).To(Equal([]string{"a>a"}))
		Expect(n.winners()).To(Equal([]string{"b>a"}))
	})

	// The coordinator changes after a claim was appended and before its decision.
	// The owner repeats the claim at the new coordinator, where the caller's retry
	// claims the key, too. The new one must not decide before it has caught up.
	It("change between a claim and its decision", func() {
		w := newWorld()
		m := w.node(config())
		m.read()
		m.claim("a")
		w.advance(60*time.Millisecond, m)
		n := w.node(config())
		n.claim("b")
		n.claim("a")
		n.do(n.Tick(w.now))
		n.do(n.Record(w.now, 0, 1, 0, w.log[0]))
		n.claim("c")
		Expect(n.winners()).To(BeEmpty())
		m.do(m.SetPartitions(w.now, nil))
		w.advance(100*time.Millisecond, m, n)
		Expect(n.winners()).To(Equal([]string{"b>a", "a>a", "c>a"}))
		Expect(m.following).To(BeFalse())
	})

	It("expire a claim after the horizon, not before", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		n.claim("a")
		w.advance(100*time.Millisecond, n)
		w.now = w.now.Add(horizon - time.Minute)
		n.claim("b")
		w.now = w.now.Add(2 * time.Minute)
		n.do(n.Tick(w.now))
		n.claim("c")
		w.advance(100*time.Millisecond, n)
		Expect(n.winners()).To(Equal([]string{"a>a", "b>a", "c>c"}))
	})

	It("append the claims of a batch in one record", func() {
		w := newWorld()
		n := w.node(config())
		n.read()
		for i := range 100 {
			n.do(n.Claim(w.now, "owner", request.KeyHash(fmt.Sprint("k", i)), "a"))
		}
		w.advance(100*time.Millisecond, n)
		Expect(n.appends).To(Equal(2))
		Expect(n.winners()).To(HaveLen(100))
	})

	// Memory is full. Evicting a claim early would let two requests run for its
	// key, so new keys get no decision, and the known ones keep theirs.
	It("refuse new keys when full and keep known ones", func() {
		cfg := config()
		cfg.MaxKeys = 10
		w := newWorld()
		n := w.node(cfg)
		n.read()
		for i := range 12 {
			n.do(n.Claim(w.now, "owner", request.KeyHash(fmt.Sprint("k", i)), "a"))
		}
		w.advance(100*time.Millisecond, n)
		Expect(n.Size()).To(Equal(10))
		n.do(n.Claim(w.now, "owner", "k0", "b"))
		Expect(n.winners()).To(ContainElements("a>", "b>a"))
	})

	// Other coordinators fill a partition beyond this one's memory. It can hold
	// only part of the claims, so it decides none until there is enough memory.
	It("suspend a partition that is too large and read it again later", func() {
		cfg := config()
		cfg.MaxKeys = 10
		w := newWorld()
		n := w.node(cfg)
		for i := range 21 {
			w.appendRecord(record.Record{Claims: []record.Claim{{Key: request.KeyHash(fmt.Sprint("k", i)), ID: "a"}}})
		}
		n.read()
		Expect(n.following).To(BeFalse())
		n.claim("b")
		Expect(n.winners()).To(Equal([]string{"b>"}))
		w.now = w.now.Add(horizon + time.Minute)
		w.advance(100*time.Millisecond, n)
		n.claim("c")
		w.advance(100*time.Millisecond, n)
		Expect(n.winners()).To(Equal([]string{"c>c"}))
	})
})
