package callers_test

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
)

var _ = Describe("the data path", func() {
	It("forwards a complete streamed answer, numbered and with its end event", func() {
		engine := serve(func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyString(token(0) + token(1) + token(2) + usageEvent + doneEvent)
		})
		n := newNode(engine, "")
		resp, body := n.call("POST", "/v1/chat/completions", chatBody, nil)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(resp.Header.Get("X-Request-Id")).To(HavePrefix(string(prefix)))
		Expect(resp.Header.Get("X-Stream-Token")).NotTo(BeEmpty())
		ids, chunks, endEvent := readStream(body)
		Expect(ids).To(Equal([]string{"0", "1", "2", "3"}))
		sum := fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join(chunks, "")))
		Expect(endEvent).To(Equal(end{Outcome: "answered", Chunks: 4, Checksum: sum}))
		Expect(string(body)).To(HaveSuffix(doneEvent))
		Eventually(func() []entry.RunEnded { return all[entry.RunEnded](n.core) }).Should(HaveLen(1))
		ended := all[entry.RunEnded](n.core)[0]
		Expect(ended.Result).To(Equal(message.ResultComplete))
		Expect(ended.Sample.CachedTokens).To(Equal(2))
		Expect(ended.Sample.Tokens).To(Equal(3))
		Expect(all[entry.RunStarted](n.core)).To(HaveLen(1))
	})

	It("forwards a complete answer with outcome and checksum", func() {
		const answer = `{"choices":[{"message":{"content":"hi"}}],"usage":{"prompt_tokens":3,"completion_tokens":1}}`
		engine := serve(func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("application/json")
			ctx.SetBodyString(answer)
		})
		n := newNode(engine, "")
		resp, body := n.call("POST", "/v1/chat/completions", nonStreamingBody, nil)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(string(body)).To(Equal(answer))
		Expect(resp.Header.Get("X-Outcome")).To(Equal("answered"))
		Expect(resp.Header.Get("X-Checksum")).To(Equal(fmt.Sprintf("%016x", xxhash.Sum64String(answer))))
	})
})
