package rollout

import (
	"math"
	"slices"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
)

const (
	// canaryShare is the canary's share of the allowed exposure. The rest is left for
	// chance, and for the requests that all go to the new version before a fault that begins
	// only then is detected.
	canaryShare = 0.9
	// burstPeriod is the time in which a canary of few servers gets one burst of requests:
	// long compared with the time of a plain call, short compared with a roll-out.
	burstPeriod = time.Second
	// burstFactor is how many times the load of an old target a canary target gets in a
	// burst: a version that is bad under load has to be detected at the load of a busy hour.
	burstFactor = 2.5
	// maxChance is the maximum probability of a request to go to the canary during a burst.
	maxChance = 0.9
	// An entry stops sending to the canary when it has received nothing from the leader for
	// leaderTimeoutShare of the time within which a bad version must be stopped, and after
	// maxLeaderTimeout at the latest.
	leaderTimeoutShare = 0.3
	maxLeaderTimeout   = 1500 * time.Millisecond
	// rotationPeriod is how long a set of new servers is the canary: long enough for each to
	// give the answers that its baseline needs.
	rotationPeriod = 4500 * time.Millisecond
	// minRotationTargets is the number of new servers from which the canary rotates over
	// them. With few servers the canary is a single one, and rotating over two would leave
	// too few answers of either for a baseline.
	minRotationTargets = 12
	// maxRecentNew and maxRecentOld are the numbers of observations of each version that are
	// reported repeatedly. With those of the new one a leader that takes over has nearly all
	// that the previous leader had, and both together fit a datagram.
	maxRecentNew = 24
	maxRecentOld = 16
)

// Tracker is one entry's state of one roll-out.
type Tracker struct {
	order  Order
	bounds Bounds
	// began is when the order was made, as far as this entry knows.
	began time.Time
	phase Phase
	// from lists the versions that are replaced; others lists the versions that run beside
	// the new one.
	from, others []string
	// halted: the leader reported that no request may go to the new version. lastStep is
	// when the last step of the leader was received.
	halted   bool
	lastStep time.Time

	// canaryTargets and oldTargets are the numbers of targets of the canary and of old
	// versions, once the targets have been placed.
	placed                    bool
	canaryTargets, oldTargets int
	// firstPlaced is when they were placed first. oldSeen: there have been targets of old versions.
	firstPlaced time.Time
	oldSeen     bool
	// rotation is the rotation for which they have been placed.
	rotation int
	// routeCounts are exponentially decaying counts of requests by route.
	routeCounts map[uint32]float64
	// requests counts the requests of the service, toNew those of them that went to the new
	// version.
	requests, toNew int
	number          uint64
	// recentNew and recentOld are the latest observations of each version.
	recentNew, recentOld []Observation
}

// NewTracker returns a tracker for an order that has just been read.
func NewTracker(now time.Time, order Order, bounds Bounds) *Tracker {
	return &Tracker{order: order, bounds: bounds, began: now, routeCounts: make(map[uint32]float64)}
}

// Order returns the order of the roll-out.
func (t *Tracker) Order() Order { return t.order }

// Phase returns the last known phase of the roll-out.
func (t *Tracker) Phase() Phase { return t.phase }

// Elapsed returns the time since the order.
func (t *Tracker) Elapsed(now time.Time) time.Duration { return now.Sub(t.began) }

// Restore applies the stored record of the roll-out. It reports whether it changed anything.
func (t *Tracker) Restore(now time.Time, r Record) bool {
	if r.ID != t.order.ID || r.Phase <= t.phase {
		return false
	}
	t.phase, t.from = r.Phase, r.From
	// The wall clock of another instance may be off by seconds. It never moves the beginning
	// later than known here, nor more than the whole duration into the past.
	if age := min(now.Sub(r.Began), t.order.Duration); now.Add(-age).Before(t.began) {
		t.began = now.Add(-age)
	}
	return true
}

// Record returns the record to be stored; its phase is 0 before the first step.
func (t *Tracker) Record() Record {
	return Record{Order: t.order, Phase: t.phase, From: t.from, Began: t.began}
}

// SetOrderID sets the id of the order after the operators have written it again under another
// one.
func (t *Tracker) SetOrderID(id int64) { t.order.ID = id }

