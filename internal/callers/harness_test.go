package callers_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/callers"
	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/inflight"
	"sycamoretrail/internal/recording"
	"sycamoretrail/internal/targets"
)

const (
	key      = "key-of-acme"
	otherKey = "key-of-other"
	prefix   = ident.Prefix("0123456789abcdef-1.0.")
)

var tokenKey = []byte("shared key of the entries")

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// listen opens a loopback listener, which the spec must close.
func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return ln
}

// serve runs a server for one spec and returns its address.
func serve(handler fasthttp.RequestHandler) string {
	ln := listen()
	srv := &fasthttp.Server{Handler: handler, Logger: quiet(), StreamRequestBody: false}
	go func() { _ = srv.Serve(ln) }()
	DeferCleanup(func() { _ = srv.Shutdown() })
	return ln.Addr().String()
}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// fakeCore dispatches each submitted request at once, always to one target. It
// records every input.
type fakeCore struct {
	mu      sync.Mutex
	inputs  []entry.Input
	full    bool
	decide  func(entry.Submit)
	onEnded func(entry.RunEnded)
	onGone  func(entry.CallerLeft)
}

func (c *fakeCore) Submit(in entry.Input) bool {
	c.mu.Lock()
	if c.full {
		c.mu.Unlock()
		return false
	}
	c.inputs = append(c.inputs, in)
	decide, onEnded := c.decide, c.onEnded
	c.mu.Unlock()
	switch in := in.(type) {
	case entry.Submit:
		decide(in)
	case entry.RunEnded:
		onEnded(in)
	case entry.CallerLeft:
		if c.onGone != nil {
			c.onGone(in)
		}
	}
	return true
}

// answerWith changes how submissions are decided while the core is in use.
func (c *fakeCore) answerWith(decide func(entry.Submit)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decide = decide
}

func all[T entry.Input](c *fakeCore) []T {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []T
	for _, in := range c.inputs {
		if one, ok := in.(T); ok {
			found = append(found, one)
		}
	}
	return found
}

// node is one entry: both edges with a fake core between them.
type node struct {
	core    *fakeCore
	flights *inflight.Registry
	targets *targets.Targets
	address string
	doc     *document.Document
	// view is what the edge reads; a spec may replace it.
	view atomic.Pointer[entry.View]
	// recorder writes a trace if a spec sets it before its first call.
	recorder *recording.Recorder
	// seen is what the edge observed.
	seen observations
}

// observations are recorded on the server's goroutines.
type observations struct {
	mu  sync.Mutex
	all []callers.Observation
}

func (o *observations) add(one callers.Observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, one)
}

func (o *observations) list() []callers.Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]callers.Observation(nil), o.all...)
}

func (n *node) arrived(req *request.Request, tier, method, path string) {
	if n.recorder != nil {
		n.recorder.Arrived(recording.Arrival{Request: *req, Tier: tier, Method: method, Path: path})
	}
}

func testDocument(engine, service string) *document.Document {
	return &document.Document{
		Schema: document.Schema,
		Tiers:  []document.Tier{{Name: "gate", DeadlineMS: 20_000}, {Name: "batch", DeadlineMS: 20_000}},
		Organisations: []document.Organisation{
			{Name: "acme", KeyHashes: []string{hash(key)}, Tiers: []string{"gate"}, Models: []string{"m1"}, Services: []string{"slots"}},
			{Name: "other", KeyHashes: []string{hash(otherKey)}, Tiers: []string{"batch"}, Models: []string{"m1"}},
		},
		Models:   []document.Model{{Name: "m1", Pool: "engines", ContextTokens: 4096}, {Name: "m2", Pool: "engines", ContextTokens: 4096}},
		Services: []document.Service{{Name: "slots", Pool: "services", Repeatable: []string{"GET"}}},
		Targets:  []document.Target{{Name: "e1", Pool: "engines", Address: engine}, {Name: "s1", Pool: "services", Address: service}},
		Limits: document.Limits{BodyBytes: 64 << 10, HeaderBytes: 4 << 10, Connections: 64, InFlight: 64,
			DeadlineMS: 60_000, StreamBytes: 1 << 20},
	}
}

