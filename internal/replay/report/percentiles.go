package report

import (
	"math"
	"slices"
	"time"
)

// Percentiles summarises a set of durations, in milliseconds.
type Percentiles struct {
	Count int     `json:"count"`
	Min   float64 `json:"min"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// percentiles computes percentiles by nearest rank; it sorts its argument.
func percentiles(values []time.Duration) Percentiles {
	if len(values) == 0 {
		return Percentiles{}
	}
	slices.Sort(values)
	return Percentiles{
		Count: len(values),
		Min:   milliseconds(values[0]),
		P50:   milliseconds(nearestRank(values, 0.50)),
		P95:   milliseconds(nearestRank(values, 0.95)),
		P99:   milliseconds(nearestRank(values, 0.99)),
		Max:   milliseconds(values[len(values)-1]),
	}
}

func nearestRank(sorted []time.Duration, share float64) time.Duration {
	rank := int(math.Ceil(share * float64(len(sorted))))
	return sorted[max(rank, 1)-1]
}

// PercentilesOf returns the percentiles of durations without modifying the slice.
func PercentilesOf(values []time.Duration) Percentiles { return percentiles(slices.Clone(values)) }
