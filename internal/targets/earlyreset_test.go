package targets

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/answerhead/answerheadtest"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/inflight"
)

// Guards against the beginning of an answer passing for complete when its connection is reset while a long
// upload is still being written.
func TestResetDuringUploadTruncatesAnswer(t *testing.T) {
	const tries = 10
	for _, reset := range answerheadtest.EarlyResets() {
		for _, size := range []int{256 << 10, 8 << 20} {
			t.Run(fmt.Sprintf("%v, %d bytes", reset, size), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				address := reset.Serve(t, func(r *http.Request) string { return headerRequestID + ": " + r.Header.Get(headerRequestID) + "\r\n" })
				core := &fakeCore{}
				flights := inflight.NewRegistry(inflight.Config{MaxOpen: tries, Retain: time.Minute, RetainBytes: 1 << 20})
				targets := New(Config{Core: core, Flights: flights, Log: discardLogger()})
				defer targets.Close()
				for i := range tries {
					id := ident.RequestID(fmt.Sprint(i))
					_, _ = flights.Put(inflight.New(&inflight.Flight{ID: id, Kind: request.Service, Method: "POST", Path: "/"}, make([]byte, size), 1<<20))
					targets.Dispatch(entry.Dispatch{ID: id, Target: "s1", Address: address, Deadline: time.Now().Add(time.Minute), Kind: request.Service})
				}
				g.Eventually(func() []message.Result { return results(core) }, 10*time.Second).Should(HaveLen(tries))
				g.Expect(results(core)).NotTo(ContainElement(message.ResultComplete))
				g.Expect(results(core)).NotTo(ContainElement(message.ResultNotAdmitted))
			})
		}
	}
}