func newNode(engine, service string, edits ...func(*document.Document)) *node {
	n := &node{core: &fakeCore{}, doc: testDocument(engine, service)}
	for _, edit := range edits {
		edit(n.doc)
	}
	n.flights = inflight.NewRegistry(inflight.Config{MaxOpen: 2000, Retain: time.Minute, RetainBytes: 1 << 20})
	n.targets = targets.New(targets.Config{Core: n.core, Flights: n.flights, Log: quiet()})
	n.core.decide = func(s entry.Submit) {
		address := engine
		if s.Request.Kind == request.Service {
			address = service
		}
		n.targets.Dispatch(entry.Dispatch{ID: s.Request.ID, Target: "e1", Address: address, Kind: s.Request.Kind, Deadline: s.Request.Deadline})
	}
	n.core.onEnded = func(e entry.RunEnded) { n.settle(e) }
	n.view.Store(&entry.View{State: message.Ready, Version: 1, Document: n.doc, Prefix: prefix, GoodFor: 5 * time.Second,
		Entries: []message.Member{{Name: "a", Zone: "z1", CallerAddress: "1"}, {Name: "b", Zone: "z2", CallerAddress: "2"}}})
	srv := callers.New(callers.Config{
		Core: n.core, View: n.view.Load, Flights: n.flights,
		Rereads:  inflight.NewRegistry(inflight.Config{MaxOpen: 64, Retain: time.Minute, RetainBytes: 1 << 20}),
		Follower: n.targets, TokenKey: tokenKey, Log: quiet(), PollInterval: 10 * time.Millisecond,
		Arrived: n.arrived, Observe: n.seen.add,
	})
	ln := listen()
	n.address = ln.Addr().String()
	go func() { _ = srv.Serve(ln) }()
	DeferCleanup(func() { _ = srv.Shutdown() })
	return n
}

// inState replaces the view that the edge reads by one with another state.
func (n *node) inState(state message.State) {
	view := *n.view.Load()
	view.State = state
	n.view.Store(&view)
}

// settle gives the request its final outcome if no answer carries one, as the core
// does.
func (n *node) settle(e entry.RunEnded) {
	switch {
	case e.Result == message.ResultComplete:
	case e.Result == message.ResultAborted && e.Wrote:
		n.flights.Settle(entry.Settle{ID: e.ID, Status: outcome.Partial(outcome.ReasonTargetFailed, "")})
	default:
		n.flights.Settle(entry.Settle{ID: e.ID, Status: outcome.Refused(outcome.ReasonNoTarget, time.Second, "")})
	}
}

// call makes one call as acme and returns the response and its complete body.
func (n *node) call(method, path, body string, header map[string]string) (*http.Response, []byte) {
	resp := n.open(method, path, body, header)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, data
}

// open makes one call and returns the response with its body unread.
func (n *node) open(method, path, body string, header map[string]string) *http.Response {
	req, err := http.NewRequest(method, "http://"+n.address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	return resp
}

func refusal(body []byte) callers.Refusal {
	var r callers.Refusal
	ExpectWithOffset(1, json.Unmarshal(body, &r)).To(Succeed(), "%s", body)
	return r
}

// end is the last event of a stream.
type end struct {
	Outcome, Reason, Checksum string
	Chunks                    int
}

// readStream splits a streamed answer into its numbered chunks and its end event.
func readStream(body []byte) (ids []string, chunks []string, endEvent end) {
	lines := bufio.NewScanner(bytes.NewReader(body))
	id, event := "", ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			id = value
		case name == "event":
			event = value
		case name == "data" && event == "outcome":
			Expect(json.Unmarshal([]byte(value), &endEvent)).To(Succeed())
			event = ""
		case name == "data" && value != "[DONE]":
			ids, chunks = append(ids, id), append(chunks, value)
		}
	}
	return ids, chunks, endEvent
}

// token returns the event of one token, as an engine sends it.
func token(i int) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]}\n\n", i, i)
}

const (
	usageEvent       = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":3,\"prompt_tokens_details\":{\"cached_tokens\":2}}}\n\n"
	doneEvent        = "data: [DONE]\n\n"
	chatBody         = `{"model":"m1","stream":true,"messages":[{"role":"user","content":"hello there"}]}`
	nonStreamingBody = `{"model":"m1","messages":[{"role":"user","content":"hello there"}]}`
)
