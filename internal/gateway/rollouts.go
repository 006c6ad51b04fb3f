package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/rollout"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/settings"
)

const (
	// rolloutPause is the pause between two words of an entry on a roll-out: a report to the
	// leader, or a step from it.
	rolloutPause = 250 * time.Millisecond
	// reportsPerSecond bounds the reports that the leader gets: a fleet of hundreds reports
	// less often. Some 10 us each, a hundredth of an entry of a fifth of a core.
	reportsPerSecond = 300
	// recordEvery is the pause between two looks at the store for how far a roll-out is, of an
	// entry that does not hear the leader.
	recordEvery = time.Second
	// rolloutRetry is the pause after a call to the store that has failed: a store that is
	// away is not there a quarter of a second later either, and calls are paid for.
	rolloutRetry = 700 * time.Millisecond
	// farewell is how long the leader tells the end of a roll-out.
	farewell = 3 * time.Second
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

// ordered takes an order that has been read; earlier: it may have been given before this
// entry began to follow orders. It reports whether the order is new here.
func (r *rollouts) ordered(order rollout.Order, earlier bool) bool {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	current := order.Service
	if known, found := r.services[order.Service]; found {
		if known.tracker.Order().ID >= order.ID {
			return false
		}
		current = known.current
		if known.tracker.Phase() == rollout.Completed {
			current = known.tracker.NewPool()
		}
	}
	started := &rolling{tracker: rollout.NewTracker(now, order, r.bounds()), current: current}
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
// feeds, which keeps calls in order.
func (r *rollouts) placed(targets []catalog.Target) []catalog.Target {
	g := r.gateway
	asOf := g.feeds.operators.AsOf()
	byService := make(map[string][]catalog.Target)
	for _, target := range targets {
		byService[target.Service] = append(byService[target.Service], target)
	}
	now := time.Now()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	var all []catalog.Target
	r.held = false
	for service, own := range byService {
		if known, found := r.services[service]; found {
			all = append(all, known.tracker.Place(own, known.current)...)
			continue
		}
		usable, waits := r.versions.Usable(now, asOf, service, own)
		r.held = r.held || waits
		all = append(all, usable...)
	}
	return all
}

// replace places all targets anew, after a change of phase.
func (r *rollouts) replace() {
	f := r.gateway.feeds
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.publish()
}

// poolOf is where a request goes: its first try by the draw, later ones to the version that
// has the traffic. fallback is where it goes if it finds no place there; empty: nowhere.
func (s *state) poolOf(service string, route uint32, first bool) (pool, fallback string) {
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
		fresh = t.UsesNew(now, route, rand.Float64())
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
func (s *state) observed(service string, route uint32, grant *dispatch.Grant, report dispatch.Report, took time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.rollouts.services[service]
	if !found || known.tracker.Phase().Final() {
		return
	}
	o := rollout.Observation{
		Route: route, Target: rollout.TargetKey(grant.Target.Incarnation()), New: grant.Target.Version == known.tracker.Order().To,
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

// run leads roll-outs or reports on them while there are any.
func (r *rollouts) run(ctx context.Context) {
	for ctx.Err() == nil {
		active := r.active()
		if len(active) == 0 {
			select {
			case <-ctx.Done():
			case <-r.wake:
			}
			continue
		}
		leader := r.gateway.rolloutLeader()
		for _, service := range active {
			if leader == r.gateway.self.Name {
				r.lead(service)
			} else {
				r.follow(service, leader)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(r.pause()):
		}
	}
}

// pause is the time between two words.
func (r *rollouts) pause() time.Duration {
	g := r.gateway
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	return max(rolloutPause, time.Duration(g.state.peers.Size())*time.Second/reportsPerSecond)
}

// active are the services whose roll-out goes on or has just ended.
func (r *rollouts) active() []string {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	var services []string
	for service, known := range r.services {
		if known.tracker.Phase().Final() {
			if known.ended.IsZero() {
				known.ended = now
			}
			if now.Sub(known.ended) > farewell {
				continue
			}
		}
		services = append(services, service)
	}
	return services
}

// rolloutLeader is the name of the entry that decides on roll-outs: the first in rank of
// those that can read the store. Two at once do no harm, since each step has to be the
// next one in the store; an entry that hears less than half of the others does not lead,
// since it would take what it does not see for idle. Empty: none can.
func (g *Gateway) rolloutLeader() string {
	readers := entriesOf(g.readers())
	able := g.ready() && !g.feeds.isBlind()
	if able {
		g.state.mutex.Lock()
		able = !g.state.quota.Isolated()
		g.state.mutex.Unlock()
	}
	if able {
		return g.first(readers)
	}
	leader := ""
	for _, e := range readers {
		if leader == "" || dispatch.Rank(e.Name, leader) < 0 {
			leader = e.Name
		}
	}
	return leader
}

// follow reports to the leader, and looks into the store if it is not heard.
func (r *rollouts) follow(service, leader string) {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	known := r.services[service]
	known.judge, known.condemned = nil, false
	order := known.tracker.Order()
	report := known.tracker.Report(g.state.sched.Engaged(known.current))
	look := !known.tracker.Phase().Final() && known.tracker.LeaderSilent(now) && now.Sub(known.recordAsked) > recordEvery
	if look {
		known.recordAsked = now
	}
	g.state.mutex.Unlock()
	if look {
		go r.readRecord(order)
	}
	g.links.reportRollout(leader, service, report)
}

// lead decides on the next step and tells how far the roll-out is.
func (r *rollouts) lead(service string) {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	known := r.services[service]
	t := known.tracker
	if known.judge == nil || known.judge.Order() != t.Order() {
		known.judge = rollout.NewJudge(now, t.Order())
	}
	known.judge.Take(now, g.self.Name, g.self.Incarnation, t.Report(g.state.sched.Engaged(known.current)))
	d := known.judge.Decide(now, t.Phase(), t.Elapsed(now), g.liveNames(now))
	known.condemned = d.Action == rollout.RollBack
	order, phase := t.Order(), t.Phase()
	due := d.Action != rollout.Wait || known.told < phase
	if due = due && !known.writing && now.After(known.writeAfter); due {
		known.writing = true
	}
	g.state.mutex.Unlock()
	if due {
		go r.store(order, phase, d)
	}
	r.tell(service)
}

// store puts the step of a decision into the store, or tells the operators of the one that
// is there.
func (r *rollouts) store(order rollout.Order, phase rollout.Phase, d rollout.Decision) {
	var err error
	if d.Action != rollout.Wait {
		phase, err = r.write(order, d)
	}
	if err == nil {
		err = r.gateway.platform.PutStatus(order, phase)
	}
	if err != nil {
		r.gateway.feeds.noteLost(feed.Rollouts, err)
	}
	g := r.gateway
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	known := r.services[order.Service]
	known.writing = false
	switch {
	case errors.Is(err, feed.ErrConflict):
		// The next look finds what was put first.
	case err != nil:
		known.writeAfter = time.Now().Add(rolloutRetry)
		known.ended = time.Time{}
	case known.tracker.Order() == order:
		known.told = max(known.told, phase)
	}
}

// liveNames are the entries that are heard, this one included. The state's mutex is held.
func (g *Gateway) liveNames(now time.Time) []string {
	live := []string{g.self.Name}
	for _, m := range g.state.peers.Members() {
		if g.state.peers.Live(now, m.Name) {
			live = append(live, m.Name)
		}
	}
	return live
}

// tell tells all entries, this one included, how far the roll-out is.
func (r *rollouts) tell(service string) {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	known := r.services[service]
	step := rollout.Step{
		Service: service, Order: known.tracker.Order().ID, Phase: known.tracker.Phase(),
		Halt: known.condemned, Elapsed: known.tracker.Elapsed(now),
	}
	known.tracker.Heard(now, step)
	g.state.mutex.Unlock()
	g.links.tellRollout(step)
}

// heard takes the leader's word.
func (r *rollouts) heard(step rollout.Step) {
	g := r.gateway
	g.state.mutex.Lock()
	known, found := r.services[step.Service]
	changed := found && known.tracker.Heard(time.Now(), step)
	g.state.mutex.Unlock()
	if changed {
		r.changed(step.Service, "leader")
	}
}

// reported takes an entry's report.
func (r *rollouts) reported(service, entry string, incarnation uint64, report rollout.Report) {
	g := r.gateway
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	if known, found := r.services[service]; found && known.judge != nil {
		known.judge.Take(time.Now(), entry, incarnation, report)
	}
}

// changed follows a change of phase: targets are placed anew, and what waits goes to the
// version that has the traffic now.
func (r *rollouts) changed(service, from string) {
	g := r.gateway
	r.replace()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	known := r.services[service]
	phase := known.tracker.Phase()
	switch phase {
	case rollout.Shifting, rollout.Completed:
		g.state.deliver(g.state.sched.Redirect(time.Now(), known.current, known.tracker.NewPool()))
	case rollout.RolledBack:
		g.state.deliver(g.state.sched.Redirect(time.Now(), known.tracker.NewPool(), known.current))
	}
	g.log.Write(eventlog.Belief, eventRollout, eventlog.Fields{
		"service": service, "order": known.tracker.Order().ID, "to": known.tracker.Order().To, "phase": phase.String(), "from": from,
		"elapsed_ms": known.tracker.Elapsed(time.Now()).Milliseconds(),
	})
}

// rolloutRecord is what the store keeps of a roll-out, under the service's name.
type rolloutRecord struct {
	Order      int64    `json:"order"`
	To         string   `json:"to"`
	DurationMS int64    `json:"duration_ms"`
	Phase      uint8    `json:"phase"`
	From       []string `json:"from"`
	BeganMS    int64    `json:"began_ms"`
}

func recordOf(order rollout.Order, r rolloutRecord) rollout.Record {
	return rollout.Record{
		Order: rollout.Order{ID: r.Order, Service: order.Service, To: r.To, Duration: milliseconds(r.DurationMS)},
		Phase: rollout.Phase(r.Phase), From: r.From, Began: time.UnixMilli(r.BeganMS),
	}
}

// newest is the store's record of an order's service, and the end of the topic.
func (r *rollouts) newest(order rollout.Order) (record rollout.Record, end int64, err error) {
	records, end, err := r.gateway.platform.Snapshot(feed.Rollouts)
	if err != nil {
		return rollout.Record{}, 0, err
	}
	for _, each := range records {
		if each.Key != order.Service {
			continue
		}
		var kept rolloutRecord
		if err := json.Unmarshal(each.Value, &kept); err != nil {
			r.gateway.feeds.noteUndecodable(feed.Rollouts, each, err)
			continue
		}
		record = recordOf(order, kept)
	}
	return record, end, nil
}

// readRecord takes what the store has of an order's roll-out.
func (r *rollouts) readRecord(order rollout.Order) {
	record, _, err := r.newest(order)
	if err != nil {
		r.gateway.feeds.noteLost(feed.Rollouts, err)
		return
	}
	r.restore(record)
}

// restore takes a record.
func (r *rollouts) restore(record rollout.Record) {
	g := r.gateway
	g.state.mutex.Lock()
	known, found := r.services[record.Service]
	changed := found && known.tracker.Restore(time.Now(), record)
	g.state.mutex.Unlock()
	if changed {
		r.changed(record.Service, "store")
	}
}

// write puts the phase that a decision leads to into the store, if that has no later one
// by now, and returns the one that it has then. A step counts when it is there: of two
// leaders that decide differently, such as one that has been paused, the first to write
// decides.
func (r *rollouts) write(order rollout.Order, d rollout.Decision) (rollout.Phase, error) {
	kept, end, err := r.newest(order)
	if err != nil {
		return 0, err
	}
	if kept.ID == order.ID && (kept.Phase >= d.Action.Phase() || kept.Phase.Final()) {
		r.restore(kept)
		return kept.Phase, nil
	}
	next := r.next(order, kept, d.Action.Phase())
	value, err := json.Marshal(rolloutRecord{
		Order: next.ID, To: next.To, DurationMS: next.Duration.Milliseconds(), Phase: uint8(next.Phase), From: next.From, BeganMS: next.Began.UnixMilli(),
	})
	if err != nil {
		return 0, fmt.Errorf("record of a roll-out: %w", err)
	}
	if err := r.gateway.platform.PutAt(feed.Rollouts, end, feed.Record{Key: order.Service, Value: value}); err != nil {
		return 0, err
	}
	r.note(order, d)
	r.restore(next)
	r.tell(order.Service)
	return next.Phase, nil
}

// next is the record that follows the one that is kept.
func (r *rollouts) next(order rollout.Order, kept rollout.Record, phase rollout.Phase) rollout.Record {
	g := r.gateway
	next := rollout.Record{Order: order, Phase: phase, From: kept.From, Began: kept.Began}
	if kept.ID == order.ID {
		return next
	}
	g.feeds.mutex.Lock()
	targets := g.feeds.register.Targets()
	g.feeds.mutex.Unlock()
	var own []catalog.Target
	for _, target := range targets {
		if target.Service == order.Service {
			own = append(own, target)
		}
	}
	next.From = rollout.Froms(own, order.To)
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	next.Began = time.Now().Add(-r.services[order.Service].tracker.Elapsed(time.Now()))
	return next
}

// note writes the line of a decision that is in the store, with the counts that decided it.
func (r *rollouts) note(order rollout.Order, d rollout.Decision) {
	r.gateway.log.Write(eventlog.Belief, eventRollout, eventlog.Fields{
		"service": order.Service, "order": order.ID, "to": order.To, "action": d.Action.String(), "reason": string(d.Reason),
		"unclear": string(d.Unclear), "answers": d.Answers, "bad": d.Bad, "expected": d.Expected, "worse": d.Worse,
	})
}
