package scheduler

import (
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/queue"
	"sycamoretrail/internal/core/request"
)

// prefillShare is the part of an engine's time that goes to prompts while some
// are computed; the rest goes to the streams that decode beside them.
const prefillShare = 0.75

// leastStepPart: a step time of which less than this part is left once the
// prompts computed beside it are taken off says nothing of the engine's steps.
const leastStepPart = 0.25

// prefillBacklog follows the prompt tokens of a target that are granted and not
// computed, between the reports of first tokens.
type prefillBacklog struct {
	tokens float64
	// long is the part of tokens that is of long prompts, spent what was computed
	// of those so far.
	long, spent float64
	at          time.Time
}

// hitGain is the weight of a new observation of the cached part.
const hitGain = 0.05

// hitKey is a sort of request; those of one tier and lane mostly share prefixes.
type hitKey struct {
	tier request.Tier
	lane queue.Lane
}

// cached is the part of an offer's prompt, in tokens, that is expected in the
// target's cache, by what requests of its sort found there.
func (t *target) cached(m message.Offer) int {
	lane := t.lane(m.PromptTokens, m.Alone, m.Kind == request.Service)
	return int(t.hits[hitKey{m.Tier, lane}] * float64(m.PromptTokens))
}

func (t *target) learnCached(r *run, s message.Sample) {
	if s.FirstToken <= 0 || s.PromptTokens <= 0 {
		return
	}
	key := hitKey{r.offer.Tier, r.lane}
	t.hits[key] += hitGain * (float64(s.CachedTokens)/float64(s.PromptTokens) - t.hits[key])
}

// backlog is the prompt tokens that are granted and, by estimate, not computed.
func (t *target) backlog() int {
	t.drain()
	return int(t.pending.tokens)
}

// drain takes off what was computed since the last look.
func (t *target) drain() {
	p := &t.pending
	elapsed := t.clock.Sub(p.at).Seconds()
	p.at = *t.clock
	if p.tokens <= 0 || elapsed <= 0 {
		return
	}
	rate, _ := t.speed()
	done := min(p.tokens, elapsed*rate*prefillShare)
	long := done * p.long / p.tokens
	p.tokens -= done
	p.long -= long
	p.spent += long
}

func (t *target) addBacklog(r *run) {
	t.drain()
	t.pending.tokens += float64(r.work)
	if r.lane == queue.Long {
		t.pending.long += float64(r.work)
	}
}

// clampBacklog holds the estimate to what can be left at most.
func (t *target) clampBacklog() {
	t.drain()
	p := &t.pending
	p.tokens = min(p.tokens, float64(t.prefill))
	if most := float64(t.prefillLong); p.long > most {
		p.spent += p.long - most
		p.long = most
	}
}

// ownSteps takes the time for others' long prompts off a run's step time. Short
// ones come steadily, so what they take is part of the step.
//
// Failure: an engine computes a brief in chunks, a step each, so the streams
// beside it get their tokens late. Symptom: learned as the engine's step time
// that makes it a straggler, and its limit falls to one place.
func (t *target) ownSteps(r *run, s *message.Sample) {
	rate, _ := t.speed()
	if rate <= 0 || s.Tokens <= 0 || s.StepTime <= 0 {
		return
	}
	t.drain()
	beside := seconds((t.pending.spent - r.spentBefore) / rate)
	step := s.StepTime - beside/time.Duration(s.Tokens)
	if float64(step) < leastStepPart*float64(s.StepTime) {
		step = 0
	}
	s.StepTime = step
}

// putOff moves the probable ends of what runs: the streams wait while a long
// prompt is computed beside them.
func (t *target) putOff(span time.Duration) {
	for _, r := range t.runs {
		r.end = r.end.Add(span)
	}
}

// prefillTime is how long the engine computes prompts of so many tokens.
func (t *target) prefillTime(tokens int) time.Duration {
	rate, _ := t.speed()
	if rate <= 0 {
		return 0
	}
	return seconds(float64(tokens) / (rate * prefillShare))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// delays reports whether the computation of a long prompt, begun now, would make
// a run of its tier or a higher one miss its deadline.
//
// Failure: a brief's chunks take an engine's time from the streams beside it.
// Symptom: short answers whose prompt is computed already are cut at their
// deadline. Holding the brief back suffices: it waits for their end, or goes to
// another target, and nothing has been computed for it.
func (t *target) delays(it *queue.Item) bool {
	extra := t.prefillTime(t.backlog() + it.Prompt)
	for _, r := range t.runs {
		if !it.Tier.Above(r.offer.Tier) && r.end.Add(extra).After(r.deadline) {
			return true
		}
	}
	return false
}
