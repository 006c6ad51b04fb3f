package rollout

import (
	"math"
	"slices"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
)

const (
	// canaryShare is the part of the allowed exposure that the canary gets. What is left
	// covers chance and the requests that all go to the new version before a fault shows
	// which begins only then.
	canaryShare = 0.9
	// clumpPeriod is the time in which a canary of few servers gets one burst of requests:
	// long against the time of a plain call, short against a roll-out.
	clumpPeriod = time.Second
	// stress is how much more a target of the canary gets in a burst than an old one: a
	// version that is bad under load has to be found by the load of a busy hour.
	stress = 2.5
	// maxChance bounds the chance of one request to go to the canary while a burst lasts.
	maxChance = 0.9
	// leaderSilence is how long an entry sends to the canary without word of the leader,
	// as a part of the time in which a bad version must be stopped, and at most.
	leaderSilenceShare = 0.3
	maxLeaderSilence   = 1500 * time.Millisecond
	// turnLength is how long a set of new servers is the canary: long enough for some answers
	// of each, from which its usual time is known.
	turnLength = 4500 * time.Millisecond
	// turnsFrom is the number of new servers from which they take turns: where a few serve,
	// the canary is one, and answers of two would be too few to know either.
	turnsFrom = 12
	// newKept and oldKept bound the observations of each version that are told again: with
	// those of the new one a leader that takes over has nearly all that the one before had,
	// and both together fit a datagram.
	newKept = 24
	oldKept = 16
)

// Tracker is what one entry keeps of one roll-out.
type Tracker struct {
	order  Order
	bounds Bounds
	// began is when the order came into being, as far as this entry knows.
	began time.Time
	phase Phase
	// from are the versions that are replaced, others those that stand beside the new one.
	from, others []string
	// halted: the leader has said that nothing may go to the new version. heard is when it
	// was last heard.
	halted bool
	heard  time.Time

	// canaries and olds are the numbers of targets of the canary and of old versions, once
	// the targets have been placed.
	placed         bool
	canaries, olds int
	// turn is the one for which they have been placed.
	turn int
	// routes are the counts of requests by route, which are forgotten slowly.
	routes map[uint32]float64
	// requests counts those of the service, fresh those of them that went to the new version.
	requests, fresh int
	number          uint64
	// recentNew and recentOld are the latest observations of each version.
	recentNew, recentOld []Observation
}

// NewTracker begins to follow an order that has just been read.
func NewTracker(now time.Time, order Order, bounds Bounds) *Tracker {
	return &Tracker{order: order, bounds: bounds, began: now, routes: make(map[uint32]float64)}
}

// Order is the order that is followed.
func (t *Tracker) Order() Order { return t.order }

// Phase is how far the roll-out is known to have come.
func (t *Tracker) Phase() Phase { return t.phase }

// Elapsed is the time since the order.
func (t *Tracker) Elapsed(now time.Time) time.Duration { return now.Sub(t.began) }

// Restore takes what the store has of the roll-out. It reports whether that is news.
func (t *Tracker) Restore(now time.Time, r Record) bool {
	if r.ID != t.order.ID || r.Phase <= t.phase {
		return false
	}
	t.phase, t.from = r.Phase, r.From
	// The time of day of another instance may be seconds off: it never puts the beginning
	// later than known here, nor before the whole duration.
	if age := min(now.Sub(r.Began), t.order.Duration); now.Add(-age).Before(t.began) {
		t.began = now.Add(-age)
	}
	return true
}

// Record is what the store should have of the roll-out; its phase is 0 before the first step.
func (t *Tracker) Record() Record {
	return Record{Order: t.order, Phase: t.phase, From: t.from, Began: t.began}
}

// Renumber tells that the operators have written the order again, under another id.
func (t *Tracker) Renumber(id int64) { t.order.ID = id }

