package entry

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/membership"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/core/scheduler"
)

// Status is the state of an entry as shown to operators.
type Status struct {
	Self     message.Member
	State    message.State
	Version  int64
	Document string
	InFlight int
	// LogUp is true if the last read of the documents stream succeeded.
	LogUp bool
	Peers []membership.View
	// RememberedIDs and ClaimedKeys are the current sizes of the bounded
	// tables.
	RememberedIDs int
	ClaimedKeys   int
	// RefusedPrefixes is the number of beginnings of prompts that are refused.
	RefusedPrefixes int
}

// Status returns the current state of the entry.
func (e *Entry) Status() Status {
	s := Status{
		Self: e.cfg.Self, State: e.state, Version: e.version, InFlight: len(e.flights),
		LogUp: e.logUp, Peers: e.members.Members(e.now),
		RememberedIDs: e.ids.Len(), ClaimedKeys: e.claims.Size(), RefusedPrefixes: e.prefixes.Quarantined(e.now),
	}
	if e.doc != nil {
		s.Document = e.doc.ID
	}
	return s
}

// TargetStatus is the state of one target as known to an entry.
type TargetStatus struct {
	Name, Pool, Class, Zone string
	Scheduler               ident.Incarnation
	SchedulerName           string
	// Here is true if this entry schedules the target; then View is exact.
	// Otherwise Digest is the latest one that the scheduler sent, and
	// HasDigest is true if there is one.
	Here      bool
	View      scheduler.TargetView
	Digest    message.Digest
	HasDigest bool
	Leaving   bool
}

// Targets lists all targets in the order of the document.
func (e *Entry) Targets() []TargetStatus {
	if e.doc == nil {
		return nil
	}
	views := make(map[string]scheduler.TargetView)
	for _, v := range e.scheduler.Inspect(e.now) {
		views[v.Name] = v
	}
	digests := make(map[string]message.Digest)
	for _, d := range e.scheduler.Digests(e.now) {
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
		s.Digest, s.HasDigest = digests[t.Name]
		s.Leaving = t.Leaving || e.leaving(t.Name)
		list = append(list, s)
	}
	return list
}

func (e *Entry) leaving(target string) bool {
	w := e.availability[target]
	return w != nil && (w.leavingProbe || w.leavingList || w.leavingAnswer)
}

// FloorStatus is a tier floor in force at this entry: the lowest tier that a
// pool admits.
type FloorStatus struct {
	Pool string
	Tier request.Tier
}

// Floors lists the pools that currently do not admit all tiers.
func (e *Entry) Floors() []FloorStatus {
	if e.doc == nil {
		return nil
	}
	lowest := make(map[string]request.Tier)
	for _, v := range e.scheduler.Inspect(e.now) {
		if int(v.Floor) < len(e.doc.Tiers)-1 {
			lowest[v.Pool] = v.Floor
		}
	}
	var list []FloorStatus
	for i := range e.doc.Pools {
		if tier, found := lowest[e.doc.Pools[i].Name]; found {
			list = append(list, FloorStatus{Pool: e.doc.Pools[i].Name, Tier: tier})
		}
	}
	return list
}

// Explanation holds what an entry remembers of a request.
type Explanation struct {
	// Known is true if this entry tracks or tracked the request.
	Known     bool
	Owner     ident.Incarnation
	Standing  message.IDState
	Decisions []TimedDecision
}

// Explain returns the decisions on a request with their reasons.
func (e *Entry) Explain(id ident.RequestID) Explanation {
	var x Explanation
	if parts, err := ident.Parse(id); err == nil {
		x.Owner = parts.Owner
	}
	state := e.stateOf(id)
	x.Standing = state.State
	x.Decisions = e.journal.decisionsOn(id)
	x.Known = len(x.Decisions) > 0 || state.State != message.IDExpired
	return x
}
