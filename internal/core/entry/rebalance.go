package entry

import (
	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/placement"
	"sycamoretrail/internal/core/scheduler"
)

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
		if m.Incarnation != e.cfg.Self.Incarnation && e.cfg.Policy == PolicyScheduler && e.on(guardFloors) {
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
