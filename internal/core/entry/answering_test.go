package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/message"
)

// drainFor lets time pass with a log that turns every append down, and reports
// whether the drain is over.
func (l *lone) drainFor(d time.Duration) bool {
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

// The process of a planned stop does not exit. The run has ended and nothing is
// in flight, but a caller reads slowly: the edge says that an answer is open.
// Once its last byte has left, the drain is over.
var _ = ginkgo.It("a drain waits for an answer that has not left", func() {
	l := newLone(testDocument("first", 0))
	run := dispatched(l.submit(1, patient))[0]
	l.step(DrainStart{})
	l.step(Answering{Open: 1})
	l.step(RunEnded{ID: run.ID, Result: message.ResultComplete, Wrote: true})
	Expect(l.drainFor(time.Minute)).To(BeFalse())
	Expect(l.flights).To(BeEmpty())
	Expect(l.stillHeld().Answers).To(Equal(1))
	l.step(Answering{})
	Expect(l.drainFor(time.Second)).To(BeTrue())
})
