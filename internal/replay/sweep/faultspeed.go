package sweep

import (
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/replay/trace"
	"sycamoretrail/internal/replay/virtual"
)

// stepMargin is how long a step that began at the previous speed may continue.
const stepMargin = 200 * time.Millisecond

// slowed is an interval in which one target is slower.
type slowed struct {
	from, to time.Duration
	lost     float64
}

// speedUnder returns the speed of a pool by time, as a share of its full speed, under
// the faults that slow targets down: crashes and straggling.
func speedUnder(doc *document.Document, pool string, all []targetClass, faults []virtual.Fault) func(time.Duration) float64 {
	var times []slowed
	for i := range faults {
		f := &faults[i]
		left := 0.0
		switch {
		case f.Kind == virtual.TargetStraggle && f.Factor > 1:
			left = 1 / f.Factor
		case f.Kind != virtual.TargetCrash:
			continue
		}
		target := virtual.FaultTarget(doc, f)
		if target == nil || target.Pool != pool {
			continue
		}
		from := time.Duration(f.AtMS) * time.Millisecond
		times = append(times, slowed{
			from: from + stepMargin, to: from + time.Duration(f.ForMS)*time.Millisecond,
			lost: (1 - left) * priceOf(doc, all, target),
		})
	}
	return func(at time.Duration) float64 {
		speed := 1.0
		for i := range times {
			if at >= times[i].from && at < times[i].to {
				speed -= times[i].lost
			}
		}
		return max(speed, 0)
	}
}

func priceOf(doc *document.Document, all []targetClass, target *document.Target) float64 {
	class := trace.ClassOf(doc, target.Class)
	for i := range all {
		if all[i].class == class {
			return all[i].price
		}
	}
	return 0
}
