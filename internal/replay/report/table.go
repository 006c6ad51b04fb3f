package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Table writes the report as a table for reading.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	line("trace\t%s (%s %s)", r.Trace, r.Mode, r.Policy)
	counts := []struct {
		name  string
		value int
	}{
		{"requests", r.Requests}, {"answered", r.Answered}, {"refused, not run", r.RefusedNotRun},
		{"ran in part", r.RanInPart}, {"unknown", r.Unknown}, {"unanswered", r.Unanswered},
		{"incomplete answers", r.IncompleteAnswers}, {"dispatched twice", r.DispatchedTwice},
		{"non-idempotent ran twice", r.NonIdempotentRanTwice}, {"false \"not run\"", r.FalseNotRun},
		{"tier inversions", r.TierInversions}, {"asked of another entry", r.Resent},
		{"prefill tokens", r.PrefillTokens}, {"wasted prefill tokens", r.WastedPrefillTokens},
	}
	for _, c := range counts {
		line("%s\t%d", c.name, c.value)
	}
	if len(r.LostLedgers) > 0 {
		line("ledgers not read\t%v", r.LostLedgers)
	}
	line("")
	line("tier\tsent\tgoodput\tttft p50\tp95\tp99\titl p50\tp95\tp99 (ms)")
	for _, tier := range r.tiersBySent() {
		first, inter := r.FirstToken[tier], r.InterToken[tier]
		line("%s\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f", tier, r.Sent[tier], r.Goodput[tier],
			first.P50, first.P95, first.P99, inter.P50, inter.P95, inter.P99)
	}
	for _, tier := range r.tiersBySent() {
		for _, reason := range slices.Sorted(maps.Keys(r.Refusals[tier])) {
			line("%s\t%d\t%s", tier, r.Refusals[tier][reason], reason)
		}
	}
	return t.Flush()
}

func (r *Report) tiersBySent() []string {
	tiers := slices.Collect(maps.Keys(r.Sent))
	slices.SortFunc(tiers, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.Sent[b], r.Sent[a]), cmp.Compare(a, b))
	})
	return tiers
}
