package outcomes

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/replay/report"
)

func TestOutcomes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outcomes")
}

var _ = Describe("stated outcomes", func() {
	r := &report.Report{Unanswered: 1, Goodput: map[string]float64{"rider": 0.98},
		WastedPrefillTokens: 5, PrefillTokens: 100, FirstToken: map[string]report.Percentiles{"rider": {P99: 120}}}

	DescribeTable("hold or fail",
		func(text string, failing ...string) {
			stated, err := Parse([]byte(text))
			Expect(err).NotTo(HaveOccurred())
			failures, err := stated.Check(r)
			Expect(err).NotTo(HaveOccurred())
			figures := []string{}
			for _, f := range failures {
				figures = append(figures, f.Figure)
			}
			Expect(figures).To(Equal(failing))
		},
		Entry("within bounds", `{"unanswered":{"max":1},"goodput.rider":{"min":0.98},"wasted_prefill_share":{"max":0.05}}`),
		Entry("outside, in order", `{"unanswered":{"max":0},"goodput.rider":{"min":0.99},"ttft_ms.rider.p99":{"max":100}}`,
			"goodput.rider", "ttft_ms.rider.p99", "unanswered"),
		Entry("not measured", `{"goodput.driver":{"min":0.1}}`, "goodput.driver"),
	)

	DescribeTable("are rejected when they state nothing",
		func(text string) {
			_, err := Parse([]byte(text))
			Expect(err).To(MatchError(ErrMalformed))
		},
		Entry("empty", `{}`), Entry("no bound", `{"unanswered":{}}`), Entry("misspelt", `{"unanswered":{"maximum":0}}`),
	)
})