// Heard takes the leader's word. It reports whether the phase has changed.
func (t *Tracker) Heard(now time.Time, s Step) bool {
	if s.Order != t.order.ID || s.Phase < t.phase {
		return false
	}
	t.heard = now
	t.halted = s.Halt
	if began := now.Add(-s.Elapsed); began.Before(t.began) {
		t.began = began
	}
	changed := s.Phase > t.phase
	t.phase = s.Phase
	if changed && t.phase == Completed && len(t.from) == 0 {
		// The record says what has been replaced; this entry has not read it. Old targets
		// stay registered for some seconds after they have been stopped.
		t.from = t.others
	}
	return changed
}

// LeaderSilent reports whether the leader has not been heard for so long that this entry
// has to act on its own.
func (t *Tracker) LeaderSilent(now time.Time) bool {
	limit := min(maxLeaderSilence, time.Duration(leaderSilenceShare*float64(t.bounds.StopWithin)))
	return now.Sub(t.heard) > limit
}

// canaryOpen reports whether the canary may get requests.
func (t *Tracker) canaryOpen(now time.Time) bool {
	return t.phase == Canary && !t.halted && !t.LeaderSilent(now)
}

// Requests is the number of requests that have been drawn for, and of those that went to
// the new version.
func (t *Tracker) Requests() (all, fresh int) { return t.requests, t.fresh }

// UsesNew draws where a request of a route goes; draw is uniform in [0, 1).
func (t *Tracker) UsesNew(now time.Time, route uint32, draw float64) bool {
	t.count(route)
	t.requests++
	fresh := t.usesNew(now, route, draw)
	if fresh {
		t.fresh++
	}
	return fresh
}

// RepeatsOnNew reports whether a request that has been tried goes to the new version: to the
// one that has the traffic, since a second failure of the canary would reach its caller.
func (t *Tracker) RepeatsOnNew() bool {
	return t.phase == Completed || t.phase == Shifting && !t.halted
}

func (t *Tracker) usesNew(now time.Time, route uint32, draw float64) bool {
	switch {
	case t.phase == Completed:
		return true
	case t.phase == RolledBack || t.halted:
		return false
	case t.phase == Shifting:
		return true
	case t.placed && t.olds == 0:
		// Nothing else serves: this entry has begun after the end, or the old servers are
		// lost. Sending nothing to the new ones would turn all callers away.
		return t.canaries > 0
	case !t.canaryOpen(now) || t.canaries == 0:
		return false
	default:
		return draw < t.chance(now, route)
	}
}

const (
	// routeMemory is the part by which a route's count is forgotten with each request of
	// the service.
	routeMemory = 0.01
	// routeFloor is the least share of a route in the draw: a rarer one is not steered to
	// the canary any more than this one.
	routeFloor = 0.05
)

func (t *Tracker) count(route uint32) {
	for known := range t.routes {
		t.routes[known] *= 1 - routeMemory
	}
	t.routes[route]++
}

// chance is the probability that a request goes to the canary now. Over all routes and
// times it is the canary's share. Two things raise it for some requests and lower it for
// others:
//
// A version may be bad on one route only. A rare route would show too few answers in
// the time, so each route gets the same number of them.
//
// A version may be bad under load only. A service of three servers whose one canary gets
// a twelfth of the traffic would never load it, so its requests come in bursts. In every
// other second a canary gets in a burst as much as an old server does, so that their times
// can be compared, and in the others more than that. What has no free place goes to an old
// one.
func (t *Tracker) chance(now time.Time, route uint32) float64 {
	share := canaryShare * t.bounds.ExposureShare
	total := 0.0
	for _, count := range t.routes {
		total += count
	}
	frequency := max(routeFloor, t.routes[route]/total)
	chance := share / float64(len(t.routes)) / frequency
	second := now.UnixNano() / int64(clumpPeriod)
	burst := share * float64(t.olds) / float64(t.canaries)
	if second%2 == 1 {
		burst /= stress
	}
	if burst < 1 {
		into := now.UnixNano() % int64(clumpPeriod)
		if float64(into) >= burst*float64(clumpPeriod) {
			return 0
		}
		chance /= burst
	}
	return min(maxChance, chance)
}

