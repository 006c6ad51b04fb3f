package trace

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/document"
)

func TestTrace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trace")
}

func testDocument() *document.Document {
	data, err := os.ReadFile("../testdata/document.json")
	Expect(err).NotTo(HaveOccurred())
	doc := &document.Document{}
	Expect(json.Unmarshal(data, doc)).To(Succeed())
	return doc
}

func generated(o Options) *Trace {
	t, err := Generate(testDocument(), o)
	Expect(err).NotTo(HaveOccurred())
	return t
}

func encoded(t *Trace) string {
	var b bytes.Buffer
	Expect(t.Write(&b)).To(Succeed())
	return b.String()
}

func usual(d Deployment, load float64) Options {
	return Options{Deployment: d, Seed: 3, Load: load, Seconds: 60, Scenario: Typical}
}

var _ = Describe("a generated trace", func() {
	It("is the same for the same seed and differs for another seed", func() {
		first := encoded(generated(usual(Tanglaw, 0.5)))
		Expect(encoded(generated(usual(Tanglaw, 0.5)))).To(Equal(first))
		other := usual(Tanglaw, 0.5)
		other.Seed = 4
		Expect(encoded(generated(other))).NotTo(Equal(first))
	})

	DescribeTable("stays within the bounds of its deployment and is read back unchanged",
		func(d Deployment, longest int) {
			o := usual(d, 0.5)
			o.Seconds = 300
			t := generated(o)
			doc := testDocument()
			longestPrompt, keyed, resent := 0, 0, 0
			for i := range t.Lines {
				l := &t.Lines[i]
				Expect(PoolOf(doc, l)).NotTo(BeEmpty())
				_, known := doc.TierRank(l.Tier)
				Expect(known).To(BeTrue())
				Expect(l.Key != "").To(Equal(!l.Idempotent))
				longestPrompt = max(longestPrompt, l.PromptTokens)
				if l.Key != "" {
					keyed++
				}
				if l.Resend != nil {
					resent++
					earlier := t.Lines[l.Resend.Of]
					Expect(earlier.Key).To(Equal(l.Key))
					Expect(l.AtMS - earlier.AtMS).To(Equal(l.Resend.AfterMS))
				}
			}
			Expect(longestPrompt).To(And(BeNumerically("<=", longest), BeNumerically(">", longest/2)))
			Expect(keyed).To(BeNumerically(">", 0))
			Expect(resent).To(BeNumerically(">", 0))
			decoded, err := Read(strings.NewReader(encoded(t)))
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded).To(Equal(t))
		},
		Entry("Tanglaw", Tanglaw, 300),
		Entry("Quebracho", Quebracho, 30000),
	)

	It("has the requested mean load regardless of bursts", func() {
		one, four := generated(usual(Tanglaw, 1)), generated(usual(Tanglaw, 4))
		engines := func(t *Trace) (n float64) {
			for i := range t.Lines {
				if t.Lines[i].Kind == Engine {
					n++
				}
			}
			return n
		}
		g, err := newGenerator(testDocument(), usual(Tanglaw, 1))
		Expect(err).NotTo(HaveOccurred())
		expected := Capacity(testDocument(), "engines", g.mix()) * 60
		Expect(engines(one)).To(BeNumerically("~", expected, 0.06*expected))
		Expect(engines(four)).To(BeNumerically("~", 4*expected, 0.06*4*expected))
	})

	It("adds a flood from one organisation, a shift burst, and packs of briefs", func() {
		count := func(s Scenario, d Deployment, which func(*Line) bool) (n int) {
			o := usual(d, 0.5)
			o.Scenario = s
			t := generated(o)
			for i := range t.Lines {
				if which(&t.Lines[i]) {
					n++
				}
			}
			return n
		}
		largest := func(l *Line) bool { return l.Organisation == "north" && l.Kind == Engine }
		others := func(l *Line) bool { return l.Organisation == "south" && l.Kind == Engine }
		Expect(count(Flood, Tanglaw, largest)).To(BeNumerically(">", 2*count(Typical, Tanglaw, largest)))
		Expect(count(Flood, Tanglaw, others)).To(BeNumerically("~", count(Typical, Tanglaw, others), 1))
		shift := func(l *Line) bool { return l.Tier == "attendant" && l.AtMS >= 30000 && l.AtMS < 33000 }
		Expect(count(ShiftBurst, Tanglaw, shift)).To(BeNumerically(">", 3*count(Typical, Tanglaw, shift)))
		brief := func(l *Line) bool { return l.PromptTokens >= 8000 }
		Expect(count(BriefsDuringCall, Quebracho, brief)).To(Equal(count(Typical, Quebracho, brief) + callPacks*briefsPerPack))
	})
})

var _ = DescribeTable("a malformed trace is rejected",
	func(line, want string) {
		header := `{"format":1,"name":"x","deployment":"tanglaw","seed":1,"duration_ms":1}` + "\n"
		_, err := Read(strings.NewReader(header + line))
		Expect(err).To(MatchError(ErrMalformed))
		Expect(err.Error()).To(ContainSubstring(want))
	},
	Entry("no tier", `{"at_ms":1,"organisation":"a","kind":"engine"}`, "tier"),
	Entry("no size", `{"at_ms":1,"organisation":"a","tier":"t","kind":"engine","model":"m"}`, "prompt_tokens"),
	Entry("resend of itself", `{"at_ms":1,"organisation":"a","tier":"t","kind":"service","service":"s","method":"GET","resend":{"of":0}}`, "resend"),
	Entry("unknown field", `{"at_ms":1,"colour":"red"}`, "colour"),
)
