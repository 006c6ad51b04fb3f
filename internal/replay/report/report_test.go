package report_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/replay/report"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "report")
}

const ms = time.Millisecond

// answered returns an idempotent engine request that was answered completely
// within 500 ms.
func answered(id string, tier request.Tier) report.Call {
	return report.Call{ID: id, Organisation: "o", Tier: tier, Pool: "p", Idempotent: true, Sent: 100 * ms, First: 200 * ms,
		Ended: 600 * ms, Deadline: time.Second, Settled: true, Status: outcome.Complete(), Attempts: 1,
		Gaps: []time.Duration{10 * ms, 20 * ms, 30 * ms}}
}

func refused(id string, tier request.Tier, reason outcome.Reason, sent, ended time.Duration) report.Call {
	return report.Call{ID: id, Organisation: "o", Tier: tier, Pool: "p", Idempotent: true, Sent: sent, Ended: ended,
		Settled: true, Status: outcome.Refused(reason, 300*ms, ""), Attempts: 1}
}

func run(id string, began, ended time.Duration) report.Run {
	return report.Run{Target: "t", Pool: "p", ID: id, Began: began, Ended: ended, Complete: true, PromptTokens: 100, ComputedPromptTokens: 80, CachedTokens: 20}
}

func computed(calls []report.Call, runs []report.Run) *report.Report {
	return report.Compute(report.Input{Tiers: []string{"high", "low"}, Calls: calls, Runs: runs})
}

var _ = Describe("the report of a hand-made replay", func() {
	It("counts outcomes, goodput, prefill and latencies", func() {
		late := answered("late", 0)
		late.Ended = 2 * time.Second
		slowStart := answered("slow-start", 0)
		slowStart.FirstTokenBy = 50 * ms
		broken := answered("broken", 1)
		broken.Status = outcome.Partial(outcome.ReasonTargetFailed, "")
		foreign := answered("foreign", 1)
		foreign.Fault = "answer of another request"
		silent := report.Call{ID: "silent", Tier: 1, Pool: "p", Idempotent: true}
		calls := []report.Call{answered("good", 0), late, slowStart, broken, foreign, silent,
			refused("no", 1, outcome.ReasonOverload, 0, 100*ms)}
		cut := run("broken", 100*ms, 300*ms)
		cut.Complete = false
		runs := []report.Run{run("good", 110*ms, 590*ms), run("late", 110*ms, 590*ms), run("slow-start", 110*ms, 590*ms), cut, run("foreign", 110*ms, 590*ms)}

		r := computed(calls, runs)
		Expect(r.Requests).To(Equal(7))
		Expect(r.Answered).To(Equal(3))
		Expect(r.RefusedNotRun).To(Equal(1))
		Expect(r.RanInPart).To(Equal(1))
		Expect(r.IncompleteAnswers).To(Equal(1))
		Expect(r.Unanswered).To(Equal(1))
		Expect(r.Goodput).To(HaveKeyWithValue("high", BeNumerically("~", 1.0/3, 1e-9)))
		Expect(r.Goodput).To(HaveKeyWithValue("low", 0.0))
		Expect(r.PrefillTokens).To(Equal(5 * 80))
		Expect(r.WastedPrefillTokens).To(Equal(2 * 80))
		Expect(r.LatePrefillTokens).To(Equal(2 * 80))
		Expect(r.FirstToken["high"]).To(Equal(report.Percentiles{Count: 3, Min: 100, P50: 100, P95: 100, P99: 100, Max: 100}))
		Expect(r.InterToken["high"].P50).To(Equal(20.0))
		Expect(r.InterToken["high"].P99).To(Equal(30.0))
		Expect(r.Refusals["low"]).To(HaveKeyWithValue(outcome.ReasonOverload, 1))
		Expect(r.RetryAfter.P50).To(Equal(300.0))
		Expect(r.TierInversions + r.DispatchedTwice + r.FalseNotRun + r.NonIdempotentRanTwice).To(BeZero())
	})

	It("counts an id that ran twice, and a key that ran under two ids", func() {
		first, second := answered("a", 0), answered("b", 0)
		first.Idempotent, first.Key = false, "k"
		second.Idempotent, second.Key = false, "k"
		r := computed([]report.Call{first, second}, []report.Run{run("a", 0, ms), run("b", 2*ms, 3*ms)})
		Expect(r.DispatchedTwice).To(BeZero())
		Expect(r.NonIdempotentRanTwice).To(Equal(1))
		r = computed([]report.Call{first, second}, []report.Run{run("a", 0, ms), run("a", 2*ms, 3*ms)})
		Expect(r.DispatchedTwice).To(Equal(1))
		Expect(r.NonIdempotentRanTwice).To(Equal(1))
	})

	It("counts \"not run\" as false if the id ran, or if its key had run and the refusal does not declare it", func() {
		no := refused("a", 0, outcome.ReasonNoTarget, 0, 10*ms)
		Expect(computed([]report.Call{no}, []report.Run{run("a", 20*ms, 30*ms)}).FalseNotRun).To(Equal(1))
		Expect(computed([]report.Call{no}, nil).FalseNotRun).To(BeZero())

		ran := answered("first", 0)
		ran.Idempotent, ran.Key = false, "k"
		no.Idempotent, no.Key = false, "k"
		before, after := run("first", 5*ms, 6*ms), run("first", 15*ms, 16*ms)
		Expect(computed([]report.Call{ran, no}, []report.Run{before}).FalseNotRun).To(Equal(1))
		Expect(computed([]report.Call{ran, no}, []report.Run{after}).FalseNotRun).To(BeZero())
		no.Status.Reason = outcome.ReasonDuplicateKey
		Expect(computed([]report.Call{ran, no}, []report.Run{before}).FalseNotRun).To(BeZero())
	})
})

