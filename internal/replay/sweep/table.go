package sweep

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"sycamoretrail/internal/replay/report"
)

// WriteCSV writes one line for each load, policy and tier, with the spread over
// the seeds.
func (r *Result) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{"load", "policy", "tier", "seeds", "goodput", "goodput_min", "goodput_max", "bound", "ceiling",
		"wasted_prefill", "wasted_min", "wasted_max", "ttft_p50_ms", "ttft_p95_ms", "ttft_p99_ms", "ttft_p99_min_ms", "ttft_p99_max_ms",
		"itl_p50_ms", "itl_p95_ms", "itl_p99_ms", "broken"})
	for _, s := range r.Summaries() {
		_ = out.Write([]string{number(s.Load), string(s.Policy), s.Tier, strconv.Itoa(s.Seeds),
			number(s.Goodput.Mean), number(s.Goodput.Min), number(s.Goodput.Max), number(s.Bound), number(s.Ceiling),
			number(s.WastedPrefill.Mean), number(s.WastedPrefill.Min), number(s.WastedPrefill.Max),
			number(s.FirstToken.P50), number(s.FirstToken.P95), number(s.FirstToken.P99), number(s.FirstP99.Min), number(s.FirstP99.Max),
			number(s.InterToken.P50), number(s.InterToken.P95), number(s.InterToken.P99), strconv.Itoa(s.Broken)})
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return fmt.Errorf("write sweep: %w", err)
	}
	return nil
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', 4, 64) }

// WriteTable writes the same as a Markdown table for people: goodput and its
// spread, bounds, wasted prefill in per cent, and p50/p95/p99 in ms.
func (r *Result) WriteTable(w io.Writer) error {
	var b strings.Builder
	b.WriteString("| load | policy | tier | goodput (min–max) | bound | ceiling | wasted prefill % | first token ms p50/p95/p99 | between tokens ms p50/p95/p99 | broken |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range r.Summaries() {
		first, between := triple(s.FirstToken.P50, s.FirstToken.P95, s.FirstToken.P99), triple(s.InterToken.P50, s.InterToken.P95, s.InterToken.P99)
		if s.FirstToken.Count == 0 {
			first, between = "–", "–"
		}
		fmt.Fprintf(&b, "| %g | %s | %s | %.3f (%.3f–%.3f) | %.3f | %.3f | %.2f | %s | %s | %d |\n", s.Load, s.Policy, s.Tier,
			s.Goodput.Mean, s.Goodput.Min, s.Goodput.Max, s.Bound, s.Ceiling, 100*s.WastedPrefill.Mean, first, between, s.Broken)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func triple(a, b, c float64) string { return fmt.Sprintf("%.0f / %.0f / %.0f", a, b, c) }

// WriteOrganisations writes each organisation's goodput in each tier, over all
// seeds, as a Markdown table.
func (r *Result) WriteOrganisations(w io.Writer) error {
	var b strings.Builder
	b.WriteString("| load | policy | tier | organisation | sent | goodput |\n|---|---|---|---|---|---|\n")
	r.groups(func(rows []Row) {
		for _, tier := range r.Tiers {
			shares := organisations(rows, tier)
			for _, name := range slices.Sorted(maps.Keys(shares)) {
				fmt.Fprintf(&b, "| %g | %s | %s | %s | %d | %.3f |\n",
					rows[0].Load, rows[0].Policy, tier, name, shares[name].Sent, shares[name].Goodput())
			}
		}
	})
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func organisations(rows []Row, tier string) map[string]report.Share {
	sums := map[string]report.Share{}
	for i := range rows {
		for name, share := range rows[i].Report.Organisations[tier] {
			sums[name] = report.Share{Good: sums[name].Good + share.Good, Sent: sums[name].Sent + share.Sent}
		}
	}
	return sums
}
