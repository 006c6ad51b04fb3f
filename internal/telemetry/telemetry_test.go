package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/outcome"
)

var _ = Describe("the logger", func() {
	It("applies a changed level while the process runs", func() {
		var out bytes.Buffer
		logger, err := NewLogger(&out, "info")
		Expect(err).NotTo(HaveOccurred())
		logger.Debug("unseen")
		Expect(SetLevel(logger, "debug")).To(Succeed())
		logger.Debug("seen")
		Expect(SetLevel(logger, "loud")).NotTo(Succeed())
		Expect(out.String()).To(And(ContainSubstring(`"seen"`), Not(ContainSubstring("unseen"))))
	})
})

// page returns the body of /metrics.
func page(m *Metrics) string {
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, nil, nil)
	m.Handler(&ctx)
	Expect(ctx.Response.StatusCode()).To(Equal(fasthttp.StatusOK))
	return string(ctx.Response.Body())
}

var _ = Describe("metrics", func() {
	text := func(m *Metrics) string {
		Expect(m.Close()).To(Succeed())
		return page(m)
	}

	It("count outcomes by reason, and times by tier and organisation", func() {
		m := NewMetrics("entry-1", "ncr-a")
		m.Settled(Settled{Organisation: "o", Tier: "gate", Status: outcome.Complete(), FirstToken: 20 * time.Millisecond, Total: 2 * time.Second})
		m.Settled(Settled{Organisation: "o", Tier: "gate", Status: outcome.Refused(outcome.ReasonOverload, 0, "")})
		m.Set(Ready, 1)
		m.SetTotal(PeerSent, 5, "offer")
		m.SetTotal(PeerSent, 7, "offer")
		page := text(m)
		for _, line := range []string{
			"# HELP sycamoretrail_requests_total " + Requests.Help,
			"# TYPE sycamoretrail_requests_total counter",
			`sycamoretrail_requests_total{entry="entry-1",outcome="answered",reason="",tier="gate",zone="ncr-a"} 1`,
			`sycamoretrail_requests_total{entry="entry-1",outcome="not_run",reason="overload",tier="gate",zone="ncr-a"} 1`,
			`sycamoretrail_by_tier_answer_seconds_bucket{entry="entry-1",tier="gate",zone="ncr-a",le="1.5"} 0`,
			`sycamoretrail_by_tier_answer_seconds_bucket{entry="entry-1",tier="gate",zone="ncr-a",le="3"} 1`,
			`sycamoretrail_by_tier_answer_seconds_bucket{entry="entry-1",tier="gate",zone="ncr-a",le="+Inf"} 1`,
			`sycamoretrail_by_tier_answer_seconds_count{entry="entry-1",tier="gate",zone="ncr-a"} 1`,
			`sycamoretrail_by_tier_not_answered_total{entry="entry-1",tier="gate",zone="ncr-a"} 1`,
			`sycamoretrail_by_tier_first_token_seconds_bucket{entry="entry-1",tier="gate",zone="ncr-a",le="0.025"} 1`,
			`sycamoretrail_by_organisation_not_answered_total{entry="entry-1",organisation="other",zone="ncr-a"} 1`,
			`sycamoretrail_ready{entry="entry-1",zone="ncr-a"} 1`,
			`sycamoretrail_peer_sent_messages{entry="entry-1",type="offer",zone="ncr-a"} 7`,
		} {
			Expect(page).To(ContainSubstring(line + "\n"))
		}
	})

	// An answer took longer than the last bucket. tally passes such a sample to the
	// reporter as the largest possible duration, some 292 years; a single one would
	// make every mean that operators compute from the histogram useless.
	It("bound the sum when an answer takes longer than the last bucket", func() {
		m := NewMetrics("e", "z")
		m.Settled(Settled{Organisation: "o", Tier: "t", Status: outcome.Complete(), Total: 5 * time.Hour})
		Expect(text(m)).To(ContainSubstring(`sycamoretrail_by_tier_answer_seconds_sum{entry="e",tier="t",zone="z"} 3600` + "\n"))
	})

	// 38,000 organisations send requests, three of them half of all. The page must
	// show these three without a series for each of the others.
	It("give series to the largest organisations only", func() {
		m := NewMetrics("e", "z")
		for i := range 40_000 {
			name := fmt.Sprintf("small-%d", i%38_000)
			if i%2 == 0 {
				name = fmt.Sprintf("large-%d", i/2%3)
			}
			m.Settled(Settled{Organisation: name, Tier: "t", Status: outcome.Complete()})
		}
		page := text(m)
		series := strings.Count(page, "sycamoretrail_by_organisation_answer_seconds_count{")
		Expect(series).To(BeNumerically("<=", MaxOrganisationSeries+1))
		for i := range 3 {
			Expect(page).To(ContainSubstring(fmt.Sprintf(`organisation="large-%d"`, i)))
		}
		Expect(page).NotTo(ContainSubstring("small-"))
	})

	// A caller sends an unknown tier name with each request. Each is refused and
	// counted, but must not add a series to the page.
	It("bound the series of tiers, whatever callers send", func() {
		m := NewMetrics("entry-1", "z")
		for i := range 10_000 {
			m.Settled(Settled{Tier: fmt.Sprint("tier-", i), Status: outcome.Refused(outcome.ReasonTierNotAllowed, 0, "")})
		}
		Expect(m.Close()).To(Succeed())
		text := page(m)
		Expect(strings.Count(text, "sycamoretrail_requests_total{")).To(Equal(MaxTierSeries + 1))
		Expect(text).To(ContainSubstring(fmt.Sprintf("%d\n", 10_000-MaxTierSeries)))
	})
})