// A request of the high tier arrives at 100 ms and is refused for load at 200 ms.
// Whether this is an inversion depends on the runs of the pool at 200 ms.
var _ = DescribeTable("tier inversions",
	func(reason outcome.Reason, low func(*report.Call), began, ended time.Duration, want int) {
		lower := answered("low", 1)
		low(&lower)
		calls := []report.Call{refused("high", 0, reason, 100*ms, 200*ms), lower}
		Expect(computed(calls, []report.Run{run("low", began, ended)}).TierInversions).To(Equal(want))
	},
	Entry("a lower run that began after the arrival", outcome.ReasonOverload, func(*report.Call) {}, 150*ms, 300*ms, 1),
	Entry("a lower idempotent run of an engine that began before", outcome.ReasonOverload, func(*report.Call) {}, 50*ms, 300*ms, 1),
	Entry("a lower run that has not ended in the ledger", outcome.ReasonOverload, func(*report.Call) {}, 50*ms, time.Duration(0), 1),
	Entry("a lower run that had ended", outcome.ReasonOverload, func(*report.Call) {}, 50*ms, 180*ms, 0),
	Entry("a lower run that began after the refusal", outcome.ReasonOverload, func(*report.Call) {}, 250*ms, 300*ms, 0),
	Entry("a refusal for another reason", outcome.ReasonMalformed, func(*report.Call) {}, 150*ms, 300*ms, 0),
	Entry("a run of the same tier", outcome.ReasonOverload, func(c *report.Call) { c.Tier = 0 }, 150*ms, 300*ms, 0),
	Entry("a run of another pool", outcome.ReasonOverload, func(c *report.Call) { c.ID = "elsewhere" }, 150*ms, 300*ms, 0),
	Entry("a non-idempotent run that began before", outcome.ReasonOverload, func(c *report.Call) { c.Idempotent = false }, 50*ms, 300*ms, 0),
	Entry("a non-idempotent run that began after the arrival", outcome.ReasonOverload, func(c *report.Call) { c.Idempotent = false }, 150*ms, 300*ms, 1),
)

var _ = It("counts an inversion only beyond the tolerance", func() {
	in := report.Input{Tiers: []string{"high", "low"}, Tolerance: 25 * ms,
		Calls: []report.Call{refused("high", 0, outcome.ReasonOverload, 100*ms, 200*ms), answered("low", 1)}}
	in.Runs = []report.Run{run("low", 50*ms, 220*ms)}
	Expect(report.Compute(in).TierInversions).To(BeZero())
	in.Runs = []report.Run{run("low", 50*ms, 230*ms)}
	Expect(report.Compute(in).TierInversions).To(Equal(1))
})
