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

// rolling is a service's roll-out at this entry. The state's mutex guards it.
type rolling struct {
	tracker *rollout.Tracker
	// current is the pool of the versions before.
	current string
	// judge is set while this entry is the leader.
	judge *rollout.Judge
	// condemned: this entry, as the leader, has decided to roll back.
	condemned bool
	// writing: something is being put into the store, which is not tried before writeAfter.
	// told is the phase that the operators have been told.
	writing    bool
	writeAfter time.Time
	told       rollout.Phase
	// generation is that of the store in which the order was read last; recordLost: the store
	// may have lost the record since.
	generation int64
	recordLost bool
	// recordAsked is when the store was last asked; ended when the end was first known.
	recordAsked, ended time.Time
}

// rollouts follows the operators' orders to move services to other versions.
type rollouts struct {
	gateway  *Gateway
	wake     chan struct{}
	versions *rollout.Versions
	// held: some targets wait for the orders to be known; see rollout.Versions.
	held bool

	services map[string]*rolling
}

func newRollouts(g *Gateway) *rollouts {
	return &rollouts{gateway: g, wake: make(chan struct{}, 1), versions: rollout.NewVersions(), services: make(map[string]*rolling)}
}

func (r *rollouts) bounds() rollout.Bounds {
	b := r.gateway.settings.Bounds
	return rollout.Bounds{ExposureShare: b.ExposureShare, StopWithin: settings.Milliseconds(b.RollbackMS)}
}

// takesAgain takes an order that the operators have written again, after the store has lost
// it, for the known one; false: it is another.
func (k *rolling) takesAgain(order rollout.Order, generation int64) bool {
	known := k.tracker.Order()
	if generation <= k.generation || known.To != order.To || known.Duration != order.Duration {
		return false
	}
	k.generation = generation
	k.tracker.Renumber(order.ID)
	k.lost()
	return true
}

// lost has what the store may have lost of the roll-out written again.
func (k *rolling) lost() {
	k.recordLost, k.told, k.ended = true, 0, time.Time{}
}

// lost has what the store may have lost of all roll-outs written again.
func (r *rollouts) lost() {
	r.gateway.state.mutex.Lock()
	defer r.gateway.state.mutex.Unlock()
	for _, known := range r.services {
		known.lost()
	}
	signal(r.wake)
}

// ordered takes an order that has been read in a generation of the store; earlier: it may
// have been given before this entry began to follow orders. It reports whether the order is
// new here.
func (r *rollouts) ordered(order rollout.Order, generation int64, earlier bool) bool {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	current := order.Service
	if known, found := r.services[order.Service]; found {
		if known.takesAgain(order, generation) {
			signal(r.wake)
			return false
		}
		if known.tracker.Order().ID >= order.ID {
			return false
		}
		current = known.current
		if known.tracker.Phase() == rollout.Completed {
			current = known.tracker.NewPool()
		}
	}
	started := &rolling{tracker: rollout.NewTracker(now, order, r.bounds()), current: current, generation: generation}
	if earlier {
		started.recordAsked = now
		go r.readRecord(order)
	}
	r.services[order.Service] = started
	g.log.Write(eventlog.Belief, eventRollout, eventlog.Fields{
		"service": order.Service, "order": order.ID, "to": order.To, "duration_ms": order.Duration.Milliseconds(), "phase": "ordered",
	})
	signal(r.wake)
	return true
}

// placed puts targets into the pools of their versions. The caller holds the mutex of the
// feeds, which keeps calls in order. It is called with each change of a target: those of
// services without a roll-out, of versions that are in use, are passed on as they are.
// ordersAsOf is the moment as of which the orders are known.
func (r *rollouts) placed(targets []catalog.Target, ordersAsOf time.Time) []catalog.Target {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	r.held = false
	if !slices.ContainsFunc(targets, r.concerns) {
		return targets
	}
	placed := make([]catalog.Target, 0, len(targets))
	apart := make(map[string][]catalog.Target)
	for _, target := range targets {
		if r.concerns(target) {
			apart[target.Service] = append(apart[target.Service], target)
		} else {
			placed = append(placed, target)
		}
	}
	for service, own := range apart {
		if known, found := r.services[service]; found {
			placed = append(placed, known.tracker.Place(now, own, known.current)...)
			continue
		}
		usable, waits := r.versions.Usable(now, ordersAsOf, service, own, rollout.Serves(placed, service))
		r.held = r.held || waits
		placed = append(placed, usable...)
	}
	return placed
}

// concerns reports whether a target is of a service with a roll-out, or of a version that is
// not in use yet.
func (r *rollouts) concerns(target catalog.Target) bool {
	return r.services[target.Service] != nil || !r.versions.Settled(target.Service, target.Version)
}

// replace places all targets anew, after a change of phase or at another turn.
func (r *rollouts) replace() {
	f := r.gateway.feeds
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.publish(f.operators.AsOf())
}

// poolOf is where a request goes: its first try by the draw, later ones to the version that
// has the traffic. fallback is where it goes if it finds no place there; empty: nowhere.
func (s *state) poolOf(service string, route *catalog.Route, first bool) (pool, fallback string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.rollouts.services[service]
	if !found {
		return service, ""
	}
	now := time.Now()
	t := known.tracker
	fresh := t.RepeatsOnNew()
	if first {
		fresh = t.UsesNew(now, rollout.RouteKey(route.Host, route.Prefix), rand.Float64())
	}
	if !fresh {
		return known.current, ""
	}
	if t.Phase() != rollout.Canary {
		return t.NewPool(), ""
	}
	if !s.sched.HasRoom(now, t.NewPool()) {
		return known.current, ""
	}
	return t.NewPool(), known.current
}

// observed notes what an answer showed of a version under roll-out.
func (s *state) observed(service string, route *catalog.Route, grant *dispatch.Grant, report dispatch.Report, took time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.rollouts.services[service]
	if !found || known.tracker.Phase().Final() {
		return
	}
	o := rollout.Observation{
		Route: rollout.RouteKey(route.Host, route.Prefix), Target: rollout.TargetKey(grant.Target.Incarnation()), New: grant.Target.Version == known.tracker.Order().To,
		Load: grant.Load, Loaded: 2*grant.Load > grant.Target.Slots, Took: took,
	}
	switch report.Outcome {
	case dispatch.Answered:
		o.Pace = report.Latency
		if report.First > 0 {
			tokens := grant.Ticket.Work.Prompt + grant.Backlog + dispatch.PromptOverhead
			o.First = 1000 * report.First / time.Duration(tokens)
		}
	case dispatch.Failed:
		o.Failed = true
	case dispatch.Broken, dispatch.TimedOut:
		o.Failed, o.Severed = true, true
	default:
		return
	}
	known.tracker.Observed(o)
}