// Observed notes what an answer showed.
func (t *Tracker) Observed(o Observation) {
	t.number++
	o.Number = t.number
	if o.New {
		t.recentNew = keepLast(t.recentNew, o, newKept)
	} else {
		t.recentOld = keepLast(t.recentOld, o, oldKept)
	}
}

func keepLast(kept []Observation, o Observation, most int) []Observation {
	if len(kept) == most {
		kept = slices.Delete(kept, 0, 1)
	}
	return append(kept, o)
}

// Report is what the leader is to be told; oldEngaged as in Report.
func (t *Tracker) Report(oldEngaged int) Report {
	return Report{Order: t.order.ID, Phase: t.phase, OldEngaged: oldEngaged, New: slices.Clone(t.recentNew), Old: slices.Clone(t.recentOld)}
}

// NewPool is the name under which the new version's targets are scheduled.
func (t *Tracker) NewPool() string { return t.order.Service + "@" + t.order.To }

// Place puts a service's targets into the pool of their version: those that must not get
// requests are left out. current is the pool of the versions before.
func (t *Tracker) Place(now time.Time, targets []catalog.Target, current string) []catalog.Target {
	var placed, fresh []catalog.Target
	t.placed, t.olds, t.turn = true, 0, t.turnAt(now)
	if t.phase < Completed {
		t.others = Froms(targets, t.order.To)
	}
	for _, target := range targets {
		switch {
		case target.Version == t.order.To:
			fresh = append(fresh, target)
			continue
		case t.phase == Completed && slices.Contains(t.from, target.Version):
			continue
		case t.phase == Completed:
			target.Service = t.NewPool()
		default:
			target.Service = current
			if !target.Leaving {
				t.olds++
			}
		}
		placed = append(placed, target)
	}
	if t.phase == RolledBack {
		return placed
	}
	if t.phase < Shifting && t.olds > 0 {
		fresh = t.chosen(fresh)
	}
	t.canaries = len(fresh)
	for _, target := range fresh {
		target.Service = t.NewPool()
		placed = append(placed, target)
	}
	return placed
}

// chosen are the targets of the canary: few enough that each gets about as much as an old
// one, the same at all entries, in each turn the next ones.
func (t *Tracker) chosen(fresh []catalog.Target) []catalog.Target {
	fresh = slices.DeleteFunc(slices.Clone(fresh), func(target catalog.Target) bool { return target.Leaving })
	slices.SortFunc(fresh, func(a, b catalog.Target) int {
		return dispatch.Rank(a.Incarnation(), b.Incarnation())
	})
	wanted := int(math.Ceil(canaryShare * t.bounds.ExposureShare * float64(t.olds)))
	wanted = min(len(fresh), max(1, wanted))
	first := 0
	if len(fresh) >= turnsFrom {
		first = t.turn * wanted
	}
	chosen := make([]catalog.Target, wanted)
	for i := range chosen {
		chosen[i] = fresh[(first+i)%len(fresh)]
	}
	return chosen
}

// turnAt says which set of new servers is the canary. Servers of a service differ in speed
// by a factor of four and more: a fast one whose version makes it five times as slow passes
// for a slow one, so the more servers are seen the sooner one stands out.
func (t *Tracker) turnAt(now time.Time) int { return int(t.Elapsed(now) / turnLength) }

// TurnDue reports whether the targets are to be placed anew, since it is the turn of others
// to be the canary.
func (t *Tracker) TurnDue(now time.Time) bool {
	return t.placed && t.phase <= Canary && t.turn != t.turnAt(now)
}

// Froms are the versions of targets other than the new one, sorted.
func Froms(targets []catalog.Target, to string) []string {
	var versions []string
	for _, target := range targets {
		if target.Version != to && !slices.Contains(versions, target.Version) {
			versions = append(versions, target.Version)
		}
	}
	slices.Sort(versions)
	return versions
}
