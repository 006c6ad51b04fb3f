// Package estimate learns the speed of one target from the streams that the
// entries see themselves, so that waits, deadlines and limits need no load
// report of the target. The document's class figures are the prior; they fade
// as samples come. Every statistic is robust: one outlier does not move it.
//
// Durations are wall time of the target as its callers see it; rates are
// prompt tokens per second. Nothing here returns an error: a sample without a
// usable part is ignored.
package estimate

import (
	"math"
	"time"

	"sycamoretrail/internal/core/message"
)

const (
	// defaultStep, defaultPrefillRate and defaultMaxInFlight stand in for class
	// figures that the document leaves out.
	defaultStep        = 20 * time.Millisecond
	defaultPrefillRate = 4000.0
	defaultMaxInFlight = 8
	// minStepTokens is the least answer whose mean step time says anything.
	minStepTokens = 2
	// minStep keeps a learned step above zero.
	minStep = 10 * time.Microsecond
)

// Prior is what the document says of a target's class.
type Prior struct {
	// PrefillRate is prompt tokens per second; 0 for services.
	PrefillRate float64
	// StepTime is the time between tokens; for a service the time of a call.
	StepTime time.Duration
	// MaxInFlight bounds Limit.
	MaxInFlight int
	// Service: calls have no tokens; FirstToken is the time of the whole call.
	Service bool
}

// Estimate is the learned speed of one target. It is not safe for concurrent
// use. Its size is fixed; it holds no pointers.
type Estimate struct {
	service bool
	steps   stepLine
	prefill prefillRing
	history history
	limit   limiter
}

// New starts from the prior; absent figures take defaults.
func New(p Prior) *Estimate {
	p = withDefaults(p)
	e := &Estimate{service: p.Service}
	e.steps = newStepLine(p.StepTime.Seconds(), p.MaxInFlight)
	e.prefill = newPrefillRing(p.PrefillRate)
	e.limit = newLimiter(p.MaxInFlight)
	return e
}

func withDefaults(p Prior) Prior {
	if p.PrefillRate <= 0 {
		p.PrefillRate = defaultPrefillRate
	}
	if p.StepTime <= 0 {
		p.StepTime = defaultStep
	}
	if p.MaxInFlight <= 0 {
		p.MaxInFlight = defaultMaxInFlight
	}
	return p
}

// Observe takes what one run showed. Parts not seen are zero and ignored, so a
// run that still streams may be reported too. now only ages the history.
func (e *Estimate) Observe(now time.Time, s message.Sample) {
	if e.service {
		e.observeCall(now, s)
		return
	}
	if s.FirstToken > 0 {
		e.observeFirstToken(s)
	}
	if s.StepTime > 0 && s.Tokens >= minStepTokens {
		e.observeStep(now, s.StepTime.Seconds(), s.Batch)
	}
}

func (e *Estimate) observeFirstToken(s message.Sample) {
	step := e.stepSeconds(max(s.Batch, 1))
	work := float64(max(s.PromptTokens-s.CachedTokens, 0) + max(s.QueuedPrefill, 0))
	first := s.FirstToken.Seconds()
	queued := e.prefill.queued(first, work, step)
	low := e.limit.low(s.Batch)
	// Failure: at a high batch a late first token may be the engine's queue.
	// Symptom: the queue would be learned as slow prefill, explain itself and
	// never lower the limit. It is enough to learn slowness at a low batch
	// only, since the limit falls until the batch is low.
	if !queued || low {
		e.prefill.add(work, first-step, low)
	}
	e.limit.observe(queued, s.Batch)
}

func (e *Estimate) observeStep(now time.Time, step float64, batch int) {
	expected := e.steps.at(e.steps.batchOr(batch))
	e.history.add(now, step/expected)
	if e.history.rebase(now) {
		e.steps.scale(e.history.level())
		e.history.forget()
		return
	}
	if e.history.slow() || e.history.straggler {
		return
	}
	decay := stepLearnDecay
	if e.history.established() {
		decay = stepDecay
	}
	e.steps.add(batch, step, decay)
}

func (e *Estimate) observeCall(now time.Time, s message.Sample) {
	if s.FirstToken <= 0 {
		return
	}
	call := s.FirstToken.Seconds()
	e.limit.observe(call > serviceQueueFactor*e.steps.at(1), s.Batch)
	e.observeStep(now, call, s.Batch)
}

// PrefillRate is prompt tokens per second; 0 for a service.
func (e *Estimate) PrefillRate() float64 {
	if e.service {
		return 0
	}
	return e.prefill.rate()
}

// StepTime is the time between tokens when batch requests run there, or the
// time of a call to a service. It follows a straggler's present speed.
func (e *Estimate) StepTime(batch int) time.Duration {
	return max(seconds(e.stepSeconds(batch)), minStep)
}

func (e *Estimate) stepSeconds(batch int) float64 {
	return e.steps.at(float64(max(batch, 1))) * e.history.level()
}

// FirstToken estimates the time from dispatch to the first token of a request
// with cached of its prompt's tokens in the target's cache, behind
// queuedPrefill tokens of other prompts, beside inFlight requests.
func (e *Estimate) FirstToken(prompt, cached, queuedPrefill, inFlight int) time.Duration {
	step := e.StepTime(inFlight + 1)
	if e.service {
		return step
	}
	work := float64(max(prompt-cached, 0) + max(queuedPrefill, 0))
	return seconds(work/e.prefill.rate()) + step
}

// Total estimates the time from dispatch to the last of maxTokens tokens.
func (e *Estimate) Total(prompt, cached, maxTokens, queuedPrefill, inFlight int) time.Duration {
	first := e.FirstToken(prompt, cached, queuedPrefill, inFlight)
	if e.service || maxTokens <= 1 {
		return first
	}
	return first + time.Duration(maxTokens-1)*e.StepTime(inFlight+1)
}

// Limit is how many requests the target should hold now: between 1 and
// MaxInFlight, less while its step times are slow, 1 while it is a straggler.
func (e *Estimate) Limit() int {
	limit := e.limit.value()
	switch {
	case e.history.straggler:
		return 1
	case e.history.slow():
		return max(limit/slowShare, 1)
	}
	return limit
}

// Straggler reports whether the target's step time left its own history.
func (e *Estimate) Straggler() bool { return e.history.straggler }

func seconds(s float64) time.Duration {
	if s > math.MaxInt64/float64(time.Second)/2 {
		return math.MaxInt64 / 2
	}
	return time.Duration(s * float64(time.Second))
}
