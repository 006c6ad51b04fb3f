package scheduler

import (
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

// Digests returns the state of the targets scheduled here, sorted by name.
func (s *Scheduler) Digests(now time.Time) []message.Digest {
	s.advance(now)
	list := make([]message.Digest, 0, len(s.targets))
	for _, name := range sortedKeys(s.targets) {
		list = append(list, s.targets[name].digest())
	}
	return list
}

func (t *target) digest() message.Digest {
	rate, step := t.speed()
	return message.Digest{
		Target:         t.desc.Name,
		Limit:          t.limit(),
		InFlight:       len(t.runs),
		Queued:         t.queue.Len(),
		QueuedPrefill:  t.backlog(),
		WaitingPrefill: t.queue.PromptTokens(),
		Waits:          t.waitsByTier(),
		PrefillRate:    rate,
		StepTime:       step,
		Available:      t.available && !t.estimator.Straggler(),
		LowestTier:     t.lowestHeld(),
		Wait:           t.lowestWait(),
	}
}

func (t *target) lowestHeld() request.Tier {
	var low request.Tier
	for _, r := range t.runs {
		low = max(low, r.offer.Tier)
	}
	if last := t.queue.Last(); last != nil {
		low = max(low, last.Tier)
	}
	return low
}

// TargetView is the state of a target as reported to operators.
type TargetView struct {
	Name, Pool string
	Available  bool
	Straggler  bool
	// Takeover reports that nothing is granted yet, since the owners' reports are
	// outstanding.
	Takeover bool
	Limit    int
	InFlight int
	// Granted is how many of InFlight no owner has reported yet.
	Granted    int
	Preempting int
	Suspects   int
	// Queued is the number of waiting offers by tier, Held the number of those
	// that wait outside the queue for the end of an exchange.
	Queued  []int
	Held    int
	Prefill int
	// Floor is the lowest tier admitted, or tierfloor.NoFloor.
	Floor request.Tier
	Wait  time.Duration
}

// Inspect returns the operators' view of the targets scheduled here, sorted by
// name.
func (s *Scheduler) Inspect(now time.Time) []TargetView {
	s.advance(now)
	list := make([]TargetView, 0, len(s.targets))
	for _, name := range sortedKeys(s.targets) {
		list = append(list, s.inspect(s.targets[name]))
	}
	return list
}

func (s *Scheduler) inspect(t *target) TargetView {
	accepting := t.acceptsGrants()
	v := TargetView{
		Name:      t.desc.Name,
		Pool:      t.desc.Pool,
		Available: t.available,
		Straggler: t.estimator.Straggler(),
		Takeover:  t.available && !accepting,
		Limit:     t.limit(),
		InFlight:  len(t.runs),
		Suspects:  t.suspects,
		Queued:    make([]int, t.queue.Tiers()),
		Held:      len(t.offers) - t.queue.Len(),
		Prefill:   t.prefill,
		Floor:     s.floors.Admission(s.now, t.desc.Pool).Floor,
		Wait:      t.lowestWait(),
	}
	for tier := range v.Queued {
		v.Queued[tier] = t.queue.TierLen(request.Tier(tier))
	}
	for _, r := range t.runs {
		if !r.reported {
			v.Granted++
		}
		if r.preempting {
			v.Preempting++
		}
	}
	return v
}