// ApplyStep applies a step of the leader. It reports whether the phase has changed.
func (t *Tracker) ApplyStep(now time.Time, s Step) bool {
	if s.Order != t.order.ID || s.Phase < t.phase {
		return false
	}
	t.lastStep = now
	t.halted = s.Halt
	if began := now.Add(-s.Elapsed); began.Before(t.began) {
		t.began = began
	}
	changed := s.Phase > t.phase
	t.phase = s.Phase
	if changed && t.phase == Completed && len(t.from) == 0 {
		// The record lists the replaced versions, but this entry has not read it. Old
		// targets stay registered for some seconds after they have been stopped.
		t.from = t.others
	}
	return changed
}

// LeaderTimedOut reports whether the leader has been silent for so long that this entry has to
// act without it.
func (t *Tracker) LeaderTimedOut(now time.Time) bool {
	limit := min(maxLeaderTimeout, time.Duration(leaderTimeoutShare*float64(t.bounds.StopWithin)))
	return now.Sub(t.lastStep) > limit
}

// canaryOpen reports whether requests may go to the canary.
func (t *Tracker) canaryOpen(now time.Time) bool {
	return t.phase == Canary && !t.halted && !t.LeaderTimedOut(now)
}

// Requests returns the number of requests that UsesNew was called for, and of those that
// went to the new version.
func (t *Tracker) Requests() (all, toNew int) { return t.requests, t.toNew }

// UsesNew reports whether a request of a route goes to the new version; draw is uniform in
// [0, 1).
func (t *Tracker) UsesNew(now time.Time, route uint32, draw float64) bool {
	t.countRoute(route)
	t.requests++
	toNew := t.usesNew(now, route, draw)
	if toNew {
		t.toNew++
	}
	return toNew
}

// RetriesOnNew reports whether the retry of a request goes to the new version. Retries go to
// the version that has the traffic, since a second failure, at the canary, would reach the
// caller.
func (t *Tracker) RetriesOnNew() bool {
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
	case t.oldTargetsLost(now):
		// This entry has started after the end of the roll-out, or the old servers are lost.
		// Sending nothing to the new ones would refuse all requests.
		return t.canaryTargets > 0
	case !t.canaryOpen(now) || t.canaryTargets == 0:
		return false
	default:
		return draw < t.chance(now, route)
	}
}

// oldTargetsLost reports whether there are no old targets. If this entry has never seen one, their
// registrations may be missing after an outage of the store.
func (t *Tracker) oldTargetsLost(now time.Time) bool {
	return t.placed && t.oldTargets == 0 && (t.oldSeen || now.Sub(t.firstPlaced) >= t.bounds.RenewalTime)
}

const (
	// routeDecay is the share by which the counts of all routes decay with each request of
	// the service.
	routeDecay = 0.01
	// minRouteShare is the lowest share of a route in the draw: rarer routes are not sent to
	// the canary more often than a route of this share.
	minRouteShare = 0.05
)

func (t *Tracker) countRoute(route uint32) {
	for counted := range t.routeCounts {
		t.routeCounts[counted] *= 1 - routeDecay
	}
	t.routeCounts[route]++
}

// chance returns the probability that a request goes to the canary now. Averaged over all
// routes and times it is the canary's share. Two rules raise it for some requests and lower
// it for others:
//
// A version may be bad on one route only. A rare route would give too few answers in the
// time, so each route gets the same number of requests.
//
// A version may be bad under load only. A service of three servers whose one canary gets a
// twelfth of the traffic would never load it, so its requests come in bursts. In every other
// second a canary gets as much during its burst as an old server, so that their times can be
// compared, and in the others more than that. Requests for which the canary has no free slot
// go to an old server.
func (t *Tracker) chance(now time.Time, route uint32) float64 {
	share := canaryShare * t.bounds.ExposureShare
	total := 0.0
	for _, count := range t.routeCounts {
		total += count
	}
	frequency := max(minRouteShare, t.routeCounts[route]/total)
	chance := share / float64(len(t.routeCounts)) / frequency
	second := now.UnixNano() / int64(burstPeriod)
	burst := share * float64(t.oldTargets) / float64(t.canaryTargets)
	if second%2 == 1 {
		burst /= burstFactor
	}
	if burst < 1 {
		elapsed := now.UnixNano() % int64(burstPeriod)
		if float64(elapsed) >= burst*float64(burstPeriod) {
			return 0
		}
		chance /= burst
	}
	return min(maxChance, chance)
}

