// Package rollout moves a service's traffic from the version in use to a new one, and back
// if the new one is worse.
//
// The operators order a roll-out and start servers of the new version beside the old ones. A
// share of the traffic, the canary traffic, goes to a few of the new servers. One entry, the
// leader, compares what all entries observe of both versions at the same time. It rolls back
// as soon as the new version is found to be worse. Otherwise the leader shifts all traffic
// shortly before the deadline, waits until no request runs on an old server, and completes
// the roll-out. The old servers are then stopped without draining.
//
// A Tracker is the state of one roll-out at each entry: where requests go, and what the
// entry has observed. A Judge is used by the leader only and evaluates the observations of
// all entries. A Record is the state in the store. Every step is stored before any entry
// follows it, except rolling back, which is safe at any time before the completion.
//
// The damage of a bad version is bounded by one rule: an entry draws for each request
// whether it goes to the canary, with a probability below the share that the operators
// allow. This needs no communication, so the bound also holds for entries that are
// partitioned, have restarted or follow no leader. An entry that has received nothing from the
// leader within a time-out sends nothing to the canary.
//
// Time is passed as an argument, and nothing in this package blocks or does I/O. Trackers
// and Judges are not safe for concurrent use.
package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Order is the operators' order to move a service to a version.
type Order struct {
	// ID increases with each order. A later order for the same service replaces the earlier
	// one.
	ID      int64
	Service string
	// To is the new version.
	To string
	// Duration is the time after the order by which the roll-out has to be completed or
	// rolled back.
	Duration time.Duration
}

// Phase is the progress of a roll-out. It only increases.
type Phase uint8

const (
	// Unknown: this entry has not read the phase yet.
	Unknown Phase = iota
	// Canary: a share of the traffic goes to the new version.
	Canary
	// Shifting: all new requests go to the new version; requests at old servers run to their
	// end.
	Shifting
	// Completed: all traffic goes to the new version, and the old servers are stopped.
	Completed
	// RolledBack: all traffic goes to the old version, and the new servers drain.
	RolledBack
)

func (p Phase) String() string {
	return [...]string{"unknown", "canary", "shifting", "completed", "rolled_back"}[p]
}

// Final reports whether the roll-out has ended.
func (p Phase) Final() bool { return p >= Completed }

// Record is the state of a roll-out in the store.
type Record struct {
	Order
	Phase Phase
	// From lists the versions in use when the roll-out began.
	From []string
	// Began is when the order was first seen, by the wall clock of the entry that saw it.
	Began time.Time
}

// Bounds are the limits set by the operators within which a roll-out has to stay.
type Bounds struct {
	// ExposureShare is the share of a service's requests, between order and deadline, that a
	// bad version may receive.
	ExposureShare float64
	// StopWithin is the time within which a version that has been found to be bad must no
	// longer receive requests.
	StopWithin time.Duration
	// RenewalTime is the time for which the registration of a target that serves may be missing. Zero if
	// the entry has followed the targets since before the order.
	RenewalTime time.Duration
}

// RouteKey returns the key of a route in observations.
func RouteKey(host, prefix string) uint32 { return uint32(xxhash.Sum64String(host + prefix)) }

// TargetKey returns the key of a target in observations.
func TargetKey(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

// Observation is what an entry measured of one answer of a target.
type Observation struct {
	// Number increases with each observation of an entry.
	Number uint64
	Route  uint32
	Target uint32
	// New reports whether the target runs the new version.
	New bool
	// Load is the number of requests at the target when this one was sent, including itself.
	// Loaded reports whether that was more than half of the target's slots.
	Load   int
	Loaded bool
	// Failed: the target answered with an error of its own, or aborted the answer.
	// ConnectionLost: the connection was lost or timed out, which ends all requests on it at
	// once.
	Failed, ConnectionLost bool
	// Pace is the mean interval between the events of a stream, or the time to an answer
	// that is not streamed. FirstEvent is the time to the first event of a stream, per 1,000
	// tokens that had to be read. 0: not measured.
	Pace, FirstEvent time.Duration
	// Duration is how long the request was at the target.
	Duration time.Duration
}

// Report is sent by each entry to the leader.
type Report struct {
	Order int64
	Phase Phase
	// OldOutstanding is the entry's number of requests that run at old servers or wait for one.
	OldOutstanding int
	// New and Old are the latest observations of each version, oldest first. They overlap
	// with earlier reports, because reports may be lost or may have gone to another leader.
	New, Old []Observation
}

// Step is sent by the leader to the entries.
type Step struct {
	Service string
	Order   int64
	Phase   Phase
	// Halt: no request goes to the new version, even if the store does not have the
	// roll-back yet.
	Halt bool
	// Elapsed is the time since the order.
	Elapsed time.Duration
}
