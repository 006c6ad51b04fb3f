package gateway

import (
	"context"
	"time"

	"sycamoretrail/internal/core/rollout"
	"sycamoretrail/internal/eventlog"
)

const (
	// rolloutPause is the least interval of an entry's messages on a roll-out: reports to the
	// leader, or steps from it.
	rolloutPause = 250 * time.Millisecond
	// reportsPerSecond bounds the reports that the leader receives: in a fleet of hundreds
	// each entry reports less often, so that the leader's processor time does not grow with it.
	reportsPerSecond = 300
	// recordEvery is the interval at which an entry without contact with the leader reads the
	// state of a roll-out from the store.
	recordEvery = time.Second
	// endRepeat is how long the leader repeats the final step of a roll-out.
	endRepeat = 3 * time.Second
)

// run leads roll-outs, or reports on them, while there are any.
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
			r.reassign()
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

// turnDue reports whether it is time for other servers to be the canary.
func (r *rollouts) turnDue() bool {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	for _, known := range r.services {
		if known.tracker.RotationDue(now) {
			return true
		}
	}
	return false
}

// pause returns the interval of messages on roll-outs.
func (r *rollouts) pause() time.Duration {
	g := r.gateway
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	return max(rolloutPause, time.Duration(g.state.peers.Size())*time.Second/reportsPerSecond)
}

// active returns the services whose roll-out is in progress or has just ended.
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
			if now.Sub(known.ended) > endRepeat {
				continue
			}
		}
		services = append(services, service)
	}
	return services
}

// rolloutLeader returns the name of the entry that decides on roll-outs: the first in rank of
// those that can read the store, or empty if there is none. Two leaders at once do no harm,
// since each step has to be the next one in the store. An entry without contact with at least
// half of the others does not lead, since it would take what it does not see for idle.
func (g *Gateway) rolloutLeader() string {
	readers := entriesOf(g.readers())
	able := g.ready() && !g.feeds.isStoreDisconnected()
	if able {
		g.state.mutex.Lock()
		able = !g.state.quota.Isolated()
		g.state.mutex.Unlock()
	}
	if able {
		return g.firstInRank(readers)
	}
	if len(readers) == 0 {
		return ""
	}
	return firstOf(readers[0].Name, readers[1:])
}

// follow reports to the leader, and reads the record in the store if there is no contact with
// the leader.
func (r *rollouts) follow(service, leader string) {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	known := r.services[service]
	known.judge, known.rollingBack = nil, false
	order := known.tracker.Order()
	report := known.tracker.Report(g.state.sched.Outstanding(known.current))
	readDue := !known.tracker.Phase().Final() && known.tracker.LeaderTimedOut(now) && now.Sub(known.recordReadAt) > recordEvery
	if readDue {
		known.recordReadAt = now
	}
	g.state.mutex.Unlock()
	if readDue {
		go r.readRecord(order)
	}
	g.links.reportRollout(leader, service, report)
}

// lead decides on the next step and announces the state of the roll-out.
func (r *rollouts) lead(service string) {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	known := r.services[service]
	t := known.tracker
	if known.judge == nil || known.judge.Order() != t.Order() {
		known.judge = rollout.NewJudge(now, t.Order())
	}
	known.judge.AddReport(now, g.self.Name, g.self.Incarnation, t.Report(g.state.sched.Outstanding(known.current)))
	d := known.judge.Decide(now, t.Phase(), t.Elapsed(now), g.liveNames(now))
	known.rollingBack = d.Action == rollout.RollBack
	order, phase := t.Order(), t.Phase()
	rewrite := known.recordLost && phase > 0
	due := d.Action != rollout.Wait || known.published < phase || rewrite
	if due = due && !known.writing && now.After(known.writeAfter); due {
		known.writing = true
	}
	g.state.mutex.Unlock()
	if due {
		go r.persist(order, phase, d, rewrite)
	}
	r.announce(service)
}

// liveNames returns the names of the live entries, this one included. The caller holds the
// state's mutex.
func (g *Gateway) liveNames(now time.Time) []string {
	live := []string{g.self.Name}
	for _, m := range g.state.peers.Members() {
		if g.state.peers.Live(now, m.Name) {
			live = append(live, m.Name)
		}
	}
	return live
}

// announce sends the state of the roll-out to all entries, and applies it to this one.
func (r *rollouts) announce(service string) {
	g := r.gateway
	now := time.Now()
	g.state.mutex.Lock()
	known := r.services[service]
	step := rollout.Step{
		Service: service, Order: known.tracker.Order().ID, Phase: known.tracker.Phase(),
		Halt: known.rollingBack, Elapsed: known.tracker.Elapsed(now),
	}
	known.tracker.ApplyStep(now, step)
	g.state.mutex.Unlock()
	g.links.announceStep(step)
}

// applyStep applies a step from the leader.
func (r *rollouts) applyStep(step rollout.Step) {
	r.update(step.Service, "leader", func(t *rollout.Tracker) bool { return t.ApplyStep(time.Now(), step) })
}

// update applies a change to a service's tracker, and calls phaseChanged if the phase has
// changed.
func (r *rollouts) update(service, from string, apply func(*rollout.Tracker) bool) {
	g := r.gateway
	g.state.mutex.Lock()
	known, found := r.services[service]
	changed := found && apply(known.tracker)
	g.state.mutex.Unlock()
	if changed {
		r.phaseChanged(service, from)
	}
}

// applyReport passes an entry's report to the judge.
func (r *rollouts) applyReport(service, entry string, incarnation uint64, report rollout.Report) {
	g := r.gateway
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	if known, found := r.services[service]; found && known.judge != nil {
		known.judge.AddReport(time.Now(), entry, incarnation, report)
	}
}

// phaseChanged follows a change of phase: it assigns the targets to pools again, and redirects
// waiting requests to the version that now has the traffic.
func (r *rollouts) phaseChanged(service, from string) {
	g := r.gateway
	r.reassign()
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	known := r.services[service]
	phase := known.tracker.Phase()
	switch phase {
	case rollout.Shifting, rollout.Completed:
		g.state.deliver(g.state.sched.Redirect(time.Now(), known.current, known.tracker.NewVersionPool()))
	case rollout.RolledBack:
		g.state.deliver(g.state.sched.Redirect(time.Now(), known.tracker.NewVersionPool(), known.current))
	}
	g.log.Write(eventlog.StateChange, eventRollout, eventlog.Fields{
		"service": service, "order": known.tracker.Order().ID, "to": known.tracker.Order().To, "phase": phase.String(), "from": from,
		"elapsed_ms": known.tracker.Elapsed(time.Now()).Milliseconds(),
	})
}
