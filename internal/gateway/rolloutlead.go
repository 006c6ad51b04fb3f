package gateway

import (
	"context"
	"time"

	"sycamoretrail/internal/core/rollout"
	"sycamoretrail/internal/eventlog"
)

const (
	// rolloutPause is the pause between two words of an entry on a roll-out: a report to the
	// leader, or a step from it.
	rolloutPause = 250 * time.Millisecond
	// reportsPerSecond bounds the reports that the leader gets: a fleet of hundreds reports
	// less often. At 20 us each (BenchmarkRolloutReport) that is 6 ms of a core a second, three
	// hundredths of what an entry of a fifth of a core has, while there is a roll-out.
	reportsPerSecond = 300
	// recordEvery is the pause between two looks at the store for how far a roll-out is, of an
	// entry that does not hear the leader.
	recordEvery = time.Second
	// farewell is how long the leader tells the end of a roll-out.
	farewell = 3 * time.Second
)

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
		if r.turnDue() {
			r.replace()
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

// turnDue reports whether other servers are to be a canary now.
func (r *rollouts) turnDue() bool {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	for _, known := range r.services {
		if known.tracker.TurnDue(now) {
			return true
		}
	}
	return false
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
	if len(readers) == 0 {
		return ""
	}
	return firstOf(readers[0].Name, readers[1:])
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
	again := known.recordLost && phase > 0
	due := d.Action != rollout.Wait || known.told < phase || again
	if due = due && !known.writing && now.After(known.writeAfter); due {
		known.writing = true
	}
	g.state.mutex.Unlock()
	if due {
		go r.store(order, phase, d, again)
	}
	r.tell(service)
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
	r.learn(step.Service, "leader", func(t *rollout.Tracker) bool { return t.Heard(time.Now(), step) })
}

// learn has a service's tracker take news, and follows the change of phase if it is one.
func (r *rollouts) learn(service, from string, take func(*rollout.Tracker) bool) {
	g := r.gateway
	g.state.mutex.Lock()
	known, found := r.services[service]
	changed := found && take(known.tracker)
	g.state.mutex.Unlock()
	if changed {
		r.changed(service, from)
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
