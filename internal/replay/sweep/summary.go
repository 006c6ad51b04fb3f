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

// Summary summarises one tier at one load under one policy over the seeds.
type Summary struct {
	Load    float64
	Policy  entry.Policy
	Tier    string
	Seeds   int
	Goodput Spread
	// Bound, Ceiling and Demand are the means of Bounds.
	Bound, Ceiling, Demand float64
	// WastedPrefill is the share of prefill that was wasted, over all tiers.
	WastedPrefill Spread
	// FirstToken and InterToken are means over the seeds, in ms; FirstP99 is the
	// spread of the first token's p99.
	FirstToken, InterToken report.Percentiles
	FirstP99               Spread
	// Inversions counts tier inversions over all tiers and seeds, Broken all other
	// violations.
	Inversions, Broken int
}

// groups calls do with the rows of each load and policy, in order.
func (r *Result) groups(do func(rows []Row)) {
	for begin := 0; begin < len(r.Rows); {
		end := begin
		for end < len(r.Rows) && r.Rows[end].Load == r.Rows[begin].Load && r.Rows[end].Policy == r.Rows[begin].Policy {
			end++
		}
		do(r.Rows[begin:end])
		begin = end
	}
}

// Summaries summarises the rows in their order, each tier in turn and then AllTiers.
func (r *Result) Summaries() []Summary {
	var all []Summary
	r.groups(func(rows []Row) {
		for _, tier := range append(append([]string(nil), r.Tiers...), AllTiers) {
			if s := summarise(rows, tier); s.Seeds > 0 {
				all = append(all, s)
			}
		}
	})
	return all
}

func summarise(rows []Row, tier string) Summary {
	s := Summary{Load: rows[0].Load, Policy: rows[0].Policy, Tier: tier}
	var goodput, wasted, slowest []float64
	for i := range rows {
		row := &rows[i]
		good, sent := tierFigures(row.Report, tier)
		if !sent {
			continue
		}
		s.Seeds++
		goodput = append(goodput, good)
		wasted = append(wasted, wastedShare(row.Report))
		slowest = append(slowest, row.Report.FirstToken[tier].P99)
		s.Bound += row.Bounds.Priority[tier]
		s.Ceiling += row.Bounds.Ceiling[tier]
		s.Demand += row.Bounds.Demand[tier]
		s.Inversions += row.Report.TierInversions
		s.Broken += broken(row.Report)
		add(&s.FirstToken, row.Report.FirstToken[tier])
		add(&s.InterToken, row.Report.InterToken[tier])
	}
	if s.Seeds == 0 {
		return s
	}
	s.Goodput, s.WastedPrefill, s.FirstP99 = spread(goodput), spread(wasted), spread(slowest)
	s.Bound /= float64(s.Seeds)
	s.Ceiling /= float64(s.Seeds)
	s.Demand /= float64(s.Seeds)
	scale(&s.FirstToken, s.Seeds)
	scale(&s.InterToken, s.Seeds)
	return s
}

func tierFigures(r *report.Report, tier string) (good float64, sent bool) {
	if tier != AllTiers {
		return r.Goodput[tier], r.Sent[tier] > 0
	}
	total := 0
	for _, name := range slices.Sorted(maps.Keys(r.Sent)) {
		n := r.Sent[name]
		total += n
		good += r.Goodput[name] * float64(n)
	}
	if total == 0 {
		return 0, false
	}
	return good / float64(total), true
}

// broken counts the violations of guarantees other than tier inversions.
func broken(r *report.Report) int {
	return r.Unanswered + r.IncompleteAnswers + r.DispatchedTwice + r.NonIdempotentRanTwice + r.FalseNotRun
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
