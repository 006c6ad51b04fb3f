package live

import (
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/replay/trace"
)

// A caller sends a request to three entries at the same time under one id. The
// line and the two that repeat it run concurrently, so a repeat may come first. It
// must wait for the id, and each line must use a different entry of the list.
var _ = It("sends a repeated id to the next entry each time", func() {
	again := func(of int) trace.Line { return trace.Line{Resend: &trace.Resend{Of: of, SameID: true}} }
	lines := []trace.Line{{}, again(0), again(0), {}}
	r := &replay{
		options: Options{Trace: &trace.Trace{Lines: lines}}, tag: "t",
		ids: make([]atomic.Pointer[ident.RequestID], len(lines)), sends: make([]atomic.Int32, len(lines)),
	}
	type formed struct {
		id   ident.RequestID
		turn int
	}
	early := make(chan formed, 2)
	for _, index := range []int{1, 2} {
		go func() {
			id, turn := r.formID(index, "other.0.")
			early <- formed{id, turn}
		}()
	}
	id, turn := r.formID(0, "inc.0.")
	Expect([]formed{{id, turn}, <-early, <-early}).To(ConsistOf(formed{"inc.0.t-0", 0}, formed{"inc.0.t-0", 1}, formed{"inc.0.t-0", 2}))
	Expect([]int{r.source(0), r.source(1), r.source(2), r.source(3)}).To(Equal([]int{0, 0, 0, 3}))
})
