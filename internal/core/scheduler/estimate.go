package scheduler

import (
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

// figures estimates from the document's figures alone.
type figures struct{ target *target }

func (f *figures) FirstToken(prompt, cached, queuedPrefill, _ int) time.Duration {
	step := f.target.desc.StepTime
	rate := f.target.desc.PrefillRate
	if rate <= 0 {
		return step
	}
	tokens := max(0, prompt-cached) + queuedPrefill
	return time.Duration(float64(tokens)/rate*float64(time.Second)) + step
}

func (f *figures) Total(prompt, cached, maxTokens, queuedPrefill, inFlight int) time.Duration {
	first := f.FirstToken(prompt, cached, queuedPrefill, inFlight)
	return first + time.Duration(maxTokens)*f.target.desc.StepTime
}

func (f *figures) Limit() int                        { return 0 }
func (f *figures) Straggler() bool                   { return false }
func (f *figures) Observe(time.Time, message.Sample) {}

// occupancyGain is the weight of a new observation of the occupancy ratio.
const occupancyGain = 0.05

// load is what a request starts beside: prompt tokens not yet computed, and
// requests in flight.
type load struct {
	prefill  int
	inFlight int
}

// loadAfter is the present load after a while: the prompts that are being
// computed now will be done by then.
func (t *target) loadAfter(wait time.Duration) load {
	l := load{prefill: t.backlog() + int(t.pending.long*(1/prefillShare-1)), inFlight: len(t.runs)}
	if wait <= 0 || l.prefill == 0 {
		return l
	}
	drain := t.est.FirstToken(l.prefill, 0, 0, l.inFlight)
	if wait >= drain {
		l.prefill = 0
		return l
	}
	l.prefill = int(float64(l.prefill) * (1 - float64(wait)/float64(drain)))
	return l
}

// loadWithout is the present load without a run that is to be cancelled.
func (t *target) loadWithout(r *run) load {
	l := load{prefill: t.prefill, inFlight: len(t.runs) - 1}
	if r.prefilling {
		l.prefill = max(0, l.prefill-r.work)
	}
	return l
}

// late reports whether an offer that starts after wait misses a deadline.
func (t *target) late(o *offer, wait time.Duration) bool {
	if !t.set.Early {
		return false
	}
	return t.lateBeside(o, wait, t.loadAfter(wait))
}

func (t *target) lateBeside(o *offer, wait time.Duration, l load) bool {
	if !t.set.Early {
		return false
	}
	start := t.clock.Add(wait)
	total := t.est.Total(o.Prompt, 0, o.msg.MaxTokens, l.prefill, l.inFlight)
	if start.Add(total).After(o.deadline) {
		return true
	}
	if o.firstBy.IsZero() {
		return false
	}
	first := t.est.FirstToken(o.Prompt, 0, l.prefill, l.inFlight)
	return start.Add(first).After(o.firstBy)
}

// latestStart is the last instant at which an idle target could still meet the
// offer's deadlines.
func (t *target) latestStart(o *offer) time.Time {
	due := o.deadline.Add(-t.est.Total(o.Prompt, 0, o.msg.MaxTokens, 0, 0))
	if o.firstBy.IsZero() {
		return due
	}
	first := o.firstBy.Add(-t.est.FirstToken(o.Prompt, 0, 0, 0))
	if first.Before(due) {
		return first
	}
	return due
}

// wait estimates how long a newcomer waits for a place.
func (t *target) wait(o *offer) time.Duration {
	return t.waitBehind(t.queue.Ahead(o.Tier, o.Organisation, o.Due), o.service)
}

// waitBehind estimates the wait of an offer behind others: places become free
// one by one, spread evenly over the mean time that a run holds its place.
func (t *target) waitBehind(ahead int, own time.Duration) time.Duration {
	limit := t.limit()
	free := limit - len(t.runs)
	if ahead < free {
		return t.opensIn()
	}
	mean := own
	if len(t.runs) > 0 {
		mean = t.service / time.Duration(len(t.runs))
	}
	mean = t.scaled(mean)
	return t.opensIn() + mean*time.Duration(ahead-max(free, 0)+1)/time.Duration(limit)
}

// lowestWait estimates the wait of a request of the lowest tier.
func (t *target) lowestWait() time.Duration {
	return t.waitBehind(t.queue.Len(), 0)
}

// scaled is the time in place that runs of an estimated time really take there.
func (t *target) scaled(service time.Duration) time.Duration {
	return time.Duration(float64(service) * t.occupancy)
}

// waits estimates the wait of a newcomer of each tier, behind all that waits of
// its own tier and above; nil if nobody waits for a place.
func (t *target) waits() []time.Duration {
	if t.queue.Len() == 0 && len(t.runs) < t.limit() {
		return nil
	}
	waits := make([]time.Duration, t.set.Tiers)
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

// Sizes at which the speed that a digest tells of is read off the estimator.
const (
	probeTokens = 1000
	probeSteps  = 100
)

// speed reads prefill rate and step time off the estimator.
func (t *target) speed() (rate float64, step time.Duration) {
	n := len(t.runs)
	span := t.est.FirstToken(2*probeTokens, 0, 0, n) - t.est.FirstToken(probeTokens, 0, 0, n)
	if span > 0 {
		rate = probeTokens / span.Seconds()
	}
	step = (t.est.Total(0, 0, 2*probeSteps, 0, n) - t.est.Total(0, 0, probeSteps, 0, n)) / probeSteps
	return rate, step
}

// retryAfter tells a refused request when to come back. Each refusal takes the
// next slot at the rate at which the target frees places, so that those who
// were refused together do not come back together.
func (s *Scheduler) retryAfter(t *target, tier request.Tier) time.Duration {
	lo := s.set.RetryMin
	hi := max(lo, s.set.RetryMax)
	mean := lo
	if len(t.runs) > 0 {
		mean = time.Duration(float64(t.service) / float64(len(t.runs)) * t.occupancy)
	}
	slot := max(mean/time.Duration(t.limit()), time.Millisecond)
	first := s.now.Add(max(lo, t.waitBehind(t.queue.Ahead(tier+1, "", s.now), 0)))
	if t.returns.Before(first) {
		t.returns = first
	}
	if t.returns.Before(s.now.Add(hi)) {
		t.returns = t.returns.Add(slot)
	}
	after := t.returns.Sub(s.now) + s.jitter(slot)
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
