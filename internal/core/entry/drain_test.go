package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/message"
)

// drainFor lets time pass while the log rejects every append, and reports
// whether the drain has ended.
func (l *singleEntry) drainFor(d time.Duration) bool {
	for end := l.now.Add(d); l.now.Before(end); {
		l.outs = nil
		l.pass(100 * time.Millisecond)
		for _, out := range l.outs {
			if a, is := out.(Append); is {
				l.step(LogAppended{Tag: a.Tag, Failed: true})
			}
		}
	}
	return l.state == message.Stopped
}

// A planned stop must wait for a slow caller, and then end. The run has ended
// and nothing is in flight, but the edge reports an open answer. The drain ends
// once the answer's last byte has been sent.
var _ = ginkgo.It("a drain waits for an answer that has not been sent completely", func() {
	l := newSingleEntry(testDocument("first", 0))
	run := dispatched(l.submit(1, longDeadline))[0]
	l.step(DrainStart{})
	l.step(OpenAnswers{Open: 1})
	l.step(RunEnded{ID: run.ID, Result: message.ResultComplete, Wrote: true})
	Expect(l.drainFor(time.Minute)).To(BeFalse())
	Expect(l.flights).To(BeEmpty())
	Expect(l.stillHeld().Answers).To(Equal(1))
	l.step(OpenAnswers{})
	Expect(l.drainFor(time.Second)).To(BeTrue())
})
