package targets

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/platform/platformtest"
)

func serveArrivals(t *testing.T, handle func(*platformtest.Arrival)) (address string) {
	server, err := platformtest.NewServer("s1", "service", handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address()
}

// Guards against a late copy of a rejection passing for the answer to the next dispatch of the same
// request, which then runs.
func TestLateCopyOfRejectionIsNotTheAnswerToTheNextDispatch(t *testing.T) {
	g := NewWithT(t)
	var mutex sync.Mutex
	var rejected *platformtest.Arrival
	reject := func(a *platformtest.Arrival) {
		a.Answer(http.StatusServiceUnavailable, headerNotAdmitted+": full\r\n", "")
	}
	address := serveArrivals(t, func(a *platformtest.Arrival) {
		mutex.Lock()
		first := rejected
		if first == nil {
			rejected = a
		}
		mutex.Unlock()
		if first == nil {
			reject(a)
			return
		}
		time.Sleep(20 * time.Millisecond)
		reject(first)
		time.Sleep(40 * time.Millisecond)
		a.Answer(http.StatusOK, "", "done")
	})
	core, targets := dispatchToService(address)
	defer targets.Close()
	g.Eventually(func() []message.Result { return results(core) }).Should(Equal([]message.Result{message.ResultNotAdmitted}))
	targets.Dispatch(entry.Dispatch{ID: "a", Target: "s1", Address: address, Deadline: time.Now().Add(time.Minute), Kind: request.Service})
	g.Eventually(func() []message.Result { return results(core) }).Should(Equal([]message.Result{message.ResultNotAdmitted, message.ResultComplete}))
}

// Guards against an answer to another request passing for the answer to this one.
func TestAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	address := serveArrivals(t, func(a *platformtest.Arrival) {
		a.Header.Set(headerRequestID, "another")
		a.Answer(http.StatusOK, "", "foreign")
	})
	core, targets := dispatchToService(address)
	defer targets.Close()
	g.Eventually(func() []message.Result { return results(core) }).Should(Equal([]message.Result{message.ResultAborted}))
	status, _, err := targets.call(address, http.MethodGet, "/ready", nil)
	g.Expect(err).To(MatchError(errForeign), "status %d", status)
}

// Guards against a control call reading an answer that doesn't end until its timeout, or into all of
// the memory.
func TestEndlessAnswerToControlCallIsGivenUp(t *testing.T) {
	for name, answer := range platformtest.Endless {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			targets := New(Config{Core: &fakeCore{}, Log: discardLogger()})
			defer targets.Close()
			began := time.Now()
			_, body, err := targets.call(serveArrivals(t, answer), http.MethodGet, "/ready", nil)
			g.Expect(err).To(HaveOccurred())
			g.Expect(len(body)).To(BeNumerically("<=", maxControlAnswer))
			g.Expect(time.Since(began)).To(BeNumerically("<", targets.cfg.ControlTimeout/2))
		})
	}
}
