package scheduler

import (
	"slices"
	"strings"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/queue"
	"sycamoretrail/internal/core/request"
)

// shortRequestWindow is how long slots are reserved for short requests of a
// tier after one was last offered. Without a limit, a target that receives no
// short requests any more would leave its reserved slots idle.
const shortRequestWindow = 10 * time.Second

// target is one scheduled target.
type target struct {
	desc       Target
	settings   *Settings
	clock      *time.Time
	estimator  Estimator
	queue      *queue.Queue
	offers     map[ident.RequestID]*offer
	runs       map[ident.RequestID]*run
	canStart   func(*queue.Item) bool
	available  bool
	limitShare float64

	// added is when the target was assigned to this scheduler. awaited are the
	// members whose reports the takeover still waits for, nil if no members are
	// known.
	added    time.Time
	takeover bool
	awaited  map[ident.Incarnation]struct{}

	// Sums over runs; longRuns and suspects are counts.
	prefill     int
	prefillLong int
	longRuns    int
	suspects    int
	pending     prefillBacklog
	// cachedShare is the share of prompt tokens found cached, by tier and lane.
	cachedShare  map[requestClass]float64
	totalService time.Duration

	// occupancy is the learned ratio of actual to estimated time in a slot.
	occupancy float64
	// lastRetryAt is the retry time that the last refused request was given.
	lastRetryAt time.Time
	// lastShort is when a short request of each tier was last offered.
	lastShort []time.Time
	// expectedOffers are requests that were directed to capacity here and have
	// not been offered yet.
	expectedOffers map[ident.RequestID]expectedOffer
	// higherWaits reports whether work above a tier waits at any target of the
	// pool that is scheduled here.
	higherWaits func(request.Tier) bool
	timers      *timers
	endedRuns   endedRuns
}

// expectedOffer is a request that was directed to a target. Its capacity is
// reserved until the given time.
type expectedOffer struct {
	tier  request.Tier
	until time.Time
	// preempts reports that its slot is to be freed by preemption.
	preempts bool
}

func newTarget(s *Scheduler, desc Target) *target {
	t := &target{
		desc:           desc,
		settings:       &s.settings,
		clock:          &s.now,
		offers:         make(map[ident.RequestID]*offer),
		runs:           make(map[ident.RequestID]*run),
		available:      true,
		limitShare:     1,
		added:          s.now,
		takeover:       true,
		awaited:        make(map[ident.Incarnation]struct{}, len(s.members)),
		occupancy:      1,
		cachedShare:    make(map[requestClass]float64),
		expectedOffers: make(map[ident.RequestID]expectedOffer),
		timers:         &s.timers,
	}
	for _, m := range s.members {
		t.awaited[m] = struct{}{}
	}
	if len(s.members) == 0 {
		t.awaited = nil
	}
	if s.estimators != nil {
		t.estimator = s.estimators(desc)
	}
	if t.estimator == nil {
		t.estimator = &staticEstimator{target: t}
	}
	t.queue = queue.New(func(org string) float64 {
		if t.settings.Weights == nil {
			return 1
		}
		return t.settings.Weights(org)
	})
	t.canStart = t.mayStart
	t.higherWaits = func(tier request.Tier) bool {
		for _, other := range s.pools[desc.Pool] {
			if other.queue.CountAbove(tier) > 0 {
				return true
			}
		}
		return false
	}
	return t
}

// limit returns how many requests the target may hold now.
func (t *target) limit() int {
	n := t.desc.MaxInFlight
	if learned := t.estimator.Limit(); learned > 0 && learned < n {
		n = learned
	}
	if t.limitShare > 0 && t.limitShare < 1 {
		n = int(float64(n) * t.limitShare)
	}
	return max(n, 1)
}

// acceptsGrants reports whether slots may be granted: the target is available
// and no takeover is in progress. During a takeover the target has an unknown
// number of runs, and granting before they are reported would fill the engine's
// own queue.
func (t *target) acceptsGrants() bool {
	if !t.available {
		return false
	}
	if !t.takeover {
		return true
	}
	waited := t.clock.Sub(t.added)
	reported := t.awaited != nil && len(t.awaited) == 0 && waited >= t.settings.GrantTime
	if reported || waited >= t.settings.FailureTimeout {
		t.takeover = false
	}
	return !t.takeover
}

