package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/rollout"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/settings"
)

// serviceRollout is the roll-out of one service at this entry. The state's mutex guards it.
type serviceRollout struct {
	tracker *rollout.Tracker
	// current is the pool of the previous versions.
	current string
	// judge is set while this entry is the leader.
	judge *rollout.Judge
	// rollingBack: this entry, as the leader, has decided to roll back.
	rollingBack bool
	// writing: a write to the store is in progress. The next one is not tried before
	// writeAfter. published is the phase that has been published to the operators.
	writing    bool
	writeAfter time.Time
	published  rollout.Phase
	// generation is the generation of the store in which the order was last read. recordLost:
	// the store may have lost the record since.
	generation int64
	recordLost bool
	// recordReadAt is when the record was last read from the store; ended is when the end of
	// the roll-out was first seen.
	recordReadAt, ended time.Time
}

// rollouts carries out the operators' orders to move services to other versions.
type rollouts struct {
	gateway  *Gateway
	wake     chan struct{}
	versions *rollout.Versions
	// awaitingOrders: some targets are waiting for the orders to be read; see rollout.Versions.
	awaitingOrders bool

	services map[string]*serviceRollout
}

func newRollouts(g *Gateway) *rollouts {
	return &rollouts{gateway: g, wake: make(chan struct{}, 1), versions: rollout.NewVersions(), services: make(map[string]*serviceRollout)}
}

func (r *rollouts) bounds() rollout.Bounds {
	b := r.gateway.settings.Bounds
	return rollout.Bounds{ExposureShare: b.ExposureShare, StopWithin: settings.Milliseconds(b.RollbackMS)}
}

// acceptRewritten reports whether order is the known one, written again by the operators after
// the store has lost it, and if so continues the roll-out under the new id.
func (k *serviceRollout) acceptRewritten(order rollout.Order, generation int64) bool {
	known := k.tracker.Order()
	if generation <= k.generation || known.To != order.To || known.Duration != order.Duration {
		return false
	}
	k.generation = generation
	k.tracker.SetOrderID(order.ID)
	k.markLost()
	return true
}

// markLost triggers a check of what the store may have lost of the roll-out.
func (k *serviceRollout) markLost() {
	k.recordLost, k.published, k.ended = true, 0, time.Time{}
}

// markLost triggers a check of what the store may have lost of all roll-outs.
func (r *rollouts) markLost() {
	r.gateway.state.mutex.Lock()
	defer r.gateway.state.mutex.Unlock()
	for _, known := range r.services {
		known.markLost()
	}
	signal(r.wake)
}

// addOrder starts the roll-out of an order that was read in a generation of the store;
// earlier: the order may have been given before this entry began to follow orders and targets. It
// reports whether the order is new to this entry.
func (r *rollouts) addOrder(order rollout.Order, generation int64, earlier bool) bool {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	current := order.Service
	if known, found := r.services[order.Service]; found {
		if known.acceptRewritten(order, generation) {
			signal(r.wake)
			return false
		}
		if known.tracker.Order().ID >= order.ID {
			return false
		}
		current = known.current
		if known.tracker.Phase() == rollout.Completed {
			current = known.tracker.NewVersionPool()
		}
	}
	started := &serviceRollout{current: current, generation: generation}
	bounds := r.bounds()
	if earlier {
		bounds.RenewalTime, started.recordReadAt = outageGrace, now
	}
	started.tracker = rollout.NewTracker(now, order, bounds)
	r.services[order.Service] = started
	g.log.Write(eventlog.StateChange, eventRollout, eventlog.Fields{
		"service": order.Service, "order": order.ID, "to": order.To, "duration_ms": order.Duration.Milliseconds(), "phase": "ordered",
	})
	signal(r.wake)
	return true
}

