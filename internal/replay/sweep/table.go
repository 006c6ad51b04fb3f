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
	_ = out.Write([]string{"load", "policy", "tier", "seeds", "goodput", "goodput_min", "goodput_max", "bound", "ceiling", "demand",
		"wasted_prefill", "wasted_min", "wasted_max", "ttft_p50_ms", "ttft_p95_ms", "ttft_p99_ms", "ttft_p99_min_ms", "ttft_p99_max_ms",
		"itl_p50_ms", "itl_p95_ms", "itl_p99_ms", "inversions", "broken"})
	for _, s := range r.Summaries() {
		_ = out.Write([]string{number(s.Load), string(s.Policy), s.Tier, strconv.Itoa(s.Seeds),
			number(s.Goodput.Mean), number(s.Goodput.Min), number(s.Goodput.Max), number(s.Bound), number(s.Ceiling), number(s.Demand),
			number(s.WastedPrefill.Mean), number(s.WastedPrefill.Min), number(s.WastedPrefill.Max),
			number(s.FirstToken.P50), number(s.FirstToken.P95), number(s.FirstToken.P99), number(s.FirstP99.Min), number(s.FirstP99.Max),
			number(s.InterToken.P50), number(s.InterToken.P95), number(s.InterToken.P99),
			strconv.Itoa(s.Inversions), strconv.Itoa(s.Broken)})
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return fmt.Errorf("write sweep: %w", err)
	}
	return nil
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', 4, 64) }

// WriteTable writes goodput as a Markdown table: a row for each load and policy
// with a column for each tier, mean and min–max over the seeds, and rows for the
// bounds.
func (r *Result) WriteTable(w io.Writer) error {
	var b strings.Builder
	tiers := r.sentTiers()
	head := append(append([]string{"load", "policy"}, tiers...), "wasted prefill %", "inversions", "else broken")
	writeRow(&b, head)
	writeRow(&b, slices.Repeat([]string{"---"}, len(head)))
	summaries := r.Summaries()
	for i := 0; i < len(summaries); i += len(tiers) {
		group := summaries[i : i+len(tiers)]
		first := &group[0]
		row := []string{fmt.Sprint(first.Load), string(first.Policy)}
		for j := range group {
			row = append(row, goodput(group[j].Goodput))
		}
		writeRow(&b, append(row, percent(first.WastedPrefill), strconv.Itoa(first.Inversions), strconv.Itoa(first.Broken)))
		if next := i + len(tiers); next == len(summaries) || summaries[next].Load != first.Load {
			writeBounds(&b, group)
		}
	}
	return flush(w, &b)
}

func writeBounds(b *strings.Builder, group []Summary) {
	for _, row := range []struct {
		name string
		of   func(*Summary) float64
	}{
		{"*bound*", func(s *Summary) float64 { return s.Bound }},
		{"*ceiling*", func(s *Summary) float64 { return s.Ceiling }},
		{"*demand / capacity*", func(s *Summary) float64 { return s.Demand }},
	} {
		cells := []string{fmt.Sprint(group[0].Load), row.name}
		for i := range group {
			cells = append(cells, fmt.Sprintf("%.3f", row.of(&group[i])))
		}
		writeRow(b, append(cells, "", "", ""))
	}
}

// WriteLatencies writes first-token and inter-token times as a Markdown table:
// means over the seeds, in ms.
func (r *Result) WriteLatencies(w io.Writer) error {
	var b strings.Builder
	head := []string{"load", "policy", "tier", "first token p50", "p95", "p99 (min–max)", "between tokens p50", "p95", "p99"}
	writeRow(&b, head)
	writeRow(&b, slices.Repeat([]string{"---"}, len(head)))
	for _, s := range r.Summaries() {
		if s.FirstToken.Count == 0 {
			continue
		}
		writeRow(&b, []string{fmt.Sprint(s.Load), string(s.Policy), s.Tier, whole(s.FirstToken.P50), whole(s.FirstToken.P95),
			fmt.Sprintf("%.0f (%.0f–%.0f)", s.FirstToken.P99, s.FirstP99.Min, s.FirstP99.Max),
			whole(s.InterToken.P50), whole(s.InterToken.P95), whole(s.InterToken.P99)})
	}
	return flush(w, &b)
}

// sentTiers returns the tiers that occur in the traffic of the sweep, and AllTiers.
func (r *Result) sentTiers() []string {
	var tiers []string
	for _, tier := range r.Tiers {
		if slices.ContainsFunc(r.Rows, func(row Row) bool { return row.Report.Sent[tier] > 0 }) {
			tiers = append(tiers, tier)
		}
	}
	return append(tiers, AllTiers)
}

func goodput(s Spread) string { return fmt.Sprintf("%.3f (%.3f–%.3f)", s.Mean, s.Min, s.Max) }

func percent(s Spread) string {
	return fmt.Sprintf("%.2f (%.2f–%.2f)", 100*s.Mean, 100*s.Min, 100*s.Max)
}

func whole(v float64) string { return fmt.Sprintf("%.0f", v) }

func writeRow(b *strings.Builder, cells []string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func flush(w io.Writer, b *strings.Builder) error {
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

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
	return flush(w, &b)
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
