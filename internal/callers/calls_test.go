package callers_test

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/callers"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

var _ = Describe("plain services", func() {
	type seen struct {
		method, uri, body, key, auth, id, other, contentType string
	}

	It("receive method, path, query, body and header fields unchanged, and the caller receives their answer unchanged", func() {
		var got seen
		var calls atomic.Int32
		service := serve(func(ctx *fasthttp.RequestCtx) {
			calls.Add(1)
			h := &ctx.Request.Header
			got = seen{string(ctx.Method()), string(h.RequestURI()), string(ctx.PostBody()), string(h.Peek("Idempotency-Key")),
				string(h.Peek("Authorization")), string(h.Peek("X-Request-Id")), string(h.Peek("X-Other")), string(h.ContentType())}
			ctx.SetStatusCode(422)
			ctx.SetContentType("text/plain; charset=x")
			ctx.Response.Header.Set("Location", "/there")
			ctx.SetBodyString("slot \x00 taken")
		})
		n := newNode("", service)
		resp, body := n.call("PUT", "/v1/services/slots/a%2Fb//c?x=1&y=%20", "raw \x01 body",
			map[string]string{"Idempotency-Key": "k1", "X-Other": "o", "Content-Type": "application/x-own"})
		Expect(resp.StatusCode).To(Equal(422))
		Expect(string(body)).To(Equal("slot \x00 taken"))
		Expect(resp.Header.Get("Content-Type")).To(Equal("text/plain; charset=x"))
		Expect(resp.Header.Get("Location")).To(Equal("/there"))
		Expect(resp.Header.Get("X-Outcome")).To(Equal("answered"))
		id := resp.Header.Get("X-Request-Id")
		Expect(got).To(Equal(seen{"PUT", "/a%2Fb//c?x=1&y=%20", "raw \x01 body", "k1", "", id, "o", "application/x-own"}))
		Expect(calls.Load()).To(Equal(int32(1)))
		Expect(all[entry.Submit](n.core)[0].Request.Idempotent).To(BeFalse())
	})

	DescribeTable("are repeatable only for the methods that the document lists", func(method, idempotentHeader string, want bool) {
		service := serve(func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(204) })
		n := newNode("", service)
		header := map[string]string{}
		if idempotentHeader != "" {
			header["X-Idempotent"] = idempotentHeader
		}
		resp, _ := n.call(method, "/v1/services/slots", "", header)
		Expect(resp.StatusCode).To(Equal(204))
		got := all[entry.Submit](n.core)[0].Request
		Expect(got.Idempotent).To(Equal(want))
		Expect(got.Kind).To(Equal(request.Service))
		Expect(got.Pool).To(Equal("services"))
	},
		Entry("GET", "GET", "", true),
		Entry("GET, marked", "GET", "false", false),
		Entry("POST", "POST", "", false),
		Entry("POST, marked", "POST", "true", false),
	)
})

var _ = Describe("the request that is submitted to the core", func() {
	It("has the values of body, header and document", func() {
		engine := serve(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("{}") })
		n := newNode(engine, "")
		text := strings.Repeat("abcd", request.PrefixBlockTokens*2+1)
		body, _ := json.Marshal(map[string]any{"model": "m1", "max_tokens": 9,
			"messages": []any{map[string]any{"content": text[:600]}, map[string]any{"content": []any{map[string]any{"type": "text", "text": text[600:]}}}}})
		n.call("POST", "/v1/chat/completions", string(body), map[string]string{"X-Deadline-Ms": "5000", "X-First-Token-Ms": "700", "Idempotency-Key": "k"})
		got := all[entry.Submit](n.core)[0].Request
		Expect(got.Organisation).To(Equal("acme"))
		Expect(got.Tier).To(Equal(request.Tier(0)))
		Expect(got.PromptTokens).To(Equal(request.PrefixBlockTokens*2 + 1))
		Expect(got.Prefixes).To(HaveLen(2))
		Expect(got.MaxTokens).To(Equal(9))
		Expect(got.Idempotent).To(BeTrue())
		Expect(got.Deadline.Sub(got.Arrived)).To(Equal(5 * time.Second))
		Expect(got.FirstTokenBy.Sub(got.Arrived)).To(Equal(700 * time.Millisecond))
		Expect(string(got.Key)).To(Equal(hash("acme\x00k")))
	})
})

