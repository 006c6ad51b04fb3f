package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

var _ = Describe("lines on decisions", func() {
	It("are JSON, bounded for each second, and say how many were left out", func() {
		var out bytes.Buffer
		logger, err := NewLogger(&out, "info")
		Expect(err).NotTo(HaveOccurred())
		now := time.Unix(1000, 0)
		d := NewDecisions(logger, func() time.Time { return now }, 2, func(request.Tier) string { return "gate" })
		for range 5 {
			d.Decision(entry.Decision{ID: "a.1.b", Event: entry.EventSettled, Reason: outcome.ReasonOverload, Tier: 2})
		}
		now = now.Add(time.Second)
		d.Decision(entry.Decision{Event: entry.EventMember, Detail: "peer up"})
		d.Close()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		Expect(lines).To(HaveLen(3))
		var first, last map[string]any
		Expect(json.Unmarshal([]byte(lines[0]), &first)).To(Succeed())
		Expect(first).To(And(HaveKeyWithValue("id", "a.1.b"), HaveKeyWithValue("reason", "overload"), HaveKeyWithValue("tier", "gate"), HaveKeyWithValue("why", ContainSubstring("queue has no room"))))
		Expect(json.Unmarshal([]byte(lines[2]), &last)).To(Succeed())
		Expect(last).To(And(HaveKeyWithValue("left_out", 3.0), Not(HaveKey("id"))))
	})

	// An organisation asks for a model that it may not use; the core never hears of
	// it, so explain cannot either. The log must say it, without the caller's words.
	It("tell of refusals at the edge", func() {
		var out bytes.Buffer
		logger, err := NewLogger(&out, "info")
		Expect(err).NotTo(HaveOccurred())
		d := NewDecisions(logger, time.Now, 2, nil)
		d.Refused("a.1.b", "acme", outcome.ReasonUnknownModel)
		d.Close()
		var line map[string]any
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line).To(And(HaveKeyWithValue("event", EventRefused), HaveKeyWithValue("id", "a.1.b"), HaveKeyWithValue("organisation", "acme"),
			HaveKeyWithValue("reason", "unknown_model"), HaveKeyWithValue("why", ContainSubstring("may not use this model"))))
	})

	// Whoever reads the log stands still. The core must go on deciding; what does
	// not fit is counted on the next line that does, not lost unsaid.
	It("never hold the core up", func() {
		var out bytes.Buffer
		stuck := make(chan struct{})
		logger, err := NewLogger(&gate{open: stuck, out: &out}, "info")
		Expect(err).NotTo(HaveOccurred())
		const sent = 3 * decisionsWaiting
		d := NewDecisions(logger, func() time.Time { return time.Unix(1000, 0) }, 2*sent, nil)
		for range sent {
			d.Decision(entry.Decision{Event: entry.EventMember})
		}
		close(stuck)
		Eventually(func() int { return len(d.lines) }).Should(BeZero())
		d.Decision(entry.Decision{Event: entry.EventFloor})
		d.Close()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		left := 0
		for _, line := range lines {
			var said struct {
				Left int `json:"left_out"`
			}
			Expect(json.Unmarshal([]byte(line), &said)).To(Succeed())
			left += said.Left
		}
		Expect(left).To(BeNumerically(">=", sent-decisionsWaiting-1))
		Expect(left + len(lines)).To(Equal(sent + 1))
	})

	It("follow the level while the process runs", func() {
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

// gate writes nothing until it is open.
type gate struct {
	open chan struct{}
	out  *bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.out.Write(p)
}

// page is what /metrics answers.
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
		m.Total(PeerSent, 5, "offer")
		m.Total(PeerSent, 7, "offer")
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

	// An answer took longer than the last bucket. tally hands such a sample to the
	// reporter as the largest duration there is, some 292 years; one of them would
	// make every mean that an operator forms from the histogram worthless.
	It("keep the sum sound when an answer outlasts the buckets", func() {
		m := NewMetrics("e", "z")
		m.Settled(Settled{Organisation: "o", Tier: "t", Status: outcome.Complete(), Total: 5 * time.Hour})
		Expect(text(m)).To(ContainSubstring(`sycamoretrail_by_tier_answer_seconds_sum{entry="e",tier="t",zone="z"} 3600` + "\n"))
	})

	// 38,000 organisations send requests, three of them most of the traffic. The
	// page must not grow by a series for each, and must show the three.
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

	// A caller makes up a tier for each request. It is refused, and counted, and the
	// page must not grow by a series each time.
	It("bound the series of tiers, whatever callers write", func() {
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