// AddObservation adds an observation.
func (t *Tracker) AddObservation(o Observation) {
	t.number++
	o.Number = t.number
	if o.New {
		t.recentNew = keepLast(t.recentNew, o, maxRecentNew)
	} else {
		t.recentOld = keepLast(t.recentOld, o, maxRecentOld)
	}
}

func keepLast(kept []Observation, o Observation, limit int) []Observation {
	if len(kept) == limit {
		kept = slices.Delete(kept, 0, 1)
	}
	return append(kept, o)
}

// Report returns the report to the leader; oldEngaged is as in Report.
func (t *Tracker) Report(oldEngaged int) Report {
	return Report{Order: t.order.ID, Phase: t.phase, OldOutstanding: oldEngaged, New: slices.Clone(t.recentNew), Old: slices.Clone(t.recentOld)}
}

// NewVersionPool returns the name of the pool in which the new version's targets are scheduled.
func (t *Tracker) NewVersionPool() string { return t.order.Service + "@" + t.order.To }

// Place assigns a service's targets to the pool of their version and leaves out those that
// must not get requests. current is the pool of the old versions.
func (t *Tracker) Place(now time.Time, targets []catalog.Target, current string) []catalog.Target {
	var placed, newTargets []catalog.Target
	if !t.placed {
		t.firstPlaced = now
	}
	t.placed, t.oldTargets, t.rotation = true, 0, t.rotationAt(now)
	if t.phase < Completed {
		t.others = OtherVersions(targets, t.order.To)
	}
	for _, target := range targets {
		switch {
		case target.Version == t.order.To:
			newTargets = append(newTargets, target)
			continue
		case t.phase == Completed && slices.Contains(t.from, target.Version):
			continue
		case t.phase == Completed:
			target.Service = t.NewVersionPool()
		default:
			target.Service = current
			if !target.Leaving {
				t.oldTargets++
			}
		}
		placed = append(placed, target)
	}
	t.oldSeen = t.oldSeen || t.oldTargets > 0
	if t.phase == RolledBack {
		return placed
	}
	if t.phase < Shifting && t.oldTargets > 0 {
		newTargets = t.selectCanary(newTargets)
	}
	t.canaryTargets = len(newTargets)
	for _, target := range newTargets {
		target.Service = t.NewVersionPool()
		placed = append(placed, target)
	}
	return placed
}

// selectCanary returns the targets of the canary: few enough that each gets about as many
// requests as an old one, the same at all entries, and the next ones in each rotation.
func (t *Tracker) selectCanary(newTargets []catalog.Target) []catalog.Target {
	newTargets = slices.DeleteFunc(slices.Clone(newTargets), func(target catalog.Target) bool { return target.Leaving })
	slices.SortFunc(newTargets, func(a, b catalog.Target) int {
		return dispatch.CompareNames(a.Incarnation(), b.Incarnation())
	})
	n := int(math.Ceil(canaryShare * t.bounds.ExposureShare * float64(t.oldTargets)))
	n = min(len(newTargets), max(1, n))
	first := 0
	if len(newTargets) >= minRotationTargets {
		first = t.rotation * n
	}
	chosen := make([]catalog.Target, n)
	for i := range chosen {
		chosen[i] = newTargets[(first+i)%len(newTargets)]
	}
	return chosen
}

// rotationAt returns the number of the rotation at a time. Servers of a service differ in
// speed by a factor of four and more, and a fast one whose version makes it five times as
// slow is mistaken for a slow one. The more servers are observed, the sooner one stands out.
func (t *Tracker) rotationAt(now time.Time) int { return int(t.Elapsed(now) / rotationPeriod) }

// RotationDue reports whether the targets have to be placed again because the canary rotates.
func (t *Tracker) RotationDue(now time.Time) bool {
	return t.placed && t.phase <= Canary && t.rotation != t.rotationAt(now)
}

// OtherVersions returns the versions of targets other than the new one, sorted.
func OtherVersions(targets []catalog.Target, to string) []string {
	var versions []string
	for _, target := range targets {
		if target.Version != to && !slices.Contains(versions, target.Version) {
			versions = append(versions, target.Version)
		}
	}
	slices.Sort(versions)
	return versions
}