var _ = Describe("reading an answer again", func() {
	events := token(0) + token(1) + token(2) + usageEvent + doneEvent

	It("gives the rest at the same entry, from its own memory", func() {
		engine := serve(func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyString(events)
		})
		n := newNode(engine, "")
		resp, first := n.call("POST", "/v1/chat/completions", chatBody, nil)
		_, _, firstEnd := readStream(first)
		_, body := n.call("GET", "/v1/streams/"+resp.Header.Get("X-Stream-Token")+"?from=2", "", nil)
		ids, chunks, endEvent := readStream(body)
		Expect(ids).To(Equal([]string{"2", "3"}))
		Expect(chunks[0]).To(ContainSubstring("t2"))
		Expect(endEvent).To(Equal(firstEnd))
	})

	// The caller loses its entry after token 0 and sends its stream token to another
	// one, while the engine goes on. It receives the rest from token 1 on, with count
	// and checksum of the complete answer: the entry reads the engine's stream from
	// the beginning and sends the requested part.
	It("gives the rest at another entry, from the target", func() {
		release := make(chan struct{})
		var posts atomic.Int32
		engine := serve(func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/event-stream")
			if ctx.IsGet() {
				ctx.SetBodyString(events)
				return
			}
			posts.Add(1)
			ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
				_, _ = w.WriteString(token(0))
				_ = w.Flush()
				<-release
			})
		})
		DeferCleanup(func() { close(release) })
		a, b := newNode(engine, ""), newNode(engine, "")
		resp := a.open("POST", "/v1/chat/completions", chatBody, nil)
		DeferCleanup(resp.Body.Close)
		_, body := b.call("GET", "/v1/streams/"+resp.Header.Get("X-Stream-Token")+"?from=1", "", nil)
		ids, _, endEvent := readStream(body)
		Expect(ids).To(Equal([]string{"1", "2", "3"}))
		Expect(endEvent.Outcome).To(Equal("answered"))
		Expect(endEvent.Chunks).To(Equal(4))
		Expect(posts.Load()).To(Equal(int32(1)))
		Expect(all[entry.Submit](b.core)).To(BeEmpty())
	})

	DescribeTable("refuses invalid calls, but never as not run", func(path, bearer string, code int) {
		engine := serve(func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyString(events)
		})
		n := newNode(engine, "")
		resp, _ := n.call("POST", "/v1/chat/completions", chatBody, nil)
		path = strings.Replace(path, "TOKEN", resp.Header.Get("X-Stream-Token"), 1)
		resp, data := n.call("GET", path, "", map[string]string{"Authorization": "Bearer " + bearer})
		Expect(resp.StatusCode).To(Equal(code))
		Expect(refusal(data).Ran).To(BeEquivalentTo("unknown"))
	},
		Entry("another organisation", "/v1/streams/TOKEN", otherKey, 401),
		Entry("no organisation", "/v1/streams/TOKEN", "zz", 401),
		Entry("altered token", "/v1/streams/xTOKEN", key, 400),
		Entry("no number", "/v1/streams/TOKEN?from=-1", key, 400),
	)

	// Both callers receive the same complete answer. The second one sends the same
	// request id while the first waits; the core lets it join the run.
	It("joins a run of the same id", func() {
		release := make(chan struct{})
		var posts atomic.Int32
		engine := serve(func(ctx *fasthttp.RequestCtx) {
			posts.Add(1)
			<-release
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyString(events)
		})
		n := newNode(engine, "")
		dispatch := n.core.decide
		var submits atomic.Int32
		second := make(chan struct{})
		n.core.answerWith(func(s entry.Submit) {
			if submits.Add(1) == 1 {
				dispatch(s)
				return
			}
			n.flights.Join(entry.Join{ID: s.Request.ID, Of: s.Request.ID})
			close(second)
		})
		id := map[string]string{"X-Request-Id": string(prefix) + "again"}
		answers := make(chan []byte, 2)
		ask := func() {
			defer GinkgoRecover()
			_, body := n.call("POST", "/v1/chat/completions", chatBody, id)
			answers <- body
		}
		go ask()
		Eventually(submits.Load).Should(Equal(int32(1)))
		go ask()
		Eventually(second).Should(BeClosed())
		close(release)
		first, other := <-answers, <-answers
		Expect(first).To(Equal(other))
		Expect(string(first)).To(HaveSuffix(doneEvent))
		Expect(posts.Load()).To(Equal(int32(1)))
	})
})

