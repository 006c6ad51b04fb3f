package entry

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/membership"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/core/scheduler"
)

// Status is what operators see of an entry.
type Status struct {
	Self     message.Member
	State    message.State
	Version  int64
	Document string
	InFlight int
	// LogUp: the stream of documents could be read lately.
	LogUp bool
	Peers []membership.View
	// RememberedIDs and ClaimedKeys are the sizes of the bounded memories.
	RememberedIDs int
	ClaimedKeys   int
}

// Status tells how the entry stands.
func (e *Entry) Status() Status {
	s := Status{
		Self: e.cfg.Self, State: e.state, Version: e.version, InFlight: len(e.flights),
		LogUp: e.logUp, Peers: e.members.Members(e.now),
		RememberedIDs: e.ids.Len(), ClaimedKeys: e.claims.Size(),
	}
	if e.doc != nil {
		s.Document = e.doc.ID
	}
	return s
}

// TargetStatus is what an entry knows of one target.
type TargetStatus struct {
	Name, Pool, Class, Zone string
	Scheduler               ident.Incarnation
	SchedulerName           string
	// Here: this entry schedules it and View is exact; else Digest is the last
	// that the scheduler sent, if one was heard.
	Here    bool
	View    scheduler.TargetView
	Digest  message.Digest
	Heard   bool
	Leaving bool
}

// Targets lists all targets of the document by its order.
func (e *Entry) Targets() []TargetStatus {
	if e.doc == nil {
		return nil
	}
	views := make(map[string]scheduler.TargetView)
	for _, v := range e.places.Inspect(e.now) {
		views[v.Name] = v
	}
	digests := make(map[string]message.Digest)
	for _, d := range e.places.Digests(e.now) {
		digests[d.Target] = d
	}
	memberNames := map[ident.Incarnation]string{e.cfg.Self.Incarnation: e.cfg.Self.Name}
	for _, m := range e.members.Members(e.now) {
		memberNames[m.Member.Incarnation] = m.Member.Name
		for _, d := range m.Digests {
			if e.schedulerOf(d.Target) == m.Member.Incarnation {
				digests[d.Target] = d
			}
		}
	}
	list := make([]TargetStatus, 0, len(e.doc.Targets))
	for i := range e.doc.Targets {
		t := &e.doc.Targets[i]
		s := TargetStatus{Name: t.Name, Pool: t.Pool, Class: t.Class, Zone: t.Zone, Scheduler: e.schedulerOf(t.Name)}
		s.SchedulerName = memberNames[s.Scheduler]
		s.View, s.Here = views[t.Name], s.Scheduler == e.cfg.Self.Incarnation
		s.Digest, s.Heard = digests[t.Name]
		s.Leaving = t.Leaving || e.leaving(t.Name)
		list = append(list, s)
	}
	return list
}

func (e *Entry) leaving(target string) bool {
	w := e.watches[target]
	return w != nil && (w.leavingProbe || w.leavingList || w.leavingAnswer)
}

// FloorStatus is a floor in force at this entry.
type FloorStatus struct {
	Pool string
	Tier request.Tier
}

// Floors lists the pools in which lower tiers are not admitted now.
func (e *Entry) Floors() []FloorStatus {
	if e.doc == nil {
		return nil
	}
	lowest := make(map[string]request.Tier)
	for _, v := range e.places.Inspect(e.now) {
		if int(v.Floor) < len(e.doc.Tiers)-1 {
			lowest[v.Pool] = v.Floor
		}
	}
	var list []FloorStatus
	for i := range e.doc.Pools {
		if tier, stands := lowest[e.doc.Pools[i].Name]; stands {
			list = append(list, FloorStatus{Pool: e.doc.Pools[i].Name, Tier: tier})
		}
	}
	return list
}

// Explanation is what an entry remembers of a request.
type Explanation struct {
	// Known: the request is or was here.
	Known    bool
	Owner    ident.Incarnation
	Standing message.Standing
	Noted    []Noted
}

// Explain tells what was decided on a request, and why.
func (e *Entry) Explain(id ident.RequestID) Explanation {
	var x Explanation
	if parts, err := ident.Parse(id); err == nil {
		x.Owner = parts.Owner
	}
	told := e.told(id)
	x.Standing = told.Standing
	x.Noted = e.journal.about(id)
	x.Known = len(x.Noted) > 0 || told.Standing != message.StandingExpired
	return x
}
