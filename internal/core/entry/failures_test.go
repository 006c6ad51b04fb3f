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

// play carries a script out, requires that it breaks no promise, and returns
// the world for what else is to be looked at.
func play(steps ...step) *world {
	w := schedule{seed: 1, steps: steps}.carryOut(nil)
	ExpectWithOffset(1, w.broken).To(BeEmpty())
	return w
}

// reasons counts what callers were told.
func (w *world) reasons() map[outcome.Reason]int {
	counts := map[outcome.Reason]int{}
	for _, c := range w.calls {
		if c.seen.Status.Outcome != outcome.Answered {
			counts[c.seen.Status.Reason]++
		}
	}
	return counts
}

// answered counts the calls that got a whole answer.
func (w *world) answered() int {
	n := 0
	for _, c := range w.calls {
		if c.seen.Status.Outcome == outcome.Answered {
			n++
		}
	}
	return n
}

// runs counts what the targets' ledgers hold.
func (w *world) runs() int {
	n := 0
	for _, t := range w.targets {
		n += len(t.ledger)
	}
	return n
}

var _ = ginkgo.Describe("Failures", func() {
	ginkgo.It("an entry is killed with runs at engines", func() {
		// Five requests run at engines for entry 1, which owns their ids; it dies
		// before their callers have a stream token. They ask other entries, which
		// find the owner gone. The engines go on, and the schedulers of their
		// targets know the runs: every caller gets its whole answer.
		w := play(step{0, burst, 1, 1, 4, 0}, step{60, killEntry, 1, 0, 0, 2}, step{1500, engineCall, 0, 0, 0, 0})
		Expect(w.reasons()).To(BeEmpty())
		Expect(w.answered()).To(Equal(6))
		Expect(w.runs()).To(Equal(6))
	})

	ginkgo.It("an entry is killed with calls of services", func() {
		// Two calls of a plain service are with entry 1 when it dies, and their
		// answers die with it. Whether they ran is not known elsewhere, so the word
		// is "unknown": "not run" could become a second release.
		w := play(step{0, serviceCall, 1, 1, 4, 0}, step{0, serviceCall, 1, 1, 4, 0}, step{60, killEntry, 1, 0, 0, 2},
			step{1500, engineCall, 0, 0, 0, 0})
		Expect(w.reasons()).To(Equal(map[outcome.Reason]int{outcome.ReasonOwnerReplaced: 2}))
		Expect(w.calls[len(w.calls)-1].seen.Status.Outcome).To(Equal(outcome.Answered))
	})

	ginkgo.It("an entry is paused past every validity, then wakes", func() {
		// Requests wait in entry 2 and for its answer when it stands still for
		// more than a second. Others take its targets. When it wakes it finds
		// grants, deadlines and membership from before, and must act on none:
		// what cannot be in time any more is refused for the pause.
		w := play(step{0, burst, 2, 2, 4, 0}, step{5, pauseEntry, 2, 0, 0, 5}, step{600, burst, 2, 2, 3, 0}, step{2200, engineCall, 2, 2, 0, 0})
		Expect(w.reasons()[outcome.ReasonProcessPaused]).To(BeNumerically(">", 0))
		Expect(w.calls[len(w.calls)-1].seen.Status.Outcome).To(Equal(outcome.Answered))
	})

	ginkgo.It("a target dies in the middle of a stream", func() {
		// The engine breaks two streams that it runs. Each may have had its
		// effect, so no other target runs it: the callers hear "ran in part".
		// What only waited there goes to the other engine.
		w := play(step{0, burst, 0, 0, 4, 0}, step{40, crashTarget, 0, 0, 0, 4})
		Expect(w.reasons()[outcome.ReasonTargetFailed]).To(Equal(1))
		Expect(w.answered()).To(BeNumerically(">=", 2))
	})

	ginkgo.It("the log is down for long", func() {
		// A call under a key cannot be claimed and is refused "not run"; all
		// else goes on. When the log is back the same key runs, once.
		w := play(step{0, logDown, 0, 0, 0, 9}, step{100, keyedCall, 0, 1, 0, 0}, step{100, engineCall, 0, 0, 0, 0}, step{2800, keyedCall, 0, 1, 0, 0})
		Expect(w.calls[0].seen.Status.Reason).To(Equal(outcome.ReasonLogUnavailable))
		Expect(w.calls[1].seen.Status.Outcome).To(Equal(outcome.Answered))
		Expect(w.calls[2].seen.Status.Outcome).To(Equal(outcome.Answered))
	})

	ginkgo.It("the log loses its answers after taking effect", func() {
		// Two entries claim one key; each append takes effect and its answer
		// is lost. Reading back settles which came first: one run, and the
		// other caller gets that run's answer.
		w := play(step{0, logLose, 0, 0, 0, 4}, step{10, keyedCall, 0, 1, 3, 0}, step{10, keyedCall, 2, 3, 3, 0})
		Expect(w.runs()).To(Equal(1))
		Expect(w.answered()).To(Equal(2))
	})

	ginkgo.It("the list lags by 30 s while a target leaves", func() {
		// The list goes on to show the target as it was. The target's own word,
		// by probe and by turning requests away, is what counts; requests that
		// it turned away provably did not run, and run elsewhere.
		w := play(step{0, listLag, 0, 0, 0, 9}, step{50, leaveTarget, 0, 0, 0, 0}, step{60, engineCall, 0, 0, 0, 0},
			step{60, engineCall, 0, 1, 0, 0}, step{1500, engineCall, 0, 2, 0, 0}, step{1500, engineCall, 0, 3, 0, 0})
		Expect(w.answered()).To(Equal(4))
	})

	ginkgo.It("two operators publish at once", func() {
		// Both documents name the version in force as their base. The log's
		// order decides, at every entry alike; the second is told who beat it.
		w := play(step{0, publishTwo, 0, 0, 0, 0})
		for _, n := range w.nodes {
			Expect(n.core.version).To(Equal(int64(3)))
			last := n.core.verdicts[len(n.core.verdicts)-1]
			Expect(last.Kind.String()).To(Equal("beaten"))
			Expect(last.Winner).To(Equal(n.core.doc.ID))
		}
	})

	ginkgo.It("an instance is replaced with nothing kept, while the log is out", func() {
		// The new process holds no document and cannot read one. It is not
		// ready, and no caller is sent to it, until a peer gives it what is in
		// force.
		w := play(step{0, logDown, 0, 0, 0, 9}, step{10, killEntry, 3, 0, 0, 1}, step{1500, engineCall, 3, 3, 0, 0})
		Expect(w.nodes[3].core.state).To(Equal(message.Ready))
		Expect(w.calls[0].seen.Status.Outcome).To(Equal(outcome.Answered))
	})

	ginkgo.DescribeTable("peers are cut off from each other", func(k kind) {
		// Offers and answers between entries 0 and 3 are lost, in one direction
		// or both. Neither may believe that it alone is left: requests go to
		// targets of schedulers that answer, or wait for the silence limit, and
		// after the cut all is as before.
		w := play(step{0, k, 0, 3, 0, 6}, step{20, burst, 0, 0, 1, 0}, step{700, burst, 3, 3, 0, 0}, step{2800, burst, 0, 3, 0, 0})
		for _, c := range w.calls[10:] {
			Expect(c.seen.Status.Outcome).To(Equal(outcome.Answered))
		}
		for _, n := range w.nodes {
			Expect(n.core.members.Live()).To(HaveLen(entries))
		}
	},
		ginkgo.Entry("both ways", cutBoth),
		ginkgo.Entry("one way", cutOneWay),
	)

	ginkgo.It("one request is sent to three entries at once", func() {
		// The id names its owner, entry 1. Whichever of the others asks first is
		// given the id; the rest follow that run. One run, four answers.
		w := play(step{0, engineCall, 1, 3, 3, 0}, step{1, threeAtOnce, 0, 0, 0, 0})
		Expect(w.runs()).To(Equal(1))
		Expect(w.answered()).To(Equal(4))
	})

	ginkgo.It("a request that crashes targets is sent again and again", func() {
		// Each engine that runs it dies. The first death makes all that ran
		// there suspects; the second, in which it ran alone, convicts it. From
		// then on it is refused everywhere, also by a replaced entry.
		w := play(step{0, poisonCall, 0, 0, 0, 0}, step{1500, poisonCall, 1, 1, 0, 0}, step{3500, poisonCall, 2, 2, 0, 0},
			step{3600, killEntry, 3, 0, 0, 0}, step{5000, poisonCall, 3, 3, 0, 0})
		Expect(w.runs()).To(Equal(2))
		Expect(w.reasons()[outcome.ReasonConvicted]).To(Equal(2))
	})

	ginkgo.It("a poisonous request is sent again at once", func() {
		// Its caller does not wait: each sending follows the death of the engine
		// that the last one killed, well within the second in which broken runs
		// count as one death. Two engines die; from then on it is refused.
		w := play(step{0, poisonCall, 0, 0, 0, 0}, step{300, poisonCall, 1, 1, 0, 0}, step{600, poisonCall, 2, 2, 0, 0},
			step{900, poisonCall, 3, 3, 0, 0})
		Expect(w.runs()).To(Equal(2))
		Expect(w.reasons()[outcome.ReasonConvicted]).To(Equal(2))
	})
})
