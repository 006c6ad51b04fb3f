package sweep

import (
	"maps"
	"slices"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/replay/report"
)

// AllTiers is the tier under which a summary counts every request.
const AllTiers = "all"

// Spread is a figure over several seeds.
type Spread struct{ Mean, Min, Max float64 }

// Summary is one tier at one load under one policy, over the seeds.
type Summary struct {
	Load    float64
	Policy  entry.Policy
	Tier    string
	Seeds   int
	Goodput Spread
	// Bound is the mean of the oracle's bound.
	Bound float64
	// WastedPrefill is wasted over all prefill, of all tiers.
	WastedPrefill Spread
	// FirstToken and InterToken are means over the seeds, in ms.
	FirstToken, InterToken report.Percentiles
}

// Summaries sums the rows up in their order, each tier after the other and then
// AllTiers.
func (r *Result) Summaries() []Summary {
	var all []Summary
	for begin := 0; begin < len(r.Rows); {
		end := begin
		for end < len(r.Rows) && r.Rows[end].Load == r.Rows[begin].Load && r.Rows[end].Policy == r.Rows[begin].Policy {
			end++
		}
		for _, tier := range append(append([]string(nil), r.Tiers...), AllTiers) {
			if s := summarise(r.Rows[begin:end], tier); s.Seeds > 0 {
				all = append(all, s)
			}
		}
		begin = end
	}
	return all
}

func summarise(rows []Row, tier string) Summary {
	s := Summary{Load: rows[0].Load, Policy: rows[0].Policy, Tier: tier}
	var goodput, wasted []float64
	for i := range rows {
		row := &rows[i]
		good, bound, sent := tierFigures(row, tier)
		if !sent {
			continue
		}
		s.Seeds++
		goodput = append(goodput, good)
		wasted = append(wasted, wastedShare(row.Report))
		s.Bound += bound
		add(&s.FirstToken, row.Report.FirstToken[tier])
		add(&s.InterToken, row.Report.InterToken[tier])
	}
	if s.Seeds == 0 {
		return s
	}
	s.Goodput, s.WastedPrefill = spread(goodput), spread(wasted)
	s.Bound /= float64(s.Seeds)
	scale(&s.FirstToken, s.Seeds)
	scale(&s.InterToken, s.Seeds)
	return s
}

func tierFigures(row *Row, tier string) (good, bound float64, sent bool) {
	if tier != AllTiers {
		return row.Report.Goodput[tier], row.Bound[tier], row.Report.Sent[tier] > 0
	}
	total := 0
	for _, name := range slices.Sorted(maps.Keys(row.Report.Sent)) {
		n := row.Report.Sent[name]
		total += n
		good += row.Report.Goodput[name] * float64(n)
		bound += row.Bound[name] * float64(n)
	}
	if total == 0 {
		return 0, 0, false
	}
	return good / float64(total), bound / float64(total), true
}

func wastedShare(r *report.Report) float64 {
	if r.PrefillTokens == 0 {
		return 0
	}
	return float64(r.WastedPrefillTokens) / float64(r.PrefillTokens)
}

func spread(values []float64) Spread {
	s := Spread{Min: values[0], Max: values[0]}
	for _, v := range values {
		s.Mean += v / float64(len(values))
		s.Min, s.Max = min(s.Min, v), max(s.Max, v)
	}
	return s
}

func add(sum *report.Percentiles, p report.Percentiles) {
	sum.Count += p.Count
	sum.P50 += p.P50
	sum.P95 += p.P95
	sum.P99 += p.P99
}

func scale(sum *report.Percentiles, n int) {
	sum.P50 /= float64(n)
	sum.P95 /= float64(n)
	sum.P99 /= float64(n)
}
