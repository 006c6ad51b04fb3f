package gateway

import (
	"iter"
	"maps"
	"slices"
	"sync/atomic"
)

// Heartbeats, digests and load reports are one datagram each. The totals of some fifty
// organisations fill one, and a message that does not fit is not sent: entries with more
// organisations would take each other for unresponsive. So a message contains as many totals as
// fit, and the next message continues where it stopped. What an entry has received on an
// organisation is then older by the number of messages that all totals take.

const (
	// heartbeatBytes is the space for totals in a heartbeat, besides names and addresses, and
	// for histories; reportBytes is that in a load report, besides the load of a cell's
	// targets.
	heartbeatBytes = 1100
	reportBytes    = 700
	// digestBytes is the space for organisations in a digest, with the totals of one status.
	digestBytes = 1150
	// totalBytes is the largest size of a total without the organisation's name, historyBytes
	// that of a history: two numbers of nine bytes and their headers.
	totalBytes   = 21
	historyBytes = 24
	// limitsBytes is the space for targets' limits in a load report, taken from that for
	// totals; limitBytes is the largest size of a limit without the target's name.
	limitsBytes = 400
	limitBytes  = 32
	// maxParts bounds the number of datagrams in which an entry that has joined receives the
	// histories of quotas.
	maxParts = 16
)

// rotation is the position at which the next message continues.
type rotation struct{ next atomic.Uint64 }

// share picks as many names as fit into space, each with a number of bytes besides its
// letters; complete: these are all names. The names are sorted, so that each one gets its
// turn.
func (r *rotation) share(names []string, space, each int) (picked []string, complete bool) {
	if sizeOf(slices.Values(names), each) <= space {
		return names, true
	}
	return r.pick(names, space, each), false
}

// pick continues where the previous call stopped.
func (r *rotation) pick(names []string, space, each int) []string {
	var picked []string
	first := int(r.next.Load() % uint64(len(names)))
	used := 0
	for i := range names {
		name := names[(first+i)%len(names)]
		if used += len(name) + each; used > space && len(picked) > 0 {
			break
		}
		picked = append(picked, name)
	}
	r.next.Store(uint64(first + len(picked)))
	return picked
}

func sizeOf(names iter.Seq[string], each int) int {
	size := 0
	for name := range names {
		size += len(name) + each
	}
	return size
}

// shareOf returns the part of a map that share picks.
func shareOf[V any](r *rotation, values map[string]V, space, each int) (part map[string]V, complete bool) {
	if sizeOf(maps.Keys(values), each) <= space {
		return values, true
	}
	picked := r.pick(slices.Sorted(maps.Keys(values)), space, each)
	part = make(map[string]V, len(picked))
	for _, name := range picked {
		part[name] = values[name]
	}
	return part, false
}

// partsOf divides a map into parts that fit into space, and returns the first maxParts of
// them: a greeting should not take thousands of datagrams.
func partsOf[V any](values map[string]V, space, each int) []map[string]V {
	var parts []map[string]V
	left := space
	for _, name := range slices.Sorted(maps.Keys(values)) {
		size := len(name) + each
		if len(parts) == 0 || size > left {
			if len(parts) == maxParts {
				return parts
			}
			parts = append(parts, make(map[string]V))
			left = space
		}
		left -= size
		parts[len(parts)-1][name] = values[name]
	}
	return parts
}
