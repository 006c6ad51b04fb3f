package scheduler

import (
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/queue"
	"sycamoretrail/internal/core/request"
)

// prefillShare is the share of an engine's time spent on prompts while any are
// being computed; the rest goes to the streams that decode beside them.
const prefillShare = 0.75

// minStepShare is the least share of a measured step time that must remain after
// the time for prompts computed beside it is subtracted. With less, the sample
// is no measure of the engine's steps.
const minStepShare = 0.25

// prefillBacklog estimates the prompt tokens of a target that are granted and
// not yet computed, between the reports of first tokens.
type prefillBacklog struct {
	tokens float64
	// long is the part of tokens that belongs to long prompts; longComputed is the
	// total of long prompts' tokens computed so far.
	long, longComputed float64
	at                 time.Time
}

// cachedShareGain is the weight of a new observation of the cached share.
const cachedShareGain = 0.05

// requestClass groups requests that mostly share prefixes: those of one tier and
// lane.
type requestClass struct {
	tier request.Tier
	lane queue.Lane
}

// cached returns how many of an offer's prompt tokens are expected in the
// target's cache, based on previous requests of its class.
func (t *target) cached(m message.Offer) int {
	lane := t.lane(m.PromptTokens, m.Isolated, m.Kind == request.Service)
	return int(t.cachedShare[requestClass{m.Tier, lane}] * float64(m.PromptTokens))
}

func (t *target) learnCached(r *run, s message.Sample) {
	if s.FirstToken <= 0 || s.PromptTokens <= 0 {
		return
	}
	key := requestClass{r.offer.Tier, r.lane}
	t.cachedShare[key] += cachedShareGain * (float64(s.CachedTokens)/float64(s.PromptTokens) - t.cachedShare[key])
}

// backlog returns the estimated prompt tokens that are granted and not yet
// computed.
func (t *target) backlog() int {
	t.advanceBacklog()
	return int(t.pending.tokens)
}

// advanceBacklog subtracts the tokens computed since its last call.
func (t *target) advanceBacklog() {
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
	p.longComputed += long
}

func (t *target) addBacklog(r *run) {
	t.advanceBacklog()
	t.pending.tokens += float64(r.uncachedPrompt)
	if r.lane == queue.Long {
		t.pending.long += float64(r.uncachedPrompt)
	}
}

// clampBacklog limits the estimate to the prompt tokens still counted.
func (t *target) clampBacklog() {
	t.advanceBacklog()
	p := &t.pending
	p.tokens = min(p.tokens, float64(t.prefill))
	if most := float64(t.prefillLong); p.long > most {
		p.longComputed += p.long - most
		p.long = most
	}
}

// subtractLongPrefill subtracts the time for other runs' long prompts from a
// run's step time. Short prompts arrive steadily, so their time remains part of
// the step.
//
// An engine computes a long prompt in chunks, one per step, which delays the
// tokens of the streams beside it. Learned as the engine's step time, that delay
// would make the engine a straggler and reduce its limit to one slot.
func (t *target) subtractLongPrefill(r *run, s *message.Sample) {
	rate, _ := t.speed()
	if rate <= 0 || s.Tokens <= 0 || s.StepTime <= 0 {
		return
	}
	t.advanceBacklog()
	beside := seconds((t.pending.longComputed - r.longComputedBefore) / rate)
	step := s.StepTime - beside/time.Duration(s.Tokens)
	if float64(step) < minStepShare*float64(s.StepTime) {
		step = 0
	}
	s.StepTime = step
}

// delayRuns postpones the expected ends of the current runs, whose streams wait
// while a long prompt is computed beside them.
func (t *target) delayRuns(span time.Duration) {
	for _, r := range t.runs {
		r.expectedEnd = r.expectedEnd.Add(span)
	}
}

// prefillTime returns how long the engine takes to compute prompts of the given
// number of tokens.
func (t *target) prefillTime(tokens int) time.Duration {
	rate, _ := t.speed()
	if rate <= 0 {
		return 0
	}
	return seconds(float64(tokens) / (rate * prefillShare))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// causesDeadlineMiss reports whether the computation of a long prompt, begun
// now, would make a run of its tier or a higher one miss its deadline.
//
// The chunks of a long prompt take engine time from the streams beside it, so
// short answers whose prompts are already computed would be cancelled at their
// deadline. It suffices to hold the long prompt back: it waits for those answers
// to end or goes to another target, and nothing has been computed for it.
func (t *target) causesDeadlineMiss(it *queue.Item) bool {
	extra := t.prefillTime(t.backlog() + it.Prompt)
	for _, r := range t.runs {
		if !it.Tier.Above(r.offer.Tier) && r.expectedEnd.Add(extra).After(r.deadline) {
			return true
		}
	}
	return false
}
