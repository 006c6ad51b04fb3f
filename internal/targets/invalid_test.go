package targets

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus/hooks/test"

	"sycamoretrail/internal/answerhead/answerheadtest"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/eventstream"
	"sycamoretrail/internal/inflight"
)

const namesRun = headerRequestID + ": a\r\n"

// Guards against a service's answer whose head violates the protocol reaching its caller, or passing for a
// request that has not run.
func TestInvalidAnswersOfServicesAreRefused(t *testing.T) {
	for name, answer := range answerheadtest.Invalid() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			core, targets := dispatchToService(answerheadtest.Serve(t, func(*http.Request) string { return answer.Text(namesRun) }))
			defer targets.Close()
			g.Eventually(func() []message.Result { return results(core) }).Should(Equal([]message.Result{message.ResultAborted}))
			for _, in := range core.received() {
				if ended, is := in.(entry.RunEnded); is {
					g.Expect(ended.Wrote).To(BeTrue(), "it may have run")
				}
			}
		})
	}
}

// Guards against an engine's invalid answer reaching its caller: it is replaced by the stream that the engine
// holds.
func TestInvalidAnswersOfEnginesAreReplaced(t *testing.T) {
	stream := "id: 0\ndata: x\n\ndata: [DONE]\n\n"
	for name, answer := range answerheadtest.Invalid() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			address := answerheadtest.Serve(t, func(r *http.Request) string {
				if r.Method == http.MethodPost {
					return answer.Text(namesRun + "Content-Type: " + eventstream.ContentType + "\r\n")
				}
				return "HTTP/1.1 200 OK\r\nContent-Type: " + eventstream.ContentType + "\r\n\r\n" + stream
			})
			core := &fakeCore{}
			flights := inflight.NewRegistry(inflight.Config{MaxOpen: 1, Retain: time.Minute, RetainBytes: 1 << 20})
			f, _ := flights.Put(inflight.New(&inflight.Flight{ID: "a", Kind: request.Engine, Method: "POST", Path: "/", Stream: true}, []byte("{}"), 1<<20))
			targets := New(Config{Core: core, Flights: flights, Log: discardLogger()})
			defer targets.Close()
			targets.Dispatch(entry.Dispatch{ID: ident.RequestID("a"), Target: "e1", Address: address, Deadline: time.Now().Add(time.Minute)})
			g.Eventually(func() []message.Result { return results(core) }).Should(Equal([]message.Result{message.ResultComplete}))
			g.Expect(f.Answer.Next()).To(Equal(1))
		})
	}
}

// Guards against an invalid answer to a probe, an order or a cancellation counting as one.
func TestInvalidAnswersToControlCallsAreErrors(t *testing.T) {
	for name, answer := range answerheadtest.Invalid() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			address := answerheadtest.Serve(t, func(*http.Request) string { return answer.Text("") })
			targets := New(Config{Core: &fakeCore{}, Log: discardLogger()})
			defer targets.Close()
			g.Expect(targets.requestState("e1", address, true).Reachable).To(BeFalse())
			g.Expect(targets.order(entry.Order{Target: "e1", Address: address})).To(Equal(entry.OrderDone{Target: "e1", Failed: true}))
			_, _, err := targets.call(address, http.MethodDelete, streamPath("a"), nil)
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// Guards against invalid answers that operators can't tell from lost connections.
func TestInvalidAnswersAreLogged(t *testing.T) {
	g := NewWithT(t)
	answer := answerheadtest.Invalid()[`name "X Broken"`]
	address := answerheadtest.Serve(t, func(*http.Request) string { return answer.Text("") })
	logger, hook := test.NewNullLogger()
	targets := New(Config{Core: &fakeCore{}, Log: logger})
	defer targets.Close()
	for range 3 {
		targets.requestState("e1", address, true)
	}
	g.Expect(targets.InvalidAnswers()).To(Equal(int64(3)))
	g.Expect(hook.AllEntries()).To(HaveLen(1), "one line in a second")
	line, err := hook.LastEntry().String()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(line).To(ContainSubstring("not a token"))
}