var _ = Describe("the entry's own calls", func() {
	It("lists the entries, the caller's zone first", func() {
		n := newNode("", "")
		resp := n.open("GET", "/v1/entries?zone=z2", "", nil)
		defer func() { _ = resp.Body.Close() }()
		data, _ := io.ReadAll(resp.Body)
		var answer callers.EntriesAnswer
		Expect(json.Unmarshal(data, &answer)).To(Succeed())
		Expect(answer).To(Equal(callers.EntriesAnswer{
			Entries:   []callers.EntryRow{{Name: "b", Address: "2", Zone: "z2"}, {Name: "a", Address: "1", Zone: "z1"}},
			GoodForMS: 5000, IDPrefix: string(prefix),
		}))
	})

	// A caller forms ids with the prefix in the answer. The answering entry owns such
	// ids and needs to query no other entry, so it is listed first in its zone. The
	// caller's zone still precedes the other zones.
	DescribeTable("lists itself first within its zone", func(zone string, names ...string) {
		n := newNode("", "")
		view := *n.view.Load()
		view.Entries = []message.Member{
			{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z2"}, {Name: "self", Zone: "z1", Incarnation: "0123456789abcdef-1"}, {Name: "c", Zone: "z1"},
		}
		n.view.Store(&view)
		_, body := n.call("GET", "/v1/entries?zone="+zone, "", nil)
		var answer callers.EntriesAnswer
		Expect(json.Unmarshal(body, &answer)).To(Succeed())
		var found []string
		for _, row := range answer.Entries {
			found = append(found, row.Name)
		}
		Expect(found).To(Equal(names))
	},
		Entry("its own", "z1", "self", "a", "c", "b"),
		Entry("another", "z2", "b", "self", "a", "c"),
		Entry("none", "", "self", "a", "b", "c"),
	)

	// Callers stay with the first entry of the list. If the order were the same in
	// each answer, all callers from another zone would use one entry.
	It("spreads callers over the other entries of a zone", func() {
		n := newNode("", "")
		view := *n.view.Load()
		view.Entries = []message.Member{{Name: "a", Zone: "z2"}, {Name: "b", Zone: "z2"}, {Name: "c", Zone: "z2"}}
		n.view.Store(&view)
		first := make(map[string]int)
		for range 6 {
			_, body := n.call("GET", "/v1/entries?zone=z2", "", nil)
			var answer callers.EntriesAnswer
			Expect(json.Unmarshal(body, &answer)).To(Succeed())
			first[answer.Entries[0].Name]++
		}
		Expect(first).To(Equal(map[string]int{"a": 2, "b": 2, "c": 2}))
	})

	It("reports its health", func() {
		n := newNode("", "")
		resp, _ := n.call("GET", "/healthz", "", nil)
		Expect(resp.StatusCode).To(Equal(200))
		resp, body := n.call("GET", "/readyz", "", nil)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(string(body)).To(Equal(`{"state":"ready"}`))
	})
})
