package entry

import (
	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/placement"
	"sycamoretrail/internal/core/scheduler"
)

// rebalance assigns targets to schedulers and key partitions to coordinators,
// and passes the changes on.
func (e *Entry) rebalance() {
	if e.doc == nil {
		return
	}
	live := e.members.Live()
	moves := e.plan.SetTargets(placementTargets(e.doc))
	moves = append(moves, e.plan.SetMembers(live)...)
	// Set the members before the targets: a takeover waits for the reports of
	// these members, and would wait its full time for one that has departed.
	e.scheduler.SetMembers(e.now, incarnations(live))
	e.assignTargets(len(live))
	e.assignPartitions(live)
	e.setQuorum()
	e.setPools(live)
	e.reportRuns(moves)
}

// setQuorum updates the quorum state of the schedulers.
func (e *Entry) setQuorum() {
	quorum := e.members.Quorum(e.now)
	if e.quorum && !quorum {
		e.quorumLostAt = e.now
	}
	e.quorum = quorum
	e.scheduler.SetQuorum(e.now, quorum)
	e.shareScheduler.SetQuorum(e.now, quorum)
}

// assignTargets gives the schedulers their targets: those assigned to this
// entry, and a share of every target for the fallback and the baselines.
func (e *Entry) assignTargets(live int) {
	all := make([]scheduler.Target, 0, len(e.doc.Targets))
	var held []scheduler.Target
	for i := range e.doc.Targets {
		t := e.schedulerTarget(&e.doc.Targets[i])
		all = append(all, t)
		if e.schedulerOf(t.Name) == e.cfg.Self.Incarnation {
			held = append(held, t)
		}
	}
	e.perform(e.scheduler.SetTargets(e.now, held), fromScheduler)
	e.perform(e.shareScheduler.SetTargets(e.now, all), fromShare)
	e.performOrders(e.orders.SetHeld(e.now, names(held)))
	share := 1 / float64(max(live, 1))
	for i := range all {
		e.shareScheduler.SetLimitShare(all[i].Name, share)
		if e.cfg.Policy == PolicyShares {
			e.scheduler.SetLimitShare(all[i].Name, share)
		}
		e.updateAvailability(all[i].Name)
	}
}

// setPools sets which entries the scheduler consults before it refuses for lack
// of capacity. Every live entry may hold slots of a pool, as a target's
// scheduler or through its own share. The baselines consult no one.
func (e *Entry) setPools(live []message.Member) {
	var others []ident.Incarnation
	for _, m := range live {
		if m.Incarnation != e.cfg.Self.Incarnation && e.cfg.Policy == PolicyScheduler && e.enabled(guardFloors) {
			others = append(others, m.Incarnation)
		}
	}
	for i := range e.doc.Pools {
		e.scheduler.SetPool(e.doc.Pools[i].Name, others)
	}
}

// reportRuns reports to each new scheduler the runs that this entry has at the
// targets it has taken over. It reports even without runs, so that the new
// scheduler can tell when all reports have arrived.
func (e *Entry) reportRuns(moves []placement.Move) {
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
		e.send(to, message.Running{Full: true, Runs: e.runsScheduledBy(to), TakenOver: moved[to]})
	}
}

func (e *Entry) runsScheduledBy(member ident.Incarnation) []message.Run {
	var runs []message.Run
	for _, f := range e.flightsInOrder() {
		if f.stage == stageRunning && e.schedulerOf(f.target) == member {
			runs = append(runs, e.running(f))
		}
	}
	return runs
}

// schedulerOf returns the entry that grants the slots of a target.
func (e *Entry) schedulerOf(target string) ident.Incarnation {
	if e.cfg.Policy != PolicyScheduler {
		return e.cfg.Self.Incarnation
	}
	return e.plan.Scheduler(target)
}

func (e *Entry) assignPartitions(live []message.Member) {
	var mine []int
	for p := range partitions {
		coordinator := placement.Coordinator(p, live)
		e.coordinators[p] = coordinator
		if coordinator == e.cfg.Self.Incarnation {
			mine = append(mine, p)
		}
	}
	e.performClaims(e.claims.SetPartitions(e.now, mine))
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
