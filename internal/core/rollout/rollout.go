// Package rollout moves a service's traffic from the version that serves it to a new
// one, and back if the new one is bad.
//
// The operators order a roll-out and start servers of the new version beside the old
// ones. A part of the traffic, the canary, goes to a few of the new servers. One entry,
// the leader, compares what all entries see of both versions at the same moments. It
// rolls back as soon as the new version is worse. If it is not, the leader shifts all
// traffic shortly before the deadline, waits until nothing runs on old servers any more,
// and completes: the old servers are stopped then, without draining.
//
// A Tracker is what each entry keeps of one roll-out: where its requests go, and what it
// has seen. A Judge is what the leader makes of all entries' observations. A Record is
// what lasts in the store; each step is in the store before any entry follows it, but for
// the way back, which is safe at any time before the completion.
//
// The invariant that bounds the damage of a bad version: an entry draws for each request
// whether it goes to the canary, with a chance below the share that the operators allow.
// It needs no word of anybody for that, so the bound holds for entries that are cut off,
// have restarted or follow no leader. An entry that has not heard the leader for a while
// sends nothing to the canary at all.
//
// Time is an argument and nothing here waits or does I/O. Neither type is safe for
// concurrent use.
package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Order is the operators' order to move a service to a version.
type Order struct {
	// ID rises with each order; a later one for the same service replaces the earlier.
	ID      int64
	Service string
	// To is the version to move to.
	To string
	// Duration is the time from the order in which the operators want it decided.
	Duration time.Duration
}

// Phase is how far a roll-out has come. It only rises.
type Phase uint8

const (
	// Unknown: this entry does not know how far it is.
	Unknown Phase = iota
	// Canary: a part of the traffic goes to the new version.
	Canary
	// Shifting: all new requests go to the new version; those at old servers end.
	Shifting
	// Completed: the new version has all traffic, the old servers are stopped.
	Completed
	// RolledBack: the old version has all traffic, the new servers drain.
	RolledBack
)

func (p Phase) String() string {
	return [...]string{"unknown", "canary", "shifting", "completed", "rolled_back"}[p]
}

// Final reports whether the roll-out has ended.
func (p Phase) Final() bool { return p >= Completed }

// Record is what the store keeps of a roll-out.
type Record struct {
	Order
	Phase Phase
	// From are the versions that served when it began.
	From []string
	// Began is when the order was first seen, by the time of day of who saw it.
	Began time.Time
}

// Bounds are the operators' promises that a roll-out has to keep.
type Bounds struct {
	// ExposureShare is the part of a service's requests, between order and deadline, that a
	// bad version may get.
	ExposureShare float64
	// StopWithin is the time in which a version that has been shown to be bad has to get
	// nothing any more.
	StopWithin time.Duration
}

// RouteKey names a route in observations.
func RouteKey(host, prefix string) uint32 { return uint32(xxhash.Sum64String(host + prefix)) }

// TargetKey names a target in observations.
func TargetKey(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

// Observation is what one answer showed of a target.
type Observation struct {
	// Number rises with each observation of an entry.
	Number uint64
	Route  uint32
	Target uint32
	// New: the target has the new version.
	New bool
	// Load is the number of requests at the target when this one was sent, itself included;
	// Loaded: that was more than half of what it runs at once.
	Load   int
	Loaded bool
	// Failed: the target answered with a failure of its own, or broke off. Severed: the
	// connection ended or fell silent, which ends all that runs there at once.
	Failed, Severed bool
	// Pace is the mean pause between a stream's events, or the time to another answer;
	// First the time to a stream's first event for each token that had to be read, times
	// 1,000; 0: not measured.
	Pace, First time.Duration
	// Took is how long the request was at the target.
	Took time.Duration
}

// Report is what an entry tells the leader.
type Report struct {
	Order int64
	Phase Phase
	// OldEngaged is the number of requests that it has at old servers or waiting for one.
	OldEngaged int
	// New and Old are the latest observations of each version, oldest first. Most were in
	// earlier reports: reports may be lost, and another leader may have got them.
	New, Old []Observation
}

// Step is what the leader tells the entries.
type Step struct {
	Service string
	Order   int64
	Phase   Phase
	// Halt: nothing goes to the new version, whether or not the store says so yet.
	Halt bool
	// Elapsed is the time since the order.
	Elapsed time.Duration
}
