package live

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
)

func TestLive(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "live replay")
}

// defect is the defect of a fake entry's answers.
type defect uint8

const (
	sound defect = iota
	truncatesAfterTwo
	skipsNumber
	wrongCount
	wrongChecksum
	otherRequest
	refuses
)

// fakeEntry is a fake entry over real HTTP. It answers each engine request with five
// chunks, the first of which contains the request's id.
type fakeEntry struct {
	defect  defect
	address string
	others  []string
	server  *fasthttp.Server
	mu      sync.Mutex
	posts   []string
	attach  []string
}

func startFakeEntry(d defect) *fakeEntry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &fakeEntry{defect: d, address: listener.Addr().String()}
	e.server = &fasthttp.Server{Handler: e.handle, CloseOnShutdown: true}
	go func() { _ = e.server.Serve(listener) }()
	DeferCleanup(func() { _ = e.server.Shutdown() })
	return e
}

func (e *fakeEntry) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	id := string(ctx.Request.Header.Peek(headerRequestID))
	switch {
	case path == "/v1/entries":
		answer := entriesAnswer{GoodForMS: 60000, IDPrefix: "inc.0."}
		for _, address := range append([]string{e.address}, e.others...) {
			answer.Entries = append(answer.Entries, entryRow{Address: address})
		}
		_ = json.NewEncoder(ctx).Encode(answer)
	case e.defect == refuses:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(`{"outcome":"not_run","reason":"overload","retry_after_ms":700}`)
	case strings.HasPrefix(path, "/v1/streams/"):
		e.note(&e.attach, path+"?"+string(ctx.QueryArgs().QueryString()))
		from, _ := ctx.QueryArgs().GetUint("from")
		e.stream(ctx, strings.TrimPrefix(path, "/v1/streams/"), from)
	case strings.HasPrefix(path, "/v1/services/"):
		ctx.Response.Header.Set(headerRequestID, id)
		ctx.Response.Header.Set(headerOutcome, string(outcome.Answered))
		ctx.Response.Header.Set(headerChecksum, fmt.Sprintf("%016x", xxhash.Sum64String(id)))
		ctx.SetBodyString(id)
	default:
		e.note(&e.posts, id)
		e.stream(ctx, id, 0)
	}
}

func (e *fakeEntry) note(list *[]string, what string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*list = append(*list, what)
}

func (e *fakeEntry) stream(ctx *fasthttp.RequestCtx, id string, from int) {
	ctx.Response.Header.Set(headerStreamToken, id)
	var body strings.Builder
	digest := xxhash.New()
	for n := range 5 {
		data := fmt.Sprintf(`{"token":%d}`, n)
		if n == 0 && e.defect != otherRequest {
			data = fmt.Sprintf(`{"token":%q}`, id)
		}
		_, _ = digest.WriteString(data)
		number := n
		if e.defect == skipsNumber && n > 2 {
			number++
		}
		if n >= from {
			fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", number, data)
		}
		if e.defect == truncatesAfterTwo && n == 1 {
			ctx.SetConnectionClose()
			ctx.SetBodyString(body.String())
			return
		}
	}
	count, sum := 5, digest.Sum64()
	if e.defect == wrongCount {
		count++
	}
	if e.defect == wrongChecksum {
		sum++
	}
	fmt.Fprintf(&body, "event: outcome\ndata: {\"outcome\":\"answered\",\"chunks\":%d,\"checksum\":\"%016x\"}\n\ndata: [DONE]\n\n", count, sum)
	ctx.SetBodyString(body.String())
}

func replayed(entries ...string) *report.Report {
	data, err := os.ReadFile("../testdata/document.json")
	Expect(err).NotTo(HaveOccurred())
	doc := &document.Document{}
	Expect(json.Unmarshal(data, doc)).To(Succeed())
	tokens := map[string]string{}
	for i := range doc.Organisations {
		o := &doc.Organisations[i]
		tokens[o.Name] = "token of " + o.Name
		sum := sha256.Sum256([]byte(tokens[o.Name]))
		o.KeyHashes = []string{hex.EncodeToString(sum[:])}
	}
	t, err := trace.Generate(doc, trace.Options{Deployment: trace.Tanglaw, Seed: 1, Load: 1.5, Seconds: 0.3, Scenario: trace.Typical})
	Expect(err).NotTo(HaveOccurred())
	in, err := Run(context.Background(), Options{
		Trace: t, Document: doc, Entries: entries, Tokens: tokens, Callers: 3, Concurrency: 20,
		WaitLimit: time.Second, GiveUp: 2 * time.Second, Tolerance: DefaultTolerance,
	})
	Expect(err).NotTo(HaveOccurred())
	return report.Compute(in)
}

var _ = Describe("the live replay", func() {
	It("receives complete answers and forms ids with the prefix", func() {
		e := startFakeEntry(sound)
		r := replayed(e.address)
		Expect(r.Requests).To(BeNumerically(">", 5))
		Expect(r.Answered).To(Equal(r.Requests))
		Expect(e.posts).To(HaveEach(HavePrefix("inc.0.")))
	})

	DescribeTable("detects a defective answer",
		func(d defect, fault string) {
			r := replayed(startFakeEntry(d).address)
			Expect(r.AnswerFaults).To(HaveKey(fault))
			Expect(r.AnswerFaults).To(HaveLen(1))
			Expect(r.IncompleteAnswers).To(BeNumerically(">", 0))
		},
		Entry("a missing number", skipsNumber, faultNumbering),
		Entry("a wrong count", wrongCount, faultCount),
		Entry("a wrong checksum", wrongChecksum, faultChecksum),
		Entry("another request's answer", otherRequest, faultOtherRequest),
	)

	It("records the reason and retry-after time of refusals", func() {
		r := replayed(startFakeEntry(refuses).address)
		Expect(r.RefusedNotRun).To(Equal(r.Requests))
		Expect(r.RetryAfter.P50).To(Equal(700.0))
		Expect(r.Refusals["rider"]).To(HaveKey(outcome.ReasonOverload))
	})

	// The first entry truncates each stream after two chunks. The caller attaches at
	// the second with the stream token, from chunk 2, and gets the complete answer.
	It("attaches at another entry when a stream is truncated", func() {
		complete := startFakeEntry(sound)
		truncating := startFakeEntry(truncatesAfterTwo)
		truncating.others = []string{complete.address}
		r := replayed(truncating.address)
		Expect(r.Answered).To(Equal(r.Requests))
		Expect(r.Resent).To(BeNumerically(">", 0))
		Expect(complete.posts).To(BeEmpty())
		Expect(complete.attach).To(HaveEach(HaveSuffix("?from=2")))
	})

	// The first address of the list refuses connections. The caller sends the same
	// id to the next one, once.
	It("sends the same id to another entry when one refuses connections", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		refusing := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		e := startFakeEntry(sound)
		seed := e.address
		e.address, e.others = refusing, []string{seed}
		r := replayed(seed)
		Expect(r.Answered).To(Equal(r.Requests))
		Expect(r.Resent).To(Equal(r.Requests))
		Expect(e.posts).To(HaveEach(HavePrefix("inc.0.")))
	})
})
