package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
)

var _ = ginkgo.Describe("a dispatch that the table of ids denies", func() {
	// statusAfter dispatches a waiting request after change, and returns the
	// status that settles it.
	statusAfter := func(change func(l *singleEntry, f *flight)) outcome.Status {
		l := newSingleEntry(testDocument("first", 0))
		l.submit(1, nil)
		id := dispatched(l.outs)[0].ID
		f := l.flights[id]
		Expect(l.ids.RevertDispatch(l.now, id)).To(BeTrue())
		f.stage = stageWaiting
		change(l, f)
		l.Entry.out = nil
		l.dispatch(f, l.now.Add(time.Second))
		Expect(dispatched(l.Entry.out)).To(BeEmpty())
		return settledAs(l.Entry.out, id)
	}

	// The table already counts a dispatch of this id when a second one is due,
	// so a target may have started the request. "Not run" would make its caller
	// resend it under a new id and run it twice.
	ginkgo.It("reports unknown for a request that is no longer waiting", func() {
		status := statusAfter(func(l *singleEntry, f *flight) {
			Expect(l.ids.RecordDispatch(l.now, f.req.ID, f.target)).To(BeTrue())
		})
		Expect(status.Outcome).To(Equal(outcome.Unknown))
		Expect(status.Reason).To(Equal(outcome.ReasonVoided))
	})

	// A new document dropped the target between the grant and the dispatch. The
	// id is still waiting here, so the request did not run.
	ginkgo.It("refuses a waiting request whose target was dropped", func() {
		status := statusAfter(func(_ *singleEntry, f *flight) { f.target = "dropped" })
		Expect(status.Outcome).To(Equal(outcome.NotRun))
	})
})

// settledAs returns the status that settled an id.
func settledAs(outs []Output, id ident.RequestID) outcome.Status {
	for _, out := range outs {
		if s, is := out.(Settle); is && s.ID == id {
			return s.Status
		}
	}
	return outcome.Status{}
}
