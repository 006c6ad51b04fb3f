package targets

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/inflight"
)

func TestTargets(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "targets")
}

// FuzzEventReader reads arbitrary bytes at once and byte by byte. It checks that there is no
// panic, that both ways give the same events, and that token numbers are bounded.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 0\ndata: a\n\ndata: b\ndata: c\n\n")
	f.Add(": note\r\nid: 7\r\ndata:x\r\n\r\ndata: [DONE]\n\n")
	f.Add("id: -1\ndata: a\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		whole, errWhole := readAll(strings.NewReader(in))
		split, errSplit := readAll(iotest.OneByteReader(strings.NewReader(in)))
		if strings.Join(whole, "\x00") != strings.Join(split, "\x00") {
			t.Fatalf("whole %q, split %q", whole, split)
		}
		if errors.Is(errWhole, io.EOF) != errors.Is(errSplit, io.EOF) {
			t.Fatalf("whole: %v, split: %v", errWhole, errSplit)
		}
	})
}

func readAll(src io.Reader) (events []string, err error) {
	r := newEventReader(src)
	for {
		ev, err := r.next()
		if err != nil {
			return events, err
		}
		if ev.id < -1 || ev.id > maxEventID {
			return events, errStream
		}
		events = append(events, string(ev.data))
	}
}

// fakeCore records inputs. It can be set to be full.
type fakeCore struct {
	mu     sync.Mutex
	inputs []entry.Input
	full   bool
}

func (c *fakeCore) Submit(in entry.Input) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.full {
		return false
	}
	c.inputs = append(c.inputs, in)
	return true
}

func (c *fakeCore) setFull(full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.full = full
}

func (c *fakeCore) received() []entry.Input {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]entry.Input(nil), c.inputs...)
}