// takeoverWait returns the remaining wait of a takeover.
func (t *target) takeoverWait() time.Duration {
	if !t.takeover {
		return 0
	}
	return max(0, t.settings.FailureTimeout-t.clock.Sub(t.added))
}

// takeoverFloor returns the lowest tier that may be granted after a takeover:
// only the top tier until a floor that the previous scheduler may have promised
// has ended.
func (t *target) takeoverFloor() request.Tier {
	if t.clock.Sub(t.added) < t.settings.FloorTime {
		return topTier
	}
	return ^request.Tier(0)
}

// mayStart reports whether a waiting item may start beside the current runs,
// regardless of the number of free slots.
func (t *target) mayStart(it *queue.Item) bool {
	switch it.Lane {
	case queue.Suspect:
		return t.suspects == 0 && t.fitsPrefillBudget(it)
	case queue.Long:
		// Where short requests arrive, only one long prompt is computed at a time:
		// the engine computes prompts in order of arrival, so a second long prompt
		// would gain nothing, and a short request would wait for both.
		if t.prefillLong > 0 && t.shortExpected(it.Tier) {
			return false
		}
		// If nothing runs here, the item may start regardless of higher work: it may
		// take long until the next event retries it.
		if len(t.runs) > 0 && t.higherWaits(it.Tier) {
			return false
		}
		return t.fitsPrefillBudget(it) && t.longRuns < t.longSlots(it.Tier) && !t.causesDeadlineMiss(it)
	}
	return t.fitsPrefillBudget(it)
}

// longSlots returns how many long requests of a tier the target may hold. Slots
// are reserved only for short requests of the same tier or above that were
// offered recently, so that a higher tier never waits for a lower one.
func (t *target) longSlots(tier request.Tier) int {
	limit := t.limit()
	if t.shortExpected(tier) {
		return max(1, limit-int(float64(limit)*t.settings.ShortShare))
	}
	return limit
}

// shortExpected reports whether short requests of a tier or above were offered
// recently.
func (t *target) shortExpected(tier request.Tier) bool {
	for i := 0; i < len(t.lastShort) && i <= int(tier); i++ {
		seen := t.lastShort[i]
		if !seen.IsZero() && t.clock.Sub(seen) < shortRequestWindow {
			return true
		}
	}
	return false
}

// fitsPrefillBudget reports whether an item fits into the prefill budget. Long
// prompts leave the share of short ones free. A prompt larger than its budget
// may start while no other long prompt is being computed.
func (t *target) fitsPrefillBudget(it *queue.Item) bool {
	budget := t.settings.PrefillBudget
	if budget <= 0 || t.prefill == 0 {
		return true
	}
	reserved := int(float64(budget) * t.settings.ShortShare)
	if it.Lane == queue.Long {
		return t.prefillLong == 0 && it.Prompt > budget-reserved || t.prefillLong+it.Prompt <= budget-reserved
	}
	short := t.prefill - t.prefillLong
	return t.prefill+it.Prompt <= budget || short+it.Prompt <= reserved
}

func (t *target) lane(prompt int, isolated, service bool) queue.Lane {
	switch {
	case isolated:
		return queue.Suspect
	case service || t.settings.ShortPromptTokens <= 0 || prompt <= t.settings.ShortPromptTokens:
		return queue.Short
	}
	return queue.Long
}

func (t *target) noteShort(tier request.Tier) {
	for len(t.lastShort) <= int(tier) {
		t.lastShort = append(t.lastShort, time.Time{})
	}
	t.lastShort[tier] = *t.clock
}

func (t *target) sortedOffers() []*offer {
	list := make([]*offer, 0, len(t.offers))
	for _, o := range t.offers {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *offer) int {
		if a.Tier != b.Tier {
			return int(a.Tier) - int(b.Tier)
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return list
}

func (t *target) sortedRuns() []*run {
	list := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return strings.Compare(string(a.offer.ID), string(b.offer.ID)) })
	return list
}
