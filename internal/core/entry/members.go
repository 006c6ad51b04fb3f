package entry

import (
	"sort"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/membership"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/placement"
	"sycamoretrail/internal/core/scheduler"
)

// beat sends the heartbeats that are due.
func (e *Entry) beat() {
	due := e.members.Beats(e.now)
	if len(due) == 0 {
		return
	}
	digests := e.places.Digests(e.now)
	e.learnDigests(e.cfg.Self.Incarnation, digests)
	for _, b := range due {
		b.Heartbeat.State = e.state
		b.Heartbeat.ConfigVersion = e.version
		b.Heartbeat.InFlight = len(e.flights)
		b.Heartbeat.Digests = digests
		e.send(b.To, b.Heartbeat)
	}
}

func (e *Entry) heartbeat(from ident.Incarnation, h message.Heartbeat) {
	e.membersChanged(e.members.Beat(e.now, from, h))
	e.learnDigests(from, h.Digests)
	if h.ConfigVersion > e.version {
		// The log is slow here or out: the peer holds a newer document.
		e.send(from, message.DocumentAsk{})
	}
}

// learnDigests takes the word of a target's present scheduler only: a former
// one may still speak of targets that were taken from it.
func (e *Entry) learnDigests(from ident.Incarnation, digests []message.Digest) {
	for _, d := range digests {
		if e.cfg.Policy == PolicyScheduler && e.schedulerOf(d.Target) != from {
			continue
		}
		e.router.Digest(e.now, d)
	}
}

// membersChanged redistributes duties after a change of members.
func (e *Entry) membersChanged(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		e.note(Decision{Event: EventMember, Detail: c.String()})
		switch c.Kind {
		case membership.Gone, membership.Silent:
			e.perform(e.places.PeerGone(e.now, c.Member.Incarnation), fromPlaces)
		case membership.Paused:
			e.woke()
		}
	}
	e.rebalance()
	e.changed = true
}

// woke is called after this process stood still for longer than the silence
// limit: others may have taken its targets, so it grants nothing until the
// owners have told it again what they run there.
func (e *Entry) woke() {
	e.perform(e.places.SetTargets(e.now, nil), fromPlaces)
	e.held = nil
}

// rebalance computes who schedules which target and who is home to which
// partition, and hands over what changed.
func (e *Entry) rebalance() {
	if e.doc == nil {
		return
	}
	live := e.members.Live()
	e.placeTargets(live)
	e.placePartitions(live)
	quorum := e.members.Quorum(e.now)
	e.perform(e.places.SetQuorum(e.now, quorum), fromPlaces)
	e.perform(e.share.SetQuorum(e.now, quorum), fromShare)
}

func (e *Entry) placeTargets(live []message.Member) {
	var held []scheduler.Target
	moved := make(map[ident.Incarnation][]message.RunningOne)
	assigned := make(map[string]ident.Incarnation, len(e.doc.Targets))
	for i := range e.doc.Targets {
		t := &e.doc.Targets[i]
		to := e.assign(t.Name, t.Zone, live)
		assigned[t.Name] = to
		if to == e.cfg.Self.Incarnation {
			held = append(held, e.schedulerTarget(t))
		}
	}
	former := e.assigned
	e.assigned = assigned
	for _, f := range e.flightsInOrder() {
		to := assigned[f.target]
		if f.stage == stageRunning && to != "" && to != former[f.target] {
			moved[to] = append(moved[to], e.running(f))
		}
	}
	e.held = held
	e.perform(e.places.SetTargets(e.now, held), fromPlaces)
	e.shareTargets(len(live))
	e.reportMoved(moved, live)
}

// reportMoved tells new schedulers what runs at targets that they took over.
// Every live entry reports, even with nothing to tell, so that the new
// scheduler knows when it has heard all.
func (e *Entry) reportMoved(moved map[ident.Incarnation][]message.RunningOne, live []message.Member) {
	for _, m := range live {
		e.send(m.Incarnation, message.Running{Full: true, Runs: moved[m.Incarnation]})
	}
}

// assign names the scheduler of a target under the policy.
func (e *Entry) assign(target, zone string, live []message.Member) ident.Incarnation {
	if e.cfg.Policy != PolicyScheduler {
		return e.cfg.Self.Incarnation
	}
	return placement.Scheduler(target, zone, live)
}

func (e *Entry) schedulerOf(target string) ident.Incarnation { return e.assigned[target] }

// shareTargets sets this entry's own share of every target, for the fallback
// and for the baselines.
func (e *Entry) shareTargets(live int) {
	all := make([]scheduler.Target, 0, len(e.doc.Targets))
	for i := range e.doc.Targets {
		all = append(all, e.schedulerTarget(&e.doc.Targets[i]))
	}
	e.perform(e.share.SetTargets(e.now, all), fromShare)
	share := 1 / float64(max(live, 1))
	for _, t := range all {
		e.share.Scale(t.Name, share)
		if e.cfg.Policy == PolicyShares {
			e.places.Scale(t.Name, share)
		}
	}
}

func (e *Entry) placePartitions(live []message.Member) {
	var mine []int
	for p := range partitions {
		home := placement.Home(p, live)
		e.homes[p] = home
		if home == e.cfg.Self.Incarnation {
			mine = append(mine, p)
		}
	}
	e.performClaims(e.claims.SetHome(e.now, mine))
}

// flightsInOrder lists the flights by id, so that outputs do not depend on the
// order of a map.
func (e *Entry) flightsInOrder() []*flight {
	ids := make([]string, 0, len(e.flights))
	for id := range e.flights {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	flights := make([]*flight, len(ids))
	for i, id := range ids {
		flights[i] = e.flights[ident.RequestID(id)]
	}
	return flights
}

// settleState moves the entry through its stages of life.
func (e *Entry) settleState() {
	next := e.state
	switch {
	case e.drain.Started():
		next = e.drain.State(e.now, len(e.flights))
	case e.state == message.Starting && e.doc != nil && e.now.Sub(e.began) >= settleTime:
		next = message.Ready
	}
	if next == e.state {
		return
	}
	e.state = next
	e.membersChanged(e.members.SetState(e.now, next))
	e.changed = true
	if next == message.Stopped {
		e.emit(Drained{})
	}
}

// settleTime is how long a starting entry listens for peers before it is ready,
// so that it does not schedule targets that others hold.
const settleTime = 300 * time.Millisecond

// publish gives the edges a new view if anything in it changed.
func (e *Entry) publish() {
	prefix, good := e.ids.Prefix(e.now)
	if prefix != e.prefix {
		e.prefix = prefix
		e.changed = true
	}
	if !e.changed {
		return
	}
	e.changed = false
	view := &View{
		State: e.state, Version: e.version, Document: e.doc,
		Entries: e.members.Entries(e.now, e.cfg.Self.Zone),
		Probes:  e.probes(), Prefix: prefix, GoodFor: good,
	}
	e.emit(Publish{View: view})
}
