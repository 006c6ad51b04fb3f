package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/outcome"
)

// killAll kills all entries at a time; they are back 1.1 s later.
func killAll(at int) []step {
	steps := make([]step, 0, entries)
	for i := range entries {
		steps = append(steps, step{at, killEntry, i, 0, 0, 4})
	}
	return steps
}

// Guards against entries that take what they have not seen for what has not happened, after none is left
// that has seen it: the promises to callers are those of every schedule.
var _ = ginkgo.DescribeTable("all entries are killed", func(before, after []step, check func(w *world)) {
	w := runScript(slices.Concat(before, after)...)
	for _, n := range w.nodes {
		Expect(n.core.doc).NotTo(BeNil())
	}
	check(w)
},
	ginkgo.Entry("with calls of services", slices.Concat([]step{{0, serviceCall, 1, 1, 4, 0}, {0, serviceCall, 2, 2, 4, 0}}, killAll(60)),
		[]step{{2500, resend, 0, 0, 0, 0}, {2500, resend, 3, 0, 1, 0}, {3000, serviceCall, 1, 1, 4, 0}},
		func(w *world) {
			Expect(w.calls[len(w.calls)-1].seen.Status.Outcome).To(Equal(outcome.Answered))
			Expect(w.runs()).To(Equal(3))
		}),
	ginkgo.Entry("with a key", slices.Concat([]step{{0, keyedCall, 1, 1, 4, 0}}, killAll(200)),
		[]step{{2500, keyedCall, 2, 2, 4, 0}, {2600, keyedCall, 3, 3, 4, 0}},
		func(w *world) { Expect(w.runs()).To(Equal(1)) }),
	ginkgo.Entry("with a key, and the log is unavailable", slices.Concat([]step{{0, keyedCall, 1, 1, 4, 0}}, killAll(200), []step{{1000, logDown, 0, 0, 0, 6}}),
		[]step{{1500, keyedCall, 2, 2, 4, 0}, {4000, keyedCall, 3, 3, 4, 0}},
		func(w *world) { Expect(w.runs()).To(Equal(1)) }),
	ginkgo.Entry("after a request has been quarantined", slices.Concat([]step{{0, crashingCall, 0, 0, 0, 0}, {1500, crashingCall, 1, 1, 0, 0}}, killAll(3500)),
		[]step{{6000, crashingCall, 2, 2, 0, 0}, {6500, crashingCall, 3, 3, 0, 0}},
		func(w *world) {
			Expect(w.runs()).To(Equal(2))
			Expect(w.reasons()[outcome.ReasonQuarantined]).To(Equal(2))
		}),
	ginkgo.Entry("after a document has been published", slices.Concat([]step{{0, publishTwo, 0, 0, 0, 0}}, killAll(500)),
		[]step{{3000, engineCall, 0, 0, 0, 0}},
		func(w *world) {
			for _, n := range w.nodes {
				Expect(n.core.version).To(Equal(int64(3)))
			}
		}),
	ginkgo.Entry("after a target has left", slices.Concat([]step{{0, listLag, 0, 0, 0, 9}, {50, leaveTarget, 0, 0, 0, 0}}, killAll(500)),
		[]step{{2500, engineCall, 0, 0, 0, 0}, {2500, engineCall, 1, 1, 0, 0}, {3000, engineCall, 2, 2, 0, 0}, {3000, engineCall, 3, 3, 0, 0}},
		func(w *world) { Expect(w.reasons()).To(BeEmpty()) }),
)

// TestSchedulesWithLossOfAll adds the loss of all entries to drawn schedules.
func TestSchedulesWithLossOfAll(t *testing.T) {
	const workers, each = 2, 150
	for worker := range workers {
		t.Run(fmt.Sprint(worker), func(t *testing.T) {
			t.Parallel()
			for i := worker * each; i < (worker+1)*each; i++ {
				s := schedules.Example(i)
				s.steps = slices.Concat(s.steps, killAll(100+i*7%1500))
				if broken := s.run(nil); len(broken) > 0 {
					t.Fatalf("%s\n%s", strings.Join(broken, "\n"), s)
				}
			}
		})
	}
}
