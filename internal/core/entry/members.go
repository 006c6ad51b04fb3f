package entry

import (
	"sort"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/drain"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/membership"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/placement"
	"sycamoretrail/internal/core/scheduler"
)

// membershipEvery bounds how often the members are looked through.
const membershipEvery = 20 * time.Millisecond

func (e *Entry) membershipConfig() membership.Config {
	return membership.Config{Heartbeat: e.timing.heartbeat, Silence: e.timing.silence, Seed: e.cfg.Seed}
}

// beat sends the heartbeats that are due.
func (e *Entry) beat() {
	if !e.now.Before(e.digestsAt) {
		e.digestsAt = e.now.Add(e.timing.heartbeat)
		e.tellSelf()
	}
	for _, b := range e.members.Beats(e.now) {
		e.send(b.Peer, b.Beat)
	}
}

// tellSelf renews what heartbeats say of this entry, and what it routes by.
func (e *Entry) tellSelf() {
	digests := e.places.Digests(e.now)
	e.learnDigests(e.cfg.Self.Incarnation, digests)
	e.members.SetSelf(e.now, membership.Self{
		State: e.state, ConfigVersion: e.version, InFlight: len(e.flights), Digests: digests,
	})
}

func (e *Entry) heartbeat(from ident.Incarnation, h message.Heartbeat) {
	e.members.Beat(e.now, from, h)
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
		if e.schedulerOf(d.Target) == from {
			e.router.Digest(e.now, d)
		}
	}
}

// lookAtMembers finds out what changed among the members. After a pause of this
// process it finds that first, whatever the input is, so that no grant or
// digest from before the pause is acted on.
func (e *Entry) lookAtMembers() {
	if e.now.Before(e.membersAt) {
		return
	}
	e.membersAt = e.now.Add(membershipEvery)
	e.takeChanges()
}

func (e *Entry) takeChanges() {
	changes := e.members.Tick(e.now)
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		e.memberChanged(c)
	}
	e.rebalance()
	e.changed = true
}

func (e *Entry) memberChanged(c membership.Change) {
	e.note(Decision{Event: EventMember, Detail: c.String()})
	switch c.Kind {
	case membership.Paused:
		e.woke()
	case membership.MemberLost, membership.MemberReplaced, membership.MemberRemoved:
		e.perform(e.places.PeerGone(e.now, c.Member.Incarnation), fromPlaces)
	}
}

// woke is called after this process stood still for longer than the silence
// limit: others may have taken its targets, so it grants nothing until it has
// heard its peers again and the owners have told it what they run there.
func (e *Entry) woke() {
	e.wokeAt = e.now
	e.plan.SetMembers(nil)
	e.perform(e.places.SetTargets(e.now, nil), fromPlaces)
}

// rebalance computes who schedules which target and who is home to which
// partition, and hands over what changed.
func (e *Entry) rebalance() {
	if e.doc == nil {
		return
	}
	live := e.members.Live()
	moves := e.plan.SetTargets(placementTargets(e.doc))
	moves = append(moves, e.plan.SetMembers(live)...)
	// Before the targets: a takeover waits for the reports of these members, and
	// would wait its whole time for one that is gone.
	e.places.SetMembers(e.now, incarnations(live))
	e.placeTargets(len(live))
	e.placePartitions(live)
	e.setQuorum()
	e.setPools(live)
	e.reportMoved(moves)
}

// setQuorum tells the schedulers whether this entry is in touch with most members.
func (e *Entry) setQuorum() {
	quorum := e.members.Quorum(e.now)
	if e.quorum && !quorum {
		e.quorumLost = e.now
	}
	e.quorum = quorum
	e.places.SetQuorum(e.now, quorum)
	e.share.SetQuorum(e.now, quorum)
}

// placeTargets gives the schedulers their targets: those placed here, and a
// share of every target for the fallback and the baselines.
func (e *Entry) placeTargets(live int) {
	all := make([]scheduler.Target, 0, len(e.doc.Targets))
	var held []scheduler.Target
	for i := range e.doc.Targets {
		t := e.schedulerTarget(&e.doc.Targets[i])
		all = append(all, t)
		if e.schedulerOf(t.Name) == e.cfg.Self.Incarnation {
			held = append(held, t)
		}
	}
	e.perform(e.places.SetTargets(e.now, held), fromPlaces)
	e.perform(e.share.SetTargets(e.now, all), fromShare)
	e.performOrders(e.orders.SetHeld(e.now, names(held)))
	share := 1 / float64(max(live, 1))
	for i := range all {
		e.share.Scale(all[i].Name, share)
		if e.cfg.Policy == PolicyShares {
			e.places.Scale(all[i].Name, share)
		}
		e.willing(all[i].Name)
	}
}

