package sweep

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/replay/trace"
	"sycamoretrail/internal/replay/virtual"
)

func TestSweep(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sweep")
}

func testDocument() *document.Document {
	data, err := os.ReadFile("../testdata/document.json")
	Expect(err).NotTo(HaveOccurred())
	doc := &document.Document{}
	Expect(json.Unmarshal(data, doc)).To(Succeed())
	return doc
}

// refuser is a fake core that is ready and refuses all requests.
type refuser struct {
	self      message.Member
	doc       *document.Document
	published bool
}

func (r *refuser) Step(_ time.Time, in entry.Input) []entry.Output {
	if submit, is := in.(entry.Submit); is {
		return []entry.Output{entry.Settle{ID: submit.Request.ID, Status: outcome.Refused(outcome.ReasonOverload, time.Second, "")}}
	}
	if r.published {
		return nil
	}
	r.published = true
	return []entry.Output{entry.Publish{View: &entry.View{State: message.Ready, Version: 1, Document: r.doc,
		Entries: []message.Member{r.self}, Prefix: ident.PrefixFor(r.self.Incarnation, 0), GoodFor: time.Minute}}}
}

var _ = Describe("a sweep", func() {
	It("runs every load, policy and seed, and computes the bound of an oracle", func() {
		doc := testDocument()
		options := Options{
			Document: doc, Deployment: trace.Tanglaw, Scenario: trace.Typical, Loads: []float64{0.5, 8}, Seeds: []uint64{1, 2},
			Policies: []entry.Policy{entry.PolicyIndependent, entry.PolicyShares}, Seconds: 3, Entries: 2, Workers: 2,
			NewCore: func(cfg entry.Config, _ time.Time) virtual.Core { return &refuser{self: cfg.Self, doc: doc} },
		}
		result, err := Run(options)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Rows).To(HaveLen(8))
		first, again := &bytes.Buffer{}, &bytes.Buffer{}
		Expect(result.WriteCSV(first)).To(Succeed())
		result, err = Run(options)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.WriteCSV(again)).To(Succeed())
		Expect(again.String()).To(Equal(first.String()))
		Expect(strings.Split(strings.TrimSpace(first.String()), "\n")).To(HaveLen(1 + 2*2*4))
		for _, s := range result.Summaries() {
			Expect(s.Goodput.Max).To(BeZero())
		}
		Expect(result.Rows[0].Bounds.Priority["rider"]).To(Equal(1.0))
		Expect(result.Rows[7].Bounds.Priority["rider"]).To(BeNumerically("<", 1))
	})
})
