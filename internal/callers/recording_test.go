package callers_test

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/recording"
	"sycamoretrail/internal/replay/trace"
)

var _ = Describe("a recorded trace", func() {
	// Operators may pass a recorded trace on. Prompts, bodies, bearer tokens,
	// idempotency keys and the paths of service calls belong to the callers and must
	// not appear in it, nor their plain hashes: a short text can be guessed from its
	// hash.
	It("holds times, sizes and tiers, and no content from callers", func() {
		service := serve(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
		n := newNode(service, service)
		file := filepath.Join(GinkgoT().TempDir(), "trace.jsonl")
		var err error
		n.recorder, err = recording.Open(file, "entry-1", tokenKey, time.Now())
		Expect(err).NotTo(HaveOccurred())
		prompt := strings.Repeat("where is my bike ", 100)
		header := map[string]string{"Idempotency-Key": "rider-4411", "X-Deadline-Ms": "9000"}
		n.call("POST", "/v1/services/slots/locker/17", `{"secret":"parcel"}`, header)
		n.call("POST", "/v1/completions", `{"model":"m1","max_tokens":9,"prompt":"`+prompt+`"}`, nil)
		n.call("POST", "/v1/completions", `{"model":"m1","max_tokens":9,"prompt":"`+prompt+`"}`, nil)
		Expect(n.recorder.Close()).To(Succeed())
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		for _, secret := range []string{"bike", "parcel", "rider-4411", "locker", key, string(tokenKey), hash(key), hash("rider-4411"), hash("acme\x00rider-4411")} {
			Expect(string(data)).NotTo(ContainSubstring(secret))
		}
		recorded, err := trace.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(recorded.Lines).To(HaveLen(3))
		call, first, second := recorded.Lines[0], recorded.Lines[1], recorded.Lines[2]
		Expect(call).To(And(HaveField("Organisation", "acme"), HaveField("Tier", "gate"), HaveField("Service", "slots"),
			HaveField("Method", "POST"), HaveField("DeadlineMS", int64(9000)), HaveField("Idempotent", false)))
		Expect(call.Key).NotTo(BeEmpty())
		Expect(first).To(And(HaveField("Model", "m1"), HaveField("PromptTokens", 425), HaveField("MaxTokens", 9), HaveField("SharedPrefix", BeNil())))
		Expect(second.SharedPrefix).To(HaveField("Tokens", 384))
	})
})

var _ = Describe("what the edge observes", func() {
	// A caller may send a new tier name with each request. Each name that reached the
	// metrics would add a series that lasts until the entry ends.
	It("holds no tier name that the document does not define", func() {
		n := newNode("", "")
		n.call("POST", "/v1/completions", chatBody, map[string]string{"X-Tier": "made-up"})
		Expect(n.seen.list()).To(ConsistOf(And(HaveField("Tier", ""), HaveField("Status.Reason", outcome.ReasonTierNotAllowed))))
	})
})
