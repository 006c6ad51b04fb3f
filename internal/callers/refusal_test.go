package callers_test

import (
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
)

var _ = Describe("what the edge refuses", func() {
	big := strings.Repeat("x", 70<<10)
	long := `{"model":"m1","messages":[{"content":"` + strings.Repeat("word ", 4000) + `"}]}`

	// Each caller receives a 4xx whose body says "not run", which is true because
	// the request was not submitted to the core.
	DescribeTable("with a specific status and not run",
		func(path, body string, header map[string]string, code int, reason outcome.Reason) {
			n := newNode("", "")
			resp, data := n.call("POST", path, body, header)
			Expect(resp.StatusCode).To(Equal(code), "%s", data)
			r := refusal(data)
			Expect(r.Outcome).To(Equal(outcome.NotRun))
			Expect(r.Reason).To(Equal(reason))
			Expect(r.Ran).To(BeEquivalentTo("no"))
			Expect(r.Detail).NotTo(BeEmpty())
			Expect(resp.Header.Get("X-Outcome")).To(Equal("not_run"))
			Expect(resp.Header.Get("X-Reason")).To(Equal(string(reason)))
			Expect(all[entry.Submit](n.core)).To(BeEmpty())
		},
		Entry("no JSON", "/v1/chat/completions", "{", nil, 400, outcome.ReasonMalformed),
		Entry("no prompt", "/v1/completions", `{"model":"m1"}`, nil, 400, outcome.ReasonMalformed),
		Entry("max_tokens of 0", "/v1/completions", `{"model":"m1","prompt":"x","max_tokens":0}`, nil, 400, outcome.ReasonMalformed),
		Entry("unknown model", "/v1/completions", `{"model":"zz","prompt":"x"}`, nil, 404, outcome.ReasonUnknownModel),
		Entry("model of others", "/v1/completions", `{"model":"m2","prompt":"x"}`, nil, 404, outcome.ReasonUnknownModel),
		Entry("unknown service", "/v1/services/zz/x", "", nil, 404, outcome.ReasonUnknownService),
		Entry("unknown call", "/v1/zz", "", nil, 404, outcome.ReasonMalformed),
		Entry("wrong key", "/v1/completions", `{}`, map[string]string{"Authorization": "Bearer zz"}, 401, outcome.ReasonUnauthorised),
		Entry("no key", "/v1/completions", `{}`, map[string]string{"Authorization": "Basic zz"}, 401, outcome.ReasonUnauthorised),
		Entry("oversize body", "/v1/completions", big, nil, 413, outcome.ReasonTooLarge),
		Entry("oversize header", "/v1/completions", `{}`, map[string]string{"X-Other": big[:5<<10]}, 413, outcome.ReasonTooLarge),
		Entry("header beyond any document", "/v1/completions", `{}`, map[string]string{"X-Other": big[:30<<10]}, 413, outcome.ReasonTooLarge),
		Entry("prompt beyond the context", "/v1/completions", long, nil, 413, outcome.ReasonTooLarge),
		Entry("tier of others", "/v1/completions", chatBody, map[string]string{"X-Tier": "batch"}, 400, outcome.ReasonTierNotAllowed),
		Entry("malformed id", "/v1/completions", chatBody, map[string]string{"X-Request-Id": "zz"}, 400, outcome.ReasonMalformed),
		Entry("deadline too long", "/v1/completions", chatBody, map[string]string{"X-Deadline-Ms": "60001"}, 400, outcome.ReasonMalformed),
		Entry("deadline no number", "/v1/completions", chatBody, map[string]string{"X-Deadline-Ms": "soon"}, 400, outcome.ReasonMalformed),
		Entry("malformed X-Idempotent", "/v1/completions", chatBody, map[string]string{"X-Idempotent": "maybe"}, 400, outcome.ReasonMalformed),
	)

	// A target gets no line that violates the protocol.
	It("a header whose name has a space", func() {
		n := newNode("", "")
		conn, err := net.Dial("tcp", n.address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "GET /v1/services/s1/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+key+"\r\nConnection: close\r\nX Broken: 1\r\n\r\n")
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(HavePrefix("HTTP/1.1 400 "))
		Expect(string(answer)).To(ContainSubstring(`"X Broken\"`))
		Expect(all[entry.Submit](n.core)).To(BeEmpty())
	})

	// The caller receives 503 "not run" with a retry delay: the core's ring is full,
	// so the request was not submitted.
	It("when the core's ring is full", func() {
		n := newNode("", "")
		n.core.full = true
		resp, data := n.call("POST", "/v1/chat/completions", chatBody, nil)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(refusal(data).Reason).To(Equal(outcome.ReasonEntryFull))
		Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
		Expect(n.flights.Stats().Open).To(BeZero())
	})

	// The caller lost an answer and resends the request to an entry that is starting,
	// has stopped, or whose ring is full. The request may be running at the id's owner
	// or its delegate, which were not queried. The outcome is "unknown", so that the
	// caller tries another entry with the same id instead of running it twice. Only a
	// request without id and key cannot have been sent before.
	DescribeTable("before it is submitted to the core", func(header map[string]string, wantRan string) {
		n := newNode("", "")
		for _, state := range []message.State{message.Starting, message.Stopped} {
			n.inState(state)
			resp, data := n.call("POST", "/v1/services/slots/reserve", "", header)
			Expect(refusal(data).Reason).To(Equal(outcome.ReasonNotReady))
			Expect(refusal(data).Ran).To(BeEquivalentTo(wantRan))
			Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
		}
		n.inState(message.Ready)
		n.core.full = true
		_, data := n.call("POST", "/v1/services/slots/reserve", "", header)
		Expect(refusal(data).Reason).To(Equal(outcome.ReasonEntryFull))
		Expect(refusal(data).Ran).To(BeEquivalentTo(wantRan))
		Expect(all[entry.Submit](n.core)).To(BeEmpty())
	},
		Entry("without id and key", nil, "no"),
		Entry("with another entry's id", map[string]string{"X-Request-Id": "fedcba9876543210-1.0.x"}, "unknown"),
		Entry("with an id of this entry, which it may have handed over", map[string]string{"X-Request-Id": string(prefix) + "x"}, "unknown"),
		Entry("with a key", map[string]string{"Idempotency-Key": "k"}, "unknown"),
	)

	// The caller receives the core's refusal as JSON with a status code, since no
	// byte of an answer has been sent.
	DescribeTable("what the core refuses", func(status outcome.Status, code int, wantRan string) {
		n := newNode("", "")
		n.core.answerWith(func(s entry.Submit) { n.flights.Settle(entry.Settle{ID: s.Request.ID, Status: status}) })
		resp, data := n.call("POST", "/v1/chat/completions", chatBody, nil)
		Expect(resp.StatusCode).To(Equal(code))
		Expect(refusal(data).Ran).To(BeEquivalentTo(wantRan))
		Expect(refusal(data).RequestID).To(Equal(resp.Header.Get("X-Request-Id")))
	},
		Entry("load", outcome.Refused(outcome.ReasonOverload, 0, ""), 503, "no"),
		Entry("organisation's limit", outcome.Refused(outcome.ReasonOrganisationLimit, 0, ""), 429, "no"),
		Entry("key in use", outcome.Undetermined(outcome.ReasonDuplicateKey, ""), 409, "unknown"),
		Entry("deadline", outcome.Refused(outcome.ReasonDeadlinePassed, 0, ""), 504, "no"),
		Entry("unknown", outcome.Undetermined(outcome.ReasonOwnerUnreachable, ""), 502, "unknown"),
		Entry("ran in part", outcome.Partial(outcome.ReasonPreempted, ""), 502, "in_part"),
	)

	// Both callers use the same request id for different bodies. The second one
	// receives 400 and nothing of the first one's answer.
	It("an id that names another request", func() {
		engine := serve(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("{}") })
		n := newNode(engine, "")
		id := map[string]string{"X-Request-Id": string(prefix) + "same"}
		resp, _ := n.call("POST", "/v1/chat/completions", nonStreamingBody, id)
		Expect(resp.StatusCode).To(Equal(200))
		resp, data := n.call("POST", "/v1/chat/completions", strings.Replace(nonStreamingBody, "hello", "other", 1), id)
		Expect(resp.StatusCode).To(Equal(400))
		Expect(refusal(data).Reason).To(Equal(outcome.ReasonMalformed))
		Expect(all[entry.Submit](n.core)).To(HaveLen(1))
	})

	// A connection beyond the limit receives a complete HTTP response, 503 "not run", while all others have a
	// request that runs.
	It("connections beyond the limit", func() {
		begun, answer := make(chan struct{}), make(chan struct{})
		engine := serve(func(*fasthttp.RequestCtx) {
			close(begun)
			<-answer
		})
		n := newNode(engine, "", func(d *document.Document) { d.Limits.Connections = 1 })
		DeferCleanup(func() { close(answer) })
		go func() {
			defer GinkgoRecover()
			n.call("POST", "/v1/chat/completions", nonStreamingBody, nil)
		}()
		<-begun
		Eventually(func() int {
			resp, err := http.Get("http://" + n.address + "/healthz")
			if err != nil {
				return 0
			}
			defer func() { _ = resp.Body.Close() }()
			_, _ = io.Copy(io.Discard, resp.Body)
			return resp.StatusCode
		}).Should(Equal(503))
	})
})