// assignPools assigns targets to the pools of their versions. It is called with each change of
// a target, and returns those of services without a roll-out and of versions in use unchanged.
// ordersAsOf is the time as of which the orders are known. The caller holds the mutex of the
// feeds, which keeps calls in order.
func (r *rollouts) assignPools(targets []catalog.Target, ordersAsOf time.Time) []catalog.Target {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	r.awaitingOrders = false
	if !slices.ContainsFunc(targets, r.concerns) {
		return targets
	}
	assigned := make([]catalog.Target, 0, len(targets))
	byService := make(map[string][]catalog.Target)
	for _, target := range targets {
		if r.concerns(target) {
			byService[target.Service] = append(byService[target.Service], target)
		} else {
			assigned = append(assigned, target)
		}
	}
	for service, own := range byService {
		if known, found := r.services[service]; found {
			assigned = append(assigned, known.tracker.Place(now, own, known.current)...)
			continue
		}
		usable, waits := r.versions.Usable(now, ordersAsOf, service, own, rollout.Serves(assigned, service))
		r.awaitingOrders = r.awaitingOrders || waits
		assigned = append(assigned, usable...)
	}
	return assigned
}

// concerns reports whether a target belongs to a service with a roll-out, or to a version that
// is not in use yet.
func (r *rollouts) concerns(target catalog.Target) bool {
	return r.services[target.Service] != nil || !r.versions.InUse(target.Service, target.Version)
}

// reassign assigns all targets to pools again, after a change of phase or for the next turn of
// the canary.
func (r *rollouts) reassign() {
	f := r.gateway.feeds
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.publish(f.operators.AsOf())
}

// poolOf returns the pool that a request goes to: the first try by a random draw, later tries
// to the version that has the traffic. fallback is the pool to use if there is no free slot;
// empty: none.
func (s *state) poolOf(service string, route *catalog.Route, first bool) (pool, fallback string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.rollouts.services[service]
	if !found {
		return service, ""
	}
	now := time.Now()
	t := known.tracker
	useNew := t.RetriesOnNew()
	if first {
		useNew = t.UsesNew(now, rollout.RouteKey(route.Host, route.Prefix), rand.Float64())
	}
	if !useNew {
		return known.current, ""
	}
	if t.Phase() != rollout.Canary {
		return t.NewVersionPool(), ""
	}
	if !s.sched.HasFreeSlot(now, t.NewVersionPool()) {
		return known.current, ""
	}
	return t.NewVersionPool(), known.current
}

// poolOfVersion returns the pool of a service's targets of one version. A roll-out may leave no
// targets of the version there.
func (s *state) poolOfVersion(service string, route *catalog.Route, version string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.rollouts.services[service]
	if !found {
		return service
	}
	t := known.tracker
	if t.Phase() == rollout.Completed {
		return t.NewVersionPool()
	}
	// The draw of 0 chooses the new version as long as its share of the requests allows one more.
	if version == t.Order().To && t.UsesNew(time.Now(), rollout.RouteKey(route.Host, route.Prefix), 0) {
		return t.NewVersionPool()
	}
	return known.current
}

// recordObservation records what an answer shows of a version under roll-out.
func (s *state) recordObservation(service string, route *catalog.Route, grant *dispatch.Grant, report dispatch.Report, took time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.rollouts.services[service]
	if !found || known.tracker.Phase().Final() {
		return
	}
	o := rollout.Observation{
		Route: rollout.RouteKey(route.Host, route.Prefix), Target: rollout.TargetKey(grant.Target.Incarnation()), New: grant.Target.Version == known.tracker.Order().To,
		Load: grant.Load, Loaded: 2*grant.Load > grant.Target.Slots, Duration: took,
	}
	switch report.Outcome {
	case dispatch.Answered:
		o.Pace = report.Latency
		if report.First > 0 {
			tokens := grant.Ticket.Work.Prompt + grant.Backlog + dispatch.PromptOverhead
			o.FirstEvent = 1000 * report.First / time.Duration(tokens)
		}
	case dispatch.Failed, dispatch.Oversized:
		o.Failed = true
	case dispatch.Broken, dispatch.TimedOut:
		o.Failed, o.ConnectionLost = true, true
	default:
		return
	}
	known.tracker.AddObservation(o)
}
