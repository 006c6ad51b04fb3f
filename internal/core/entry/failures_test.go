package entry

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "entry")
}

// runScript runs a script, requires that no promise is broken, and returns the
// world for further checks.
func runScript(steps ...step) *world {
	w := schedule{seed: 1, steps: steps}.simulate(nil)
	ExpectWithOffset(1, w.violations).To(BeEmpty())
	return w
}

// reasons counts the reasons of the calls that got no complete answer.
func (w *world) reasons() map[outcome.Reason]int {
	counts := map[outcome.Reason]int{}
	for _, c := range w.calls {
		if c.seen.Status.Outcome != outcome.Answered {
			counts[c.seen.Status.Reason]++
		}
	}
	return counts
}

// answered counts the calls that got a complete answer.
func (w *world) answered() int {
	n := 0
	for _, c := range w.calls {
		if c.seen.Status.Outcome == outcome.Answered {
			n++
		}
	}
	return n
}

// runs counts the runs in the targets' ledgers.
func (w *world) runs() int {
	n := 0
	for _, t := range w.targets {
		n += len(t.ledger)
	}
	return n
}

var _ = ginkgo.Describe("Failures", func() {
	ginkgo.It("an entry is killed with runs at engines", func() {
		// Five requests whose ids belong to entry 1 run at engines when it is
		// killed, before their callers have stream tokens. The callers turn to
		// other entries, which find that the owner has departed. The engines
		// continue and the schedulers of their targets have the runs, so every
		// caller gets its complete answer.
		w := runScript(step{0, burst, 1, 1, 4, 0}, step{60, killEntry, 1, 0, 0, 2}, step{1500, engineCall, 0, 0, 0, 0})
		Expect(w.reasons()).To(BeEmpty())
		Expect(w.answered()).To(Equal(6))
		Expect(w.runs()).To(Equal(6))
	})

	ginkgo.It("an entry is killed with calls of services", func() {
		// Entry 1 holds two calls of a plain service when it is killed, and
		// their answers are lost with it. No other entry can tell whether they
		// ran, so the outcome is unknown: "not run" could cause a second
		// release.
		w := runScript(step{0, serviceCall, 1, 1, 4, 0}, step{0, serviceCall, 1, 1, 4, 0}, step{60, killEntry, 1, 0, 0, 2},
			step{1500, engineCall, 0, 0, 0, 0})
		Expect(w.reasons()).To(Equal(map[outcome.Reason]int{outcome.ReasonOwnerReplaced: 2}))
		Expect(w.calls[len(w.calls)-1].seen.Status.Outcome).To(Equal(outcome.Answered))
	})

	ginkgo.It("an entry is paused until everything has expired, then resumes", func() {
		// Requests wait in and for entry 2 when it is paused for more than a
		// second, and other entries take over its targets. When it resumes it
		// must not act on the grants, deadlines and membership from before.
		// Requests that can no longer meet their deadline are refused with the
		// pause as reason.
		w := runScript(step{0, burst, 2, 2, 4, 0}, step{5, pauseEntry, 2, 0, 0, 5}, step{600, burst, 2, 2, 3, 0}, step{2200, engineCall, 2, 2, 0, 0})
		Expect(w.reasons()[outcome.ReasonProcessPaused]).To(BeNumerically(">", 0))
		Expect(w.calls[len(w.calls)-1].seen.Status.Outcome).To(Equal(outcome.Answered))
	})

	ginkgo.It("a target crashes in the middle of a stream", func() {
		// The engine's running streams break off. Each may have had its effect,
		// so no other target runs it and the callers get "ran in part".
		// Requests that only waited there move to the other engine.
		w := runScript(step{0, burst, 0, 0, 4, 0}, step{40, crashTarget, 0, 0, 0, 4})
		Expect(w.reasons()[outcome.ReasonTargetFailed]).To(Equal(1))
		Expect(w.answered()).To(BeNumerically(">=", 2))
	})

	ginkgo.It("the log is unavailable for a long time", func() {
		// A call with a key cannot be claimed and is refused as "not run"; all
		// other requests are served. When the log is available again, the same
		// key runs once.
		w := runScript(step{0, logDown, 0, 0, 0, 9}, step{100, keyedCall, 0, 1, 0, 0}, step{100, engineCall, 0, 0, 0, 0}, step{2800, keyedCall, 0, 1, 0, 0})
		Expect(w.calls[0].seen.Status.Reason).To(Equal(outcome.ReasonLogUnavailable))
		Expect(w.calls[1].seen.Status.Outcome).To(Equal(outcome.Answered))
		Expect(w.calls[2].seen.Status.Outcome).To(Equal(outcome.Answered))
	})

	ginkgo.It("the log loses its answers after taking effect", func() {
		// Two entries claim one key. Each append takes effect and its answer is
		// lost. Reading the log back shows which came first: there is one run,
		// and the other caller gets its answer.
		w := runScript(step{0, logLose, 0, 0, 0, 4}, step{10, keyedCall, 0, 1, 3, 0}, step{10, keyedCall, 2, 3, 3, 0})
		Expect(w.runs()).To(Equal(1))
		Expect(w.answered()).To(Equal(2))
	})

	ginkgo.It("the list lags by 30 s while a target leaves", func() {
		// The list still shows the target as before. The target itself reports
		// that it leaves, by its probe and by refusing requests, and that
		// counts. The refused requests provably did not run, and run elsewhere.
		w := runScript(step{0, listLag, 0, 0, 0, 9}, step{50, leaveTarget, 0, 0, 0, 0}, step{60, engineCall, 0, 0, 0, 0},
			step{60, engineCall, 0, 1, 0, 0}, step{1500, engineCall, 0, 2, 0, 0}, step{1500, engineCall, 0, 3, 0, 0})
		Expect(w.answered()).To(Equal(4))
	})

	ginkgo.It("two operators publish at once", func() {
		// Both documents are based on the version in force. The order in the
		// log decides, in the same way at every entry; the result for the
		// second names the document that superseded it.
		w := runScript(step{0, publishTwo, 0, 0, 0, 0})
		for _, n := range w.nodes {
			Expect(n.core.version).To(Equal(int64(3)))
			last := n.core.documentResults[len(n.core.documentResults)-1]
			Expect(last.Kind.String()).To(Equal("beaten"))
			Expect(last.Winner).To(Equal(n.core.doc.ID))
		}
	})

	ginkgo.It("an instance is replaced without its data while the log is unavailable", func() {
		// The new process holds no document and cannot read one. It is not
		// ready and gets no callers until a peer sends it the document in
		// force.
		w := runScript(step{0, logDown, 0, 0, 0, 9}, step{10, killEntry, 3, 0, 0, 1}, step{1500, engineCall, 3, 3, 0, 0})
		Expect(w.nodes[3].core.state).To(Equal(message.Ready))
		Expect(w.calls[0].seen.Status.Outcome).To(Equal(outcome.Answered))
	})

	ginkgo.DescribeTable("the network between two entries is partitioned", func(k kind) {
		// Messages between entries 0 and 3 are lost in one direction or both.
		// Neither may conclude that it is the only entry left: requests go to
		// targets of schedulers that answer, or wait for the failure-detection
		// timeout, and the previous state returns after the partition.
		w := runScript(step{0, k, 0, 3, 0, 6}, step{20, burst, 0, 0, 1, 0}, step{700, burst, 3, 3, 0, 0}, step{2800, burst, 0, 3, 0, 0})
		for _, c := range w.calls[10:] {
			Expect(c.seen.Status.Outcome).To(Equal(outcome.Answered))
		}
		for _, n := range w.nodes {
			Expect(n.core.members.Live()).To(HaveLen(entries))
		}
	},
		ginkgo.Entry("both ways", blockBothWays),
		ginkgo.Entry("one way", blockOneWay),
	)

	ginkgo.It("one request is sent to three entries at once", func() {
		// The id names its owner, entry 1. The first of the other entries to
		// query it gets the id; the rest follow that entry's run. There is one
		// run and four answers.
		w := runScript(step{0, engineCall, 1, 3, 3, 0}, step{1, threeAtOnce, 0, 0, 0, 0})
		Expect(w.runs()).To(Equal(1))
		Expect(w.answered()).To(Equal(4))
	})

	ginkgo.It("a request that crashes targets is resent repeatedly", func() {
		// Each engine that runs the request crashes. The first crash makes all
		// requests that ran there suspects. In the second crash it ran in
		// isolation, so it is quarantined. From then on every entry refuses it,
		// a replaced one included.
		w := runScript(step{0, crashingCall, 0, 0, 0, 0}, step{1500, crashingCall, 1, 1, 0, 0}, step{3500, crashingCall, 2, 2, 0, 0},
			step{3600, killEntry, 3, 0, 0, 0}, step{5000, crashingCall, 3, 3, 0, 0})
		Expect(w.runs()).To(Equal(2))
		Expect(w.reasons()[outcome.ReasonQuarantined]).To(Equal(2))
	})

	ginkgo.It("a crashing request is resent at once", func() {
		// The caller does not wait: it resends the request after each crash,
		// well within the second in which runs that break off count as one
		// crash. Two engines crash; from then on the request is refused.
		w := runScript(step{0, crashingCall, 0, 0, 0, 0}, step{300, crashingCall, 1, 1, 0, 0}, step{600, crashingCall, 2, 2, 0, 0},
			step{900, crashingCall, 3, 3, 0, 0})
		Expect(w.runs()).To(Equal(2))
		Expect(w.reasons()[outcome.ReasonQuarantined]).To(Equal(2))
	})
})