// setPools tells the scheduler whom to ask before it refuses for want of
// capacity. Every live entry may hold places of a pool, by schedule or by its
// own share; the baselines ask nobody.
func (e *Entry) setPools(live []message.Member) {
	var others []ident.Incarnation
	for _, m := range live {
		if m.Incarnation != e.cfg.Self.Incarnation && e.cfg.Policy == PolicyScheduler {
			others = append(others, m.Incarnation)
		}
	}
	for i := range e.doc.Pools {
		e.places.SetPool(e.doc.Pools[i].Name, others)
	}
}

// reportMoved tells each new scheduler all that this entry runs at the targets
// that are scheduled there now. It reports even if it runs nothing, so that the
// new scheduler knows when it has heard all.
func (e *Entry) reportMoved(moves []placement.Move) {
	if e.cfg.Policy != PolicyScheduler {
		return
	}
	moved := make(map[ident.Incarnation][]string)
	var order []ident.Incarnation
	for _, m := range moves {
		if m.To == "" {
			continue
		}
		if moved[m.To] == nil {
			order = append(order, m.To)
		}
		moved[m.To] = append(moved[m.To], m.Target)
	}
	for _, to := range order {
		e.send(to, message.Running{Full: true, Runs: e.runsScheduledBy(to), Moved: moved[to]})
	}
}

func (e *Entry) runsScheduledBy(member ident.Incarnation) []message.RunningOne {
	var runs []message.RunningOne
	for _, f := range e.flightsInOrder() {
		if f.stage == stageRunning && e.schedulerOf(f.target) == member {
			runs = append(runs, e.running(f))
		}
	}
	return runs
}

// schedulerOf names the entry that gives out the places of a target.
func (e *Entry) schedulerOf(target string) ident.Incarnation {
	if e.cfg.Policy != PolicyScheduler {
		return e.cfg.Self.Incarnation
	}
	return e.plan.Scheduler(target)
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

func placementTargets(doc *document.Document) []placement.Target {
	targets := make([]placement.Target, len(doc.Targets))
	for i := range doc.Targets {
		targets[i] = placement.Target{Name: doc.Targets[i].Name, Zone: doc.Targets[i].Zone}
	}
	return targets
}

func incarnations(members []message.Member) []ident.Incarnation {
	list := make([]ident.Incarnation, len(members))
	for i := range members {
		list[i] = members[i].Incarnation
	}
	return list
}

func names(targets []scheduler.Target) []string {
	list := make([]string, len(targets))
	for i := range targets {
		list[i] = targets[i].Name
	}
	return list
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

func (e *Entry) drainConfig() drain.Config {
	cfg := drain.Config{Settle: e.timing.silence, AnswerTTL: startingPeriod, Bound: startingDrain}
	if e.doc != nil {
		cfg.AnswerTTL = document.Milliseconds(e.doc.Shutdown.EntriesTTLMS)
		cfg.Bound = document.Milliseconds(e.doc.Shutdown.DrainMS)
	}
	return cfg
}

// settleState moves the entry through its stages of life.
func (e *Entry) settleState() {
	next := e.nextState()
	if next == e.state {
		return
	}
	e.state = next
	e.tellSelf()
	e.takeChanges()
	e.rebalance()
	e.changed = true
	if next == message.Stopped {
		e.emit(Drained{})
	}
}

func (e *Entry) nextState() message.State {
	switch stage := e.drain.Tick(e.now, e.stillHeld()); {
	case stage == drain.Drained:
		return message.Stopped
	case stage != drain.Serving:
		return message.Draining
	case e.state == message.Starting && e.doc != nil && e.now.Sub(e.began) >= settleTime:
		return message.Ready
	}
	return e.state
}

func (e *Entry) stillHeld() drain.Held {
	return drain.Held{InFlight: len(e.flights), Appends: len(e.pending)}
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
