package callers_test

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
)

var _ = Describe("a caller that reads slowly during a drain", func() {
	// beyondBuffers is more than the socket buffers of both sides hold.
	const beyondBuffers = 32 << 20

	// lastReported returns the count that was last reported to the core, or -1.
	lastReported := func(n *node) int {
		reported := all[entry.OpenAnswers](n.core)
		if len(reported) == 0 {
			return -1
		}
		return reported[len(reported)-1].Open
	}

	// The caller receives every byte. When the run has ended, the core holds nothing
	// of the request, but the entry still holds the answer in memory. Until its last
	// byte is sent, the count last reported to the core is 1, and the drain waits.
	// Before the drain nothing is reported.
	DescribeTable("is counted until the last byte is sent", func(path, request string, handler fasthttp.RequestHandler) {
		target := serve(handler)
		n := newNode(target, target, func(d *document.Document) { d.Limits.StreamBytes = 2 * beyondBuffers })
		resp := n.open("POST", path, request, nil)
		defer func() { _ = resp.Body.Close() }()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Eventually(func() []entry.RunEnded { return all[entry.RunEnded](n.core) }, "10s").Should(HaveLen(1))
		Expect(lastReported(n)).To(Equal(-1))
		n.inState(message.Draining)
		Eventually(func() int { return lastReported(n) }).Should(Equal(1))
		Consistently(func() int { return lastReported(n) }, "300ms").Should(Equal(1))
		read, err := io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(BeNumerically(">=", beyondBuffers))
		Eventually(func() int { return lastReported(n) }).Should(BeZero())
	},
		Entry("complete answer", "/v1/services/slots/reserve", "", func(ctx *fasthttp.RequestCtx) {
			ctx.SetBodyString(strings.Repeat("x", beyondBuffers))
		}),
		Entry("stream", "/v1/chat/completions", chatBody, func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyString(strings.Repeat("data: "+strings.Repeat("x", 1<<18)+"\n\n", beyondBuffers>>18) + doneEvent)
		}),
	)

	// The request arrives during a drain. The core receives the count before the
	// request; otherwise the drain could complete in between.
	It("is counted before its request is submitted", func() {
		target := serve(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
		n := newNode(target, target)
		n.inState(message.Draining)
		n.call("POST", "/v1/services/slots/reserve", "", nil)
		n.core.mu.Lock()
		defer n.core.mu.Unlock()
		Expect(n.core.inputs[0]).To(Equal(entry.OpenAnswers{Open: 1}))
		Expect(n.core.inputs[1]).To(BeAssignableToTypeOf(entry.Submit{}))
	})
})