var _ = Describe("Targets", func() {
	var core *fakeCore
	var flights *inflight.Registry
	var t *Targets
	start := func(cfg Config) {
		core = &fakeCore{}
		flights = inflight.NewRegistry(inflight.Config{MaxOpen: 16, Retain: time.Minute, RetainBytes: 1 << 20})
		cfg.Core, cfg.Flights, cfg.Log = core, flights, discardLogger()
		t = New(cfg)
	}
	serve := func(handler fasthttp.RequestHandler) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		srv := &fasthttp.Server{Handler: handler, Logger: discardLogger()}
		go func() { _ = srv.Serve(ln) }()
		DeferCleanup(func() { _ = srv.Shutdown() })
		return ln.Addr().String()
	}
	add := func(id ident.RequestID, kind request.Kind) *inflight.Flight {
		f, _ := flights.Put(inflight.New(&inflight.Flight{ID: id, Kind: kind, Method: "POST", Path: "/v1/completions", Stream: true}, []byte("{}"), 1<<20))
		return f
	}
	dispatch := func(id ident.RequestID, address string, within time.Duration) {
		t.Dispatch(entry.Dispatch{ID: id, Target: "e1", Address: address, Deadline: time.Now().Add(within)})
	}
	event := func(i string) string { return "id: " + i + "\ndata: x\n\n" }

	// The core must get the start, the progress and the end in this order. The ring is
	// full for a while; inputs that must arrive wait for it and are not lost.
	It("delivers inputs to the core in order, also after its ring was full", func() {
		start(Config{})
		address := serve(func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyString(event("0") + event("1") + "data: [DONE]\n\n")
		})
		core.setFull(true)
		f := add("a", request.Engine)
		dispatch("a", address, time.Minute)
		Eventually(f.Answer.Ended).ShouldNot(BeNil())
		Expect(core.received()).To(BeEmpty())
		core.setFull(false)
		Eventually(core.received).Should(HaveLen(3))
		in := core.received()
		Expect(in[0]).To(Equal(entry.RunStarted{ID: "a"}))
		Expect(in[1]).To(Equal(entry.RunProgress{ID: "a", Tokens: 1}))
		ended := in[2].(entry.RunEnded)
		Expect(ended.Result).To(Equal(message.ResultComplete))
		Expect(ended.Sample.Tokens).To(Equal(2))
	})

	It("reports not admitted if all workers are busy, and for an unknown flight", func() {
		start(Config{MaxRuns: 1})
		release := make(chan struct{})
		began := make(chan struct{}, 2)
		address := serve(func(ctx *fasthttp.RequestCtx) {
			began <- struct{}{}
			<-release
		})
		add("a", request.Engine)
		add("b", request.Engine)
		dispatch("a", address, time.Minute)
		Eventually(began).Should(Receive())
		dispatch("b", address, time.Minute)
		dispatch("zz", address, time.Minute)
		Eventually(core.received).Should(ContainElements(
			entry.RunEnded{ID: "b", Result: message.ResultNotAdmitted},
			entry.RunEnded{ID: "zz", Result: message.ResultNotAdmitted}))
		Expect(began).To(BeEmpty())
		close(release)
	})

	// The engine sends one token and then nothing until the deadline passes. The engine
	// must get a DELETE, and the core the result "cancelled".
	It("cancels at the engine when the deadline passes", func() {
		start(Config{ResumeAttempts: 1})
		deleted := make(chan struct{})
		address := serve(func(ctx *fasthttp.RequestCtx) {
			if ctx.IsDelete() {
				close(deleted)
				return
			}
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
				_, _ = w.WriteString(event("0"))
				_ = w.Flush()
				<-deleted
			})
		})
		add("a", request.Engine)
		dispatch("a", address, 50*time.Millisecond)
		Eventually(deleted).Should(BeClosed())
		Eventually(core.received).Should(ContainElement(HaveField("Result", message.ResultCancelled)))
	})

	// The grant expires while the stream runs, as for every long answer and after a
	// suspension of this process. Then the connection breaks while the engine continues.
	// The rest must be requested from the engine, and the run must end complete.
	It("resumes a stream whose grant has expired since the dispatch", func() {
		start(Config{ResumePause: time.Millisecond})
		notAfter := time.Now().Add(200 * time.Millisecond)
		address := serve(func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/event-stream")
			if ctx.IsGet() {
				ctx.SetBodyString(event("1") + "data: [DONE]\n\n")
				return
			}
			ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
				_, _ = w.WriteString(event("0"))
				_ = w.Flush()
				time.Sleep(time.Until(notAfter) + time.Millisecond)
			})
		})
		add("a", request.Engine)
		t.Dispatch(entry.Dispatch{ID: "a", Target: "e1", Address: address, Deadline: time.Now().Add(time.Minute), NotAfter: notAfter})
		var ended entry.RunEnded
		Eventually(func() bool {
			for _, in := range core.received() {
				if e, is := in.(entry.RunEnded); is {
					ended = e
					return true
				}
			}
			return false
		}).WithTimeout(10 * time.Second).Should(BeTrue())
		Expect(ended.Result).To(Equal(message.ResultComplete))
	})

	// The engine's connection sends nothing after a token, and is not closed. The rest
	// must be read over another connection, so that the caller gets the complete answer.
	It("resumes a stream whose connection stops sending", func() {
		start(Config{IdleTimeout: 20 * time.Millisecond})
		release := make(chan struct{})
		address := serve(func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/event-stream")
			if ctx.IsGet() {
				ctx.SetBodyString(event("1") + "data: [DONE]\n\n")
				return
			}
			ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
				_, _ = w.WriteString(event("0"))
				_ = w.Flush()
				<-release
			})
		})
		f := add("a", request.Engine)
		dispatch("a", address, time.Minute)
		Eventually(f.Answer.Ended).ShouldNot(BeNil())
		close(release)
		Expect(f.Answer.Ended().Status).To(Equal(outcome.Complete()))
		Expect(f.Answer.Ended().Chunks).To(Equal(2))
	})

	// The cancellation overtakes the dispatch: the engine does not hold the stream yet. Its
	// first "not found" must be ignored and the call repeated, or the engine would run a
	// request that counts as cancelled.
	It("cancels again if the cancellation arrives before the request", func() {
		start(Config{})
		began, held := make(chan struct{}), make(chan struct{})
		hold := sync.OnceFunc(func() { close(held) })
		var mu sync.Mutex
		deletes := 0
		address := serve(func(ctx *fasthttp.RequestCtx) {
			if !ctx.IsDelete() {
				close(began)
				<-held
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if deletes++; deletes == 1 {
				ctx.SetStatusCode(404)
				return
			}
			if deletes == 2 {
				hold()
			}
		})
		DeferCleanup(hold)
		f := add("a", request.Engine)
		dispatch("a", address, time.Minute)
		Eventually(began).Should(BeClosed())
		t.Cancel(entry.CancelRun{ID: "a", Status: outcome.Partial(outcome.ReasonPreempted, "")})
		Expect(f.Answer.Ended().Status.Reason).To(Equal(outcome.ReasonPreempted))
		Eventually(held).Should(BeClosed())
		Eventually(core.received).Should(ContainElement(HaveField("Result", message.ResultCancelled)))
	})

	It("follows the stream of a request that another entry dispatched, up to its end", func() {
		start(Config{})
		address := serve(func(ctx *fasthttp.RequestCtx) {
			Expect(string(ctx.RequestURI())).To(Equal("/streams/a?from=0"))
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyString(event("0") + "data: [DONE]\n\n")
		})
		f := add("a", request.Engine)
		t.Attach(entry.Attach{ID: "a", Of: "a", Target: "e1", Address: address})
		Eventually(f.Answer.Ended).ShouldNot(BeNil())
		Expect(f.Answer.Ended().Status).To(Equal(outcome.Complete()))
	})

	DescribeTable("orders", func(status int, want entry.OrderDone) {
		start(Config{})
		var body string
		address := serve(func(ctx *fasthttp.RequestCtx) {
			body = string(ctx.PostBody())
			ctx.SetStatusCode(status)
		})
		t.Order(entry.Order{Target: "e1", Address: address, Fencing: 7, Model: "m", Version: "v"})
		Eventually(core.received).Should(ConsistOf(want))
		Expect(body).To(MatchJSON(`{"fencing":7,"model":"m","version":"v","adapters":null}`))
	},
		Entry("taken", 200, entry.OrderDone{Target: "e1"}),
		Entry("refused by fencing", 409, entry.OrderDone{Target: "e1", Refused: true}),
		Entry("failed", 500, entry.OrderDone{Target: "e1", Failed: true}),
	)

	DescribeTable("probes", func(ready int, state string, want entry.TargetState) {
		start(Config{})
		address := serve(func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/load" {
				ctx.SetBodyString(`{"running":3,"waiting":1,"kv_tokens":9,"model":"m","version":"v"}`)
				return
			}
			ctx.SetStatusCode(ready)
			ctx.SetBodyString(`{"state":"` + state + `"}`)
		})
		doc := &document.Document{
			Classes: []document.Class{{Name: "c", Kind: document.KindEngine}},
			Targets: []document.Target{{Name: "e1", Class: "c", Address: address}},
		}
		for batch := range uint64(probeBatches) {
			t.probeBatch(doc, batch, nil)
		}
		Eventually(core.received).Should(ConsistOf(want))
	},
		Entry("ready", 200, "ready", entry.TargetState{Target: "e1", Reachable: true, Running: 3, Waiting: 1, CachedTokens: 9, Model: "m", Version: "v"}),
		Entry("leaving", 503, "leaving", entry.TargetState{Target: "e1", Reachable: true, Leaving: true, Running: 3, Waiting: 1, CachedTokens: 9, Model: "m", Version: "v"}),
		Entry("broken", 500, "", entry.TargetState{Target: "e1"}),
	)
})

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
