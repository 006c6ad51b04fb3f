package scheduler

import (
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

// staticEstimator estimates from the document's figures alone.
type staticEstimator struct{ target *target }

func (f *staticEstimator) FirstToken(prompt, cached, queuedPrefill, _ int) time.Duration {
	step := f.target.desc.StepTime
	rate := f.target.desc.PrefillRate
	if rate <= 0 {
		return step
	}
	tokens := max(0, prompt-cached) + queuedPrefill
	return time.Duration(float64(tokens)/rate*float64(time.Second)) + step
}

func (f *staticEstimator) Total(prompt, cached, maxTokens, queuedPrefill, inFlight int) time.Duration {
	first := f.FirstToken(prompt, cached, queuedPrefill, inFlight)
	return first + time.Duration(maxTokens)*f.target.desc.StepTime
}

func (f *staticEstimator) Limit() int                        { return 0 }
func (f *staticEstimator) Straggler() bool                   { return false }
func (f *staticEstimator) Observe(time.Time, message.Sample) {}

// occupancyGain is the weight of a new observation of the occupancy ratio.
const occupancyGain = 0.05

// load is the load of a target when a request starts: prompt tokens not yet
// computed, and requests in flight.
type load struct {
	prefill  int
	inFlight int
}

// loadAfter estimates the load after a wait, during which the prompts that are
// being computed now progress.
func (t *target) loadAfter(wait time.Duration) load {
	l := load{prefill: t.backlog() + int(t.pending.long*(1/prefillShare-1)), inFlight: len(t.runs)}
	if wait <= 0 || l.prefill == 0 {
		return l
	}
	drain := t.estimator.FirstToken(l.prefill, 0, 0, l.inFlight)
	if wait >= drain {
		l.prefill = 0
		return l
	}
	l.prefill = int(float64(l.prefill) * (1 - float64(wait)/float64(drain)))
	return l
}

// loadWithout returns the current load without a run that is to be cancelled.
func (t *target) loadWithout(r *run) load {
	l := load{prefill: t.prefill, inFlight: len(t.runs) - 1}
	if r.prefilling {
		l.prefill = max(0, l.prefill-r.uncachedPrompt)
	}
	return l
}

// missesDeadline reports whether an offer that starts after wait misses one of
// its deadlines.
func (t *target) missesDeadline(o *offer, wait time.Duration) bool {
	if !t.settings.RefuseEarly {
		return false
	}
	return t.missesDeadlineWith(o, wait, t.loadAfter(wait))
}

func (t *target) missesDeadlineWith(o *offer, wait time.Duration, l load) bool {
	if !t.settings.RefuseEarly {
		return false
	}
	start := t.clock.Add(wait)
	total := t.estimator.Total(o.Prompt, 0, o.msg.MaxTokens, l.prefill, l.inFlight)
	if start.Add(total).After(o.deadline) {
		return true
	}
	if o.firstTokenBy.IsZero() {
		return false
	}
	first := t.estimator.FirstToken(o.Prompt, 0, l.prefill, l.inFlight)
	return start.Add(first).After(o.firstTokenBy)
}

// latestStart returns the latest start at which an idle target could still meet
// the offer's deadlines.
func (t *target) latestStart(o *offer) time.Time {
	due := o.deadline.Add(-t.estimator.Total(o.Prompt, 0, o.msg.MaxTokens, 0, 0))
	if o.firstTokenBy.IsZero() {
		return due
	}
	first := o.firstTokenBy.Add(-t.estimator.FirstToken(o.Prompt, 0, 0, 0))
	if first.Before(due) {
		return first
	}
	return due
}

// wait estimates how long a new offer waits for a slot.
func (t *target) wait(o *offer) time.Duration {
	return t.waitBehind(t.queue.Ahead(o.Tier, o.Organisation, o.Due), o.service)
}

// waitBehind estimates the wait of an offer behind others. It assumes that slots
// become free one by one, evenly spread over the mean time that a run occupies
// its slot.
func (t *target) waitBehind(ahead int, own time.Duration) time.Duration {
	limit := t.limit()
	free := limit - len(t.runs)
	if ahead < free {
		return t.takeoverWait()
	}
	mean := own
	if len(t.runs) > 0 {
		mean = t.totalService / time.Duration(len(t.runs))
	}
	mean = t.scaled(mean)
	return t.takeoverWait() + mean*time.Duration(ahead-max(free, 0)+1)/time.Duration(limit)
}

// lowestWait estimates the wait of a request of the lowest tier.
func (t *target) lowestWait() time.Duration {
	return t.waitBehind(t.queue.Len(), 0)
}

// scaled converts an estimated service time to the actual time in a slot.
func (t *target) scaled(service time.Duration) time.Duration {
	return time.Duration(float64(service) * t.occupancy)
}

// waitsByTier estimates the wait of a new offer of each tier behind all waiting
// offers of its own tier and above. It returns nil if there are no waiting
// offers and a free slot.
func (t *target) waitsByTier() []time.Duration {
	if t.queue.Len() == 0 && len(t.runs) < t.limit() {
		return nil
	}
	waits := make([]time.Duration, t.settings.Tiers)
	for tier := range waits {
		waits[tier] = t.waitBehind(t.queue.CountAbove(request.Tier(tier+1)), 0)
	}
	return waits
}

func (t *target) learnOccupancy(r *run, held time.Duration) {
	if r.service <= 0 {
		return
	}
	ratio := min(4, float64(held)/float64(r.service))
	t.occupancy += occupancyGain * (ratio - t.occupancy)
}

// Sizes for which speed queries the estimator.
const (
	probeTokens = 1000
	probeSteps  = 100
)

// speed derives the prefill rate and step time from the estimator.
func (t *target) speed() (rate float64, step time.Duration) {
	n := len(t.runs)
	span := t.estimator.FirstToken(2*probeTokens, 0, 0, n) - t.estimator.FirstToken(probeTokens, 0, 0, n)
	if span > 0 {
		rate = probeTokens / span.Seconds()
	}
	step = (t.estimator.Total(0, 0, 2*probeSteps, 0, n) - t.estimator.Total(0, 0, probeSteps, 0, n)) / probeSteps
	return rate, step
}

// retryAfter returns the retry delay for a refused request. Successive refusals
// are spaced at the rate at which the target frees slots, so that callers
// refused together do not return together.
func (s *Scheduler) retryAfter(t *target, tier request.Tier) time.Duration {
	lo := s.settings.RetryMin
	hi := max(lo, s.settings.RetryMax)
	mean := lo
	if len(t.runs) > 0 {
		mean = time.Duration(float64(t.totalService) / float64(len(t.runs)) * t.occupancy)
	}
	interval := max(mean/time.Duration(t.limit()), time.Millisecond)
	first := s.now.Add(max(lo, t.waitBehind(t.queue.Ahead(tier+1, "", s.now), 0)))
	if t.lastRetryAt.Before(first) {
		t.lastRetryAt = first
	}
	if t.lastRetryAt.Before(s.now.Add(hi)) {
		t.lastRetryAt = t.lastRetryAt.Add(interval)
	}
	after := t.lastRetryAt.Sub(s.now) + s.jitter(interval)
	if after >= hi {
		return hi/2 + s.jitter(hi/2)
	}
	return max(lo, after)
}

func (s *Scheduler) jitter(span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(span)))
}
