package callers_test

import (
	"bufio"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
)

const (
	manyStreams     = 1000
	tokensPerStream = 20
	bytesPerStream  = 256 << 10
)

var _ = Describe("many streams", func() {
	// Every caller receives each chunk of its answer. A thousand answers are open at
	// once, since the engine sends the rest only after all have begun.
	It("lose no chunk and stay within their memory limit", func() {
		release := make(chan struct{})
		var open atomic.Int32
		engine := serve(func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
				_, _ = w.WriteString(token(0))
				_ = w.Flush()
				<-release
				for i := 1; i < tokensPerStream; i++ {
					_, _ = w.WriteString(token(i))
					_ = w.Flush()
				}
				_, _ = w.WriteString(doneEvent)
			})
		})
		n := newNode(engine, "", func(d *document.Document) { d.Limits.Connections = 2 * manyStreams })
		before := heap()
		var all sync.WaitGroup
		var complete atomic.Int32
		for range manyStreams {
			all.Go(func() {
				defer GinkgoRecover()
				resp := n.open("POST", "/v1/chat/completions", chatBody, nil)
				defer func() { _ = resp.Body.Close() }()
				open.Add(1)
				var body strings.Builder
				_, err := bufio.NewReader(resp.Body).WriteTo(&body)
				Expect(err).NotTo(HaveOccurred())
				_, chunks, endEvent := readStream([]byte(body.String()))
				if endEvent.Outcome == "answered" && endEvent.Chunks == tokensPerStream && len(chunks) == tokensPerStream {
					complete.Add(1)
				}
			})
		}
		Eventually(open.Load, "20s").Should(Equal(int32(manyStreams)))
		used := (heap() - before) / manyStreams
		AddReportEntry("bytes a stream, with engine and caller in the same process", used)
		Expect(used).To(BeNumerically("<", bytesPerStream))
		close(release)
		all.Wait()
		Expect(complete.Load()).To(Equal(int32(manyStreams)))
		// The last byte reaches a caller before its flight is counted as ended.
		Eventually(func() int { return n.flights.Stats().Open }).Should(BeZero())
	})
})

// heap returns the bytes in use by heap and stacks after a collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
