package admission

import (
	"math"
	"time"

	"sycamoretrail/internal/core/poolview"
)

// capacityWindow is the time over which the capacity is averaged. It is measured relative to the
// mean latency of the last answers, which varies by a fifth with the targets that gave them.
const capacityWindow = time.Second

// smoothed is the capacity as a mean over time.
type smoothed struct {
	value float64
	size  int
}

// smooth adds an observation after a pause. No capacity, or that of another number of entries,
// takes effect at once.
func (s *smoothed) smooth(view poolview.View, pause time.Duration) float64 {
	if s.value <= 0 || view.Capacity <= 0 || view.Size != s.size {
		*s = smoothed{view.Capacity, view.Size}
		return s.value
	}
	s.value += (view.Capacity - s.value) * -math.Expm1(-pause.Seconds()/capacityWindow.Seconds())
	return s.value
}

// recentRate derives the rate of arriving work over the last fifth of a second from the means
// over two seconds that entries report: those show the end of a burst only seconds later.
type recentRate struct {
	mean, recent poolview.Work
	entries      int
	samples      [rateSamples]rateSample
	next         int
}

type rateSample struct {
	at   time.Time
	mean poolview.Work
}

const (
	// rateWindow is the time over which the recent rate is averaged, rateStep that between two
	// samples.
	rateWindow  = 200 * time.Millisecond
	rateStep    = rateWindow / 10
	rateSamples = 16
)

func (r *recentRate) observe(now time.Time, view poolview.View) {
	if view.Entries != r.entries {
		// Another number of reports changes the sum without a change of the demand.
		*r = recentRate{entries: view.Entries}
	}
	r.mean = view.Arriving
	last := &r.samples[(r.next+rateSamples-1)%rateSamples]
	if last.at.IsZero() || now.Sub(last.at) >= rateStep {
		r.samples[r.next] = rateSample{at: now, mean: view.Arriving}
		r.next = (r.next + 1) % rateSamples
	}
	base, found := r.base(now)
	if !found {
		r.recent = r.mean
		return
	}
	kept := math.Exp(-now.Sub(base.at).Seconds() / poolview.MeterWindow.Seconds())
	for rank := range r.recent {
		r.recent[rank] = max(0, (r.mean[rank]-base.mean[rank]*kept)/(1-kept))
	}
}

// base returns the latest sample that is at least the window old.
func (r *recentRate) base(now time.Time) (rateSample, bool) {
	for i := range rateSamples {
		sample := r.samples[(r.next+rateSamples-1-i)%rateSamples]
		if sample.at.IsZero() {
			break
		}
		if now.Sub(sample.at) >= rateWindow {
			return sample, true
		}
	}
	return rateSample{}, false
}
