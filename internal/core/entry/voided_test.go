package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
)

var _ = ginkgo.Describe("a dispatch that the ids' table turns down", func() {
	// wordOn dispatches a waiting request after change, and returns the word on it.
	wordOn := func(change func(l *lone, f *flight)) outcome.Status {
		l := newLone(testDocument("first", 0))
		l.submit(1, nil)
		id := dispatched(l.outs)[0].ID
		f := l.flights[id]
		Expect(l.ids.Undispatched(l.now, id)).To(BeTrue())
		f.stage = stageWaiting
		change(l, f)
		l.Entry.out = nil
		l.dispatch(f, l.now.Add(time.Second))
		Expect(dispatched(l.Entry.out)).To(BeEmpty())
		return settledAs(l.Entry.out, id)
	}

	// The caller sees "unknown". The id's table already counts a dispatch of this
	// id when a second one is due, so a target may have begun the request: "not
	// run" would have its caller send it again under a new id and run it twice.
	ginkgo.It("leaves open whether a request ran that is no longer waiting", func() {
		status := wordOn(func(l *lone, f *flight) {
			Expect(l.ids.Dispatched(l.now, f.req.ID, f.target)).To(BeTrue())
		})
		Expect(status.Outcome).To(Equal(outcome.Unknown))
		Expect(status.Reason).To(Equal(outcome.ReasonVoided))
	})

	// The caller sees "not run", which is true: a new document dropped the target
	// between the grant and the dispatch, and the id still waits here.
	ginkgo.It("refuses a waiting request whose target was dropped", func() {
		status := wordOn(func(_ *lone, f *flight) { f.target = "dropped" })
		Expect(status.Outcome).To(Equal(outcome.NotRun))
	})
})

// settledAs finds the word that was given on an id.
func settledAs(outs []Output, id ident.RequestID) outcome.Status {
	for _, out := range outs {
		if s, is := out.(Settle); is && s.ID == id {
			return s.Status
		}
	}
	return outcome.Status{}
}
