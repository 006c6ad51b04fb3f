package recording

import (
	"bytes"
	"path/filepath"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/examples"
	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
	"sycamoretrail/internal/replay/virtual"
)

var (
	began = time.Unix(1_800_000_000, 0)
	key   = []byte("the entries' shared key, 32 bytes and more")
)

// arrivalOf returns the request of the line at an index of a trace.
func arrivalOf(doc *document.Document, index int, line *trace.Line) Arrival {
	rank, _ := doc.TierRank(line.Tier)
	at := began.Add(line.At())
	req := request.Request{
		ID: ident.RequestID(strconv.Itoa(index)), Organisation: line.Organisation, Tier: request.Tier(rank), Model: line.Model,
		PromptTokens: line.PromptTokens, MaxTokens: line.MaxTokens, Idempotent: line.Idempotent,
		Key: request.KeyHash(line.Key), Arrived: at, Deadline: at.Add(line.Deadline()),
	}
	if line.FirstTokenMS > 0 {
		req.FirstTokenBy = at.Add(line.FirstToken())
	}
	if line.Kind == trace.Service {
		req.Kind, req.Model = request.Service, line.Service
	}
	return Arrival{Request: req, Tier: line.Tier, Method: line.Method, Path: "/" + line.Path}
}

var _ = Describe("a recording", func() {
	It("can be replayed, with the recorded number of requests and prompt tokens", func() {
		doc := examples.Tanglaw()
		made, err := trace.Generate(doc, trace.Options{Deployment: trace.Tanglaw, Scenario: trace.Typical, Seed: 3, Load: 0.5, Seconds: 5})
		Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(GinkgoT().TempDir(), "trace.jsonl")
		r, err := Open(file, "entry-1", key, began)
		Expect(err).NotTo(HaveOccurred())
		prompts := 0
		for i := range made.Lines {
			made.Lines[i].Resend = nil
			prompts += made.Lines[i].PromptTokens
			r.Arrived(arrivalOf(doc, i, &made.Lines[i]))
		}
		Expect(r.Close()).To(Succeed())
		Expect(r.Written()).To(BeEquivalentTo(len(made.Lines)))
		Expect(r.Dropped()).To(BeZero())

		recorded, err := trace.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		for i := range recorded.Lines {
			prompts -= recorded.Lines[i].PromptTokens
			Expect(recorded.Lines[i].AtMS).To(Equal(made.Lines[i].AtMS))
			Expect(recorded.Lines[i].DeadlineMS).To(Equal(made.Lines[i].DeadlineMS))
		}
		Expect(prompts).To(BeZero())
		in, err := virtual.Run(virtual.Options{Trace: recorded, Document: doc, Entries: 6, Policy: entry.PolicyScheduler, Seed: 1, ReportAge: time.Second})
		Expect(err).NotTo(HaveOccurred())
		result := report.Compute(in)
		Expect(result.Requests).To(Equal(len(made.Lines)))
		Expect(result.Unanswered).To(BeZero())
		Expect(result.Answered).To(BeNumerically(">", len(made.Lines)*9/10))
	})

	It("links a resent request to its first line, with times that do not decrease", func() {
		var out buffer
		r := newRecorder(&out, key, began)
		Expect(r.header("entry-1")).To(Succeed())
		for i, id := range []ident.RequestID{"a", "b", "a"} {
			r.write(Arrival{Tier: "t", Request: request.Request{ID: id, Organisation: "o", Model: "m", MaxTokens: 1, Arrived: began.Add(time.Duration(40-10*i) * time.Millisecond)}})
		}
		Expect(r.out.Flush()).To(Succeed())
		recorded, err := trace.Read(&out.Buffer)
		Expect(err).NotTo(HaveOccurred())
		Expect(recorded.Lines[1].AtMS).To(Equal(int64(40)))
		Expect(recorded.Lines[2].Resend).To(Equal(&trace.Resend{Of: 0, AfterMS: 0, SameID: true}))
	})

	// The writer falls behind, as if writing to the file were slow. Requests must not
	// wait for it: those that do not fit the ring are dropped and counted.
	It("never blocks a request", func() {
		r := newRecorder(&buffer{}, key, began) // its goroutine is not started
		for range RingSize + 5 {
			r.Arrived(Arrival{})
		}
		Expect(r.Dropped()).To(BeEquivalentTo(5))
	})

	It("stops at its size limit and counts the dropped requests", func() {
		r := newRecorder(&buffer{}, key, began)
		r.bytes = MaxBytes
		r.write(Arrival{Tier: "t"})
		Expect(r.Dropped()).To(BeEquivalentTo(1))
		Expect(r.Written()).To(BeZero())
	})

	It("writes the same hashes at entries with the same key, and other hashes with another key", func() {
		a, b, c := newHasher(key), newHasher(key), newHasher([]byte("another key of thirty-two bytes."))
		Expect(a.text("key", "x")).To(Equal(b.text("key", "x")))
		Expect(a.text("key", "x")).NotTo(Equal(c.text("key", "x")))
		Expect(a.text("key", "x")).NotTo(Equal(a.text("path", "x")))
	})
})

// buffer is an in-memory file.
type buffer struct{ bytes.Buffer }

func (*buffer) Close() error { return nil }
