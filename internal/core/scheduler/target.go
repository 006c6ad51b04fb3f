package scheduler

import (
	"slices"
	"strings"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/queue"
	"sycamoretrail/internal/core/request"
)

// shortMemory is how long places are kept for short requests of a tier after
// one was last offered. Without an end, a target that never sees a short
// request would leave its kept places idle.
const shortMemory = 10 * time.Second

// target is one scheduled target.
type target struct {
	desc      Target
	set       *Settings
	clock     *time.Time
	est       Estimator
	queue     *queue.Queue
	offers    map[ident.RequestID]*offer
	runs      map[ident.RequestID]*run
	may       func(*queue.Item) bool
	available bool
	share     float64

	// added is when it was placed here; awaited are the members whose reports
	// the takeover still waits for, nil once it is over.
	added    time.Time
	takeover bool
	awaited  map[ident.Incarnation]struct{}

	// Sums over runs.
	prefill     int
	prefillLong int
	longRuns    int
	suspects    int
	pending     prefillBacklog
	// hits is the part of prompts found cached, by tier and lane.
	hits    map[hitKey]float64
	service time.Duration

	// occupancy is the learned ratio of real to estimated time in place.
	occupancy float64
	// returns is when the last refused request was told to come back.
	returns time.Time
	// shortSeen is when a short request of each tier was last offered.
	shortSeen []time.Time
	// rooms are requests that were told of room here and have not come yet.
	rooms map[ident.RequestID]expectation
	// higherWaits reports whether work above a tier waits at a target of the pool
	// that is scheduled here.
	higherWaits func(request.Tier) bool
	timers      *timers
	past        lateReports
}

// expectation is a request that was told of room, until when it must come.
type expectation struct {
	tier  request.Tier
	until time.Time
	// preempts: the room is to be made by preemption.
	preempts bool
}

func newTarget(s *Scheduler, desc Target) *target {
	t := &target{
		desc:      desc,
		set:       &s.set,
		clock:     &s.now,
		offers:    make(map[ident.RequestID]*offer),
		runs:      make(map[ident.RequestID]*run),
		available: true,
		share:     1,
		added:     s.now,
		takeover:  true,
		awaited:   make(map[ident.Incarnation]struct{}, len(s.members)),
		occupancy: 1,
		hits:      make(map[hitKey]float64),
		rooms:     make(map[ident.RequestID]expectation),
		timers:    &s.timers,
	}
	for _, m := range s.members {
		t.awaited[m] = struct{}{}
	}
	if len(s.members) == 0 {
		t.awaited = nil
	}
	if s.estimators != nil {
		t.est = s.estimators(desc)
	}
	if t.est == nil {
		t.est = &figures{target: t}
	}
	t.queue = queue.New(func(org string) float64 {
		if t.set.Weights == nil {
			return 1
		}
		return t.set.Weights(org)
	})
	t.may = t.mayStart
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

// limit is how many requests the target may hold now.
func (t *target) limit() int {
	n := t.desc.MaxInFlight
	if learned := t.est.Limit(); learned > 0 && learned < n {
		n = learned
	}
	if t.share > 0 && t.share < 1 {
		n = int(float64(n) * t.share)
	}
	return max(n, 1)
}

// open reports whether grants may be given: the target takes work, and a
// takeover is over. Until then an unknown number of runs is there already; to
// grant before they are known would fill the engine's own queue.
func (t *target) open() bool {
	if !t.available {
		return false
	}
	if !t.takeover {
		return true
	}
	waited := t.clock.Sub(t.added)
	reported := t.awaited != nil && len(t.awaited) == 0 && waited >= t.set.Grant
	if reported || waited >= t.set.Silence {
		t.takeover = false
	}
	return !t.takeover
}

// opensIn is the rest of the takeover's wait.
func (t *target) opensIn() time.Duration {
	if !t.takeover {
		return 0
	}
	return max(0, t.set.Silence-t.clock.Sub(t.added))
}

// lowest is the lowest tier that this target may be granted for reasons of its
// own: only the top one until a floor that the former scheduler may have
// promised has ended.
func (t *target) lowest() request.Tier {
	if t.clock.Sub(t.added) < t.set.Floor {
		return topTier
	}
	return ^request.Tier(0)
}

// mayStart reports whether a waiting item fits beside what runs, apart from
// the number of places. See the package's notes on short and long.
func (t *target) mayStart(it *queue.Item) bool {
	switch it.Lane {
	case queue.Suspect:
		return t.suspects == 0 && t.fitsPrefill(it)
	case queue.Long:
		// One at a time where short ones come: the engine computes prompts in their
		// order of arrival, so a second brief wins nothing by being there, and a
		// short request would wait for both.
		if t.prefillLong > 0 && t.shortCome(it.Tier) {
			return false
		}
		// Not where nothing runs: the next event there may be a long time off.
		if len(t.runs) > 0 && t.higherWaits(it.Tier) {
			return false
		}
		return t.fitsPrefill(it) && t.longRuns < t.longPlaces(it.Tier) && !t.delays(it)
	}
	return t.fitsPrefill(it)
}

// longPlaces is how many long requests of a tier the target may hold. Places
// are kept from them only for short requests of their own tier or above that
// were offered lately: a higher tier is never made to wait for a lower one.
func (t *target) longPlaces(tier request.Tier) int {
	limit := t.limit()
	if t.shortCome(tier) {
		return max(1, limit-int(float64(limit)*t.set.ShortShare))
	}
	return limit
}

// shortCome reports whether short requests of a tier or above were offered lately.
func (t *target) shortCome(tier request.Tier) bool {
	for i := 0; i < len(t.shortSeen) && i <= int(tier); i++ {
		seen := t.shortSeen[i]
		if !seen.IsZero() && t.clock.Sub(seen) < shortMemory {
			return true
		}
	}
	return false
}

// fitsPrefill applies the prefill budget. Long prompts leave the short ones'
// share free; a prompt greater than the budget runs when no other is computed.
func (t *target) fitsPrefill(it *queue.Item) bool {
	budget := t.set.PrefillBudget
	if budget <= 0 || t.prefill == 0 {
		return true
	}
	kept := int(float64(budget) * t.set.ShortShare)
	if it.Lane == queue.Long {
		return t.prefillLong == 0 && it.Prompt > budget-kept || t.prefillLong+it.Prompt <= budget-kept
	}
	short := t.prefill - t.prefillLong
	return t.prefill+it.Prompt <= budget || short+it.Prompt <= kept
}

func (t *target) lane(prompt int, alone, service bool) queue.Lane {
	switch {
	case alone:
		return queue.Suspect
	case service || t.set.ShortPromptTokens <= 0 || prompt <= t.set.ShortPromptTokens:
		return queue.Short
	}
	return queue.Long
}

func (t *target) sawShort(tier request.Tier) {
	for len(t.shortSeen) <= int(tier) {
		t.shortSeen = append(t.shortSeen, time.Time{})
	}
	t.shortSeen[tier] = *t.clock
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
