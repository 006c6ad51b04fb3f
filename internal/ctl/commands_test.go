package ctl_test

import (
	"encoding/json"
	"net"
	"os"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/operators/api"
	"sycamoretrail/internal/operators/operatorstest"
	"sycamoretrail/internal/reasons"
)

var _ = Describe("status", func() {
	It("lists every entry", func() {
		fake := startFake(3)
		got := run("status", "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(MatchRegexp(`entry-3 .*ready .* 1 `))
	})

	It("names the entry that holds another version", func() {
		fake := startFake(3)
		fake.Publish(fake.Edited("second", lower))
		fake.Entry(1).Freeze(1)
		got := run("status", "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(3))
		Expect(got.out).To(ContainSubstring("entry-2 holds version 1"))
	})

	It("shows the other entries if one does not answer", func() {
		fake := startFake(2)
		fake.Entry(0).Stop()
		got := run("status", "-o", "json", "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(4))
		var output struct {
			Silent  int `json:"silent"`
			Entries []struct {
				Status *api.Status `json:"status"`
			} `json:"entries"`
		}
		Expect(json.Unmarshal([]byte(got.out), &output)).To(Succeed())
		Expect(output.Silent).To(Equal(1))
		Expect(output.Entries[1].Status.State).To(Equal("ready"))
	})

	It("names the remedy for a wrong token", func() {
		fake := startFake(1)
		data, err := json.Marshal(map[string]any{"entries": fake.Addresses(), "token": "wrong"})
		Expect(err).NotTo(HaveOccurred())
		got := run("targets", "--settings", write("ctl.json", data))
		Expect(got.code).To(Equal(2))
		Expect(got.err).To(ContainSubstring("operator_token_sha256"))
	})
})

var _ = Describe("targets and floors", func() {
	It("shows scheduler, queue by tier and estimates", func() {
		fake := startFake(1)
		settings := settingsFor(fake.Addresses()...)
		got := run("targets", "--settings", settings)
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(MatchRegexp(`engine-0 .*entry-1 \(asked\) .*5 of 8 +1/0/4 +8000 +16.0`))
		Expect(got.out).To(MatchRegexp(`desk-0 .*leaving`))
		Expect(run("targets", "--pool", "desks", "--settings", settings).out).NotTo(ContainSubstring("engine-0"))
		Expect(run("floors", "--settings", settings).out).To(MatchRegexp(`engines +1 +700 +entry-1`))
	})
})

var _ = Describe("explain", func() {
	const suffix = ".0.abc"

	It("queries the entry whose incarnation the id begins with", func() {
		fake := startFake(3)
		owner := fake.Entry(2)
		id := owner.Incarnation + suffix
		// The first entry has another record of the id, which must not be shown.
		fake.Entry(0).Remember(api.Explanation{ID: id, Known: true, State: "wrong entry"})
		owner.Remember(api.Explanation{ID: id, Known: true, Owner: owner.Name, State: "refused", Decisions: []api.Decision{{AgeMS: 1500, Event: "refused", Target: "engine-0", Reason: "overload"}}})
		got := run("explain", id, "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(MatchRegexp(`owner entry-3, standing: refused`))
		Expect(got.out).To(MatchRegexp(`1.5s ago +refused +engine-0 +0 +overload`))
		Expect(got.out).To(ContainSubstring("overload: " + reasons.Of(outcome.ReasonOverload).Meaning))
		Expect(got.out).To(ContainSubstring("What to do: " + reasons.Of(outcome.ReasonOverload).Remedy))
	})

	It("queries all entries if the owner has departed", func() {
		fake := startFake(2)
		id := "ffffffffffffffff-9" + suffix
		fake.Entry(1).Remember(api.Explanation{ID: id, Known: true, State: "unknown"})
		Expect(run("explain", id, "--settings", settingsFor(fake.Addresses()...)).code).To(Equal(0))
	})

	It("reports unknown if no entry has a record", func() {
		fake := startFake(2)
		got := run("explain", "ffff-9"+suffix, "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(3))
		Expect(got.out).To(ContainSubstring("no listed entry knows of it"))
	})
})

var _ = Describe("drain and log-level", func() {
	It("drains only the named entry", func() {
		fake := startFake(2)
		settings := settingsFor(fake.Addresses()...)
		Expect(run("drain", "entry-2", "--settings", settings).code).To(Equal(0))
		Expect(fake.Entry(0).State()).To(Equal("ready"))
		Expect(fake.Entry(1).State()).To(Equal("draining"))
		Expect(run("drain", "entry-9", "--settings", settings).code).To(Equal(1))
		fake.Entry(0).Stop()
		Expect(run("drain", "entry-1", "--settings", settings).code).To(Equal(4))
	})

	It("sets the level at all entries", func() {
		fake := startFake(2)
		settings := settingsFor(fake.Addresses()...)
		Expect(run("log-level", "debug", "--settings", settings).code).To(Equal(0))
		Expect(fake.Entry(1).Level()).To(Equal("debug"))
		Expect(run("log-level", "loud", "--settings", settings).code).To(Equal(2))
	})
})

// startCallers serves the callers' interface of an entry and returns its address.
func startCallers(handle fasthttp.RequestHandler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != "/v1/entries" {
			handle(ctx)
			return
		}
		ctx.SetBodyString(`{"entries":[{"name":"entry-1","address":"` + address + `","zone":"` + string(ctx.QueryArgs().Peek("zone")) + `"}],"good_for_ms":5000,"id_prefix":"01-1.0."}`)
	}}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Shutdown)
	return address
}

var _ = Describe("resolve and submit", func() {
	BeforeEach(func() {
		Expect(os.Setenv("SYCAMORE_ORGANISATION_TOKEN", "customer")).To(Succeed())
		DeferCleanup(os.Unsetenv, "SYCAMORE_ORGANISATION_TOKEN")
	})

	It("queries the caller address of an entry in the settings", func() {
		fake := startFake(1)
		fake.Entry(0).SetCallersAddress(startCallers(nil))
		got := run("resolve", "--zone", "b", "--settings", settingsFor(fake.Addresses()...))
		Expect(got.code).To(Equal(0), got.err)
		Expect(got.out).To(MatchRegexp(`entry-1 .* b\n`))
		Expect(got.out).To(ContainSubstring("good for 5s; ids begin with 01-1.0."))
	})

	DescribeTable("maps outcomes to exit codes", func(outcomeValue string, status, code int) {
		address := startCallers(func(ctx *fasthttp.RequestCtx) {
			h := &ctx.Request.Header
			ok := string(h.Peek("Authorization")) == "Bearer customer" && string(h.Peek("X-Tier")) == "rider" &&
				strings.HasPrefix(string(h.Peek("X-Request-Id")), "01-1.0.") && strings.Contains(string(ctx.PostBody()), `"content":"Where?"`)
			if !ok {
				ctx.SetStatusCode(fasthttp.StatusTeapot)
				return
			}
			ctx.Response.Header.Set("X-Outcome", outcomeValue)
			ctx.Response.Header.Set("Retry-After", "2")
			ctx.SetStatusCode(status)
			ctx.SetBodyString("the answer")
		})
		got := run("submit", "--entry", address, "--model", "assistant", "--prompt", "Where?", "--tier", "rider")
		Expect(got.code).To(Equal(code), got.err)
		Expect(got.out).To(ContainSubstring("X-Outcome: " + outcomeValue))
		Expect(got.out).To(ContainSubstring("Retry-After: 2"))
		Expect(got.out).To(ContainSubstring("the answer"))
	},
		Entry("answered", "answered", 200, 0),
		Entry("refused", "not_run", 503, 2),
		Entry("ran in part", "ran_in_part", 502, 3),
		Entry("unknown", "unknown", 502, 3),
	)

	// The entry crashes after it received the request, which may have run at a target.
	// The client must neither report the entry as unreachable nor retry.
	It("reports unknown if the answer is lost, and does not retry", func() {
		var sent atomic.Int32
		address := startCallers(func(ctx *fasthttp.RequestCtx) {
			sent.Add(1)
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
		})
		got := run("submit", "--entry", address, "--service", "reservations", "--path", "/slots/7")
		Expect(got.code).To(Equal(3))
		Expect(got.err).To(ContainSubstring("may have run"))
		Expect(sent.Load()).To(Equal(int32(1)))
	})

	It("names the remedies for wrong usage", func() {
		Expect(run("submit").code).To(Equal(1))
		Expect(run("status", "-o", "xml").err).To(ContainSubstring("write table or json"))
		Expect(run("status", "--settings", "/nowhere.json").err).To(ContainSubstring("give --settings FILE"))
		Expect(run("completion", "bash").out).To(ContainSubstring("sycamorectl"))
	})
})

var _ = Describe("document", func() {
	It("reports how to publish the first document if there is none", func() {
		fake, err := operatorstest.Start(1, nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(fake.Close)
		settings := settingsFor(fake.Addresses()...)
		got := run("document", "--settings", settings)
		Expect(got.code).To(Equal(2))
		Expect(got.err).To(ContainSubstring("publish one with base 0"))
		first := write("d.json", operatorstest.Bytes(operatorstest.Document(1)))
		Expect(run("publish", first, "--settings", settings).code).To(Equal(0))
	})
})
