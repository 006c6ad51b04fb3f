package drain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/drain"
)

var start = time.Unix(1_700_000_000, 0)

var cfg = drain.Config{PeerTimeout: time.Second, AnswerTTL: 5 * time.Second, Bound: 30 * time.Second}

var _ = Describe("Drain", func() {
	busy := drain.Held{InFlight: 1}

	DescribeTable("stages",
		func(after time.Duration, held drain.Held, want drain.Stage, takes bool) {
			d := drain.New(cfg)
			Expect(d.Tick(start, held)).To(Equal(drain.Serving))
			Expect(d.NamesSelf() && d.Schedules() && d.AcceptsRequests()).To(BeTrue())
			d.Start(start)
			Expect(d.Tick(start.Add(after), held)).To(Equal(want))
			Expect(d.NamesSelf() || d.Schedules()).To(BeFalse())
			Expect(d.AcceptsRequests()).To(Equal(takes))
		},
		Entry("at once", time.Duration(0), drain.Held{}, drain.Leaving, true),
		Entry("peers informed", time.Second, drain.Held{}, drain.Taking, true),
		Entry("nothing in flight, an answer still valid", 5*time.Second, drain.Held{}, drain.Taking, true),
		Entry("answers expired, one in flight", 6*time.Second, busy, drain.Finishing, false),
		Entry("answers expired, an answer's end not sent", 6*time.Second, drain.Held{Answers: 1}, drain.Finishing, false),
		Entry("answers expired, a target not handed over", 6*time.Second, drain.Held{Targets: 1}, drain.Finishing, false),
		Entry("answers expired, outcome of an append unknown", 6*time.Second, drain.Held{Appends: 1}, drain.Finishing, false),
		Entry("answers expired, nothing held", 6*time.Second, drain.Held{}, drain.Drained, false),
		Entry("one in flight for a long time", time.Hour, busy, drain.Finishing, false),
	)

	// A stream outlasts the drain bound. Its caller must receive the complete answer:
	// the entry reports what it holds, continues, and is drained only after the end.
	It("aborts nothing after the bound", func() {
		d := drain.New(cfg)
		d.Start(start)
		d.Tick(start.Add(30*time.Second), busy)
		Expect(d.Report(start.Add(30 * time.Second)).Overdue).To(BeFalse())
		now := start.Add(31 * time.Second)
		Expect(d.Tick(now, busy)).To(Equal(drain.Finishing))
		Expect(d.Report(now)).To(Equal(drain.Report{Stage: drain.Finishing, Since: 31 * time.Second, Overdue: true, Held: busy}))
		Expect(d.Tick(now, drain.Held{})).To(Equal(drain.Drained))
		Expect(d.Report(now).Overdue).To(BeFalse())
	})

	// The operator shortens the validity of answers during a stop. Answers given before
	// are still valid, so new requests must still be accepted.
	It("never shortens its stages", func() {
		d := drain.New(cfg)
		d.Start(start)
		d.Configure(drain.Config{Bound: cfg.Bound})
		d.Start(start.Add(3 * time.Second))
		Expect(d.Tick(start.Add(5*time.Second), drain.Held{})).To(Equal(drain.Taking))
		d.Configure(drain.Config{PeerTimeout: time.Second, AnswerTTL: 9 * time.Second})
		Expect(d.Tick(start.Add(9*time.Second), drain.Held{})).To(Equal(drain.Taking))
		Expect(d.Tick(start.Add(10*time.Second), drain.Held{})).To(Equal(drain.Drained))
	})
})
