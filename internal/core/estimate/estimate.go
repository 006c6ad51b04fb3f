// Package estimate learns the speed of one target from the streams that the
// entries observe, so that waits, deadlines and limits require no load reports
// from the target. The document's class figures are the prior; their weight
// decreases with each sample. Every statistic is robust against single outliers.
//
// Durations are wall time as the target's callers see it; rates are prompt
// tokens per second. Nothing here returns an error: unusable parts of a sample
// are ignored.
package estimate

import (
	"math"
	"time"

	"sycamoretrail/internal/core/message"
)

const (
	// defaultStep, defaultPrefillRate and defaultMaxInFlight replace class figures
	// that the document omits.
	defaultStep        = 20 * time.Millisecond
	defaultPrefillRate = 4000.0
	defaultMaxInFlight = 8
	// minStepTokens is the length of the shortest answer with a meaningful mean step
	// time.
	minStepTokens = 2
	// minStep keeps a learned step above zero.
	minStep = 10 * time.Microsecond
)

// Prior is the document's figures for a target's class.
type Prior struct {
	// PrefillRate is in prompt tokens per second; 0 for services.
	PrefillRate float64
	// StepTime is the time between tokens, or for a service the time of a call.
	StepTime time.Duration
	// MaxInFlight bounds Limit.
	MaxInFlight int
	// Service reports that calls have no tokens, and that a sample's FirstToken is
	// the time of the complete call.
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

// New returns an estimate that starts from the prior. Missing figures are
// replaced by defaults.
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

// Observe adds the measurements of one run. Parts that were not measured are zero
// and ignored, so a run that is still streaming may be reported too. now is used
// only to age the history.
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
	low := e.limit.isLowBatch(s.Batch)
	// At a high batch a late first token may be caused by the engine's own queue.
	// If the queue were learned as slow prefill, the estimate would account for it
	// and the limit would never decrease. It suffices to learn slow prefill at a
	// low batch, since the limit decreases until the batch is low.
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
		e.history.reset()
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

// PrefillRate returns the prompt tokens per second, or 0 for a service.
func (e *Estimate) PrefillRate() float64 {
	if e.service {
		return 0
	}
	return e.prefill.rate()
}

// StepTime returns the time between tokens while batch requests run at the
// target, or the time of a call to a service. It follows a straggler's current
// speed.
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

// Limit returns how many requests the target should hold now: between 1 and
// MaxInFlight, fewer while its step times are slow, 1 while it is a straggler.
func (e *Estimate) Limit() int {
	limit := e.limit.value()
	switch {
	case e.history.straggler:
		return 1
	case e.history.slow():
		return max(limit/slowDivisor, 1)
	}
	return limit
}

// Straggler reports whether the target's step times are far above its own
// history.
func (e *Estimate) Straggler() bool { return e.history.straggler }

func seconds(s float64) time.Duration {
	if s > math.MaxInt64/float64(time.Second)/2 {
		return math.MaxInt64 / 2
	}
	return time.Duration(s * float64(time.Second))
}
