package gateway

import (
	"iter"
	"maps"
	"slices"
	"sync/atomic"
)

// Heartbeats, digests and load reports each are one datagram. The totals of some fifty
// organisations fill it, and a message that does not fit is not sent: entries with more
// organisations would take each other for silent. So a message holds as many totals as
// have room, and the next one goes on where it stopped. What an entry knows of an
// organisation is then older by as many messages as it takes to tell of all.

const (
	// heartbeatBytes is the room for totals in a heartbeat, beside names and addresses, and for
	// histories; reportBytes that in a load report, beside the load of a cell's targets.
	heartbeatBytes = 1100
	reportBytes    = 700
	// digestBytes is the room for organisations in a digest, with the totals of one word.
	digestBytes = 1150
	// totalBytes is what a total takes at most beside the organisation's name, historyBytes
	// a history: two numbers of nine bytes and their heads.
	totalBytes   = 21
	historyBytes = 24
	// limitsBytes is the room for targets' limits in a load report, taken from that for totals,
	// limitBytes what one takes at most beside the target's name.
	limitsBytes = 400
	limitBytes  = 32
	// mostParts bounds the datagrams with which an entry that has joined is told what quotas
	// have been used.
	mostParts = 16
)

// rotation is where the next message goes on.
type rotation struct{ next atomic.Uint64 }

// share picks as many names as have room, each with so many bytes beside its letters; whole:
// these are all. names are in order, so that every one has its turn.
func (r *rotation) share(names []string, room, each int) (picked []string, whole bool) {
	if sizeOf(slices.Values(names), each) <= room {
		return names, true
	}
	return r.pick(names, room, each), false
}

// pick goes on where the last one stopped.
func (r *rotation) pick(names []string, room, each int) []string {
	var picked []string
	first := int(r.next.Load() % uint64(len(names)))
	used := 0
	for i := range names {
		name := names[(first+i)%len(names)]
		if used += len(name) + each; used > room && len(picked) > 0 {
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

// shareOf is the part of a map that share picks.
func shareOf[V any](r *rotation, values map[string]V, room, each int) (part map[string]V, whole bool) {
	if sizeOf(maps.Keys(values), each) <= room {
		return values, true
	}
	picked := r.pick(slices.Sorted(maps.Keys(values)), room, each)
	part = make(map[string]V, len(picked))
	for _, name := range picked {
		part[name] = values[name]
	}
	return part, false
}

// partsOf divides a map into parts that have room each, of which the first few are kept: a
// greeting is no place for thousands.
func partsOf[V any](values map[string]V, room, each int) []map[string]V {
	var parts []map[string]V
	left := room
	for _, name := range slices.Sorted(maps.Keys(values)) {
		size := len(name) + each
		if len(parts) == 0 || size > left {
			if len(parts) == mostParts {
				return parts
			}
			parts = append(parts, make(map[string]V))
			left = room
		}
		left -= size
		parts[len(parts)-1][name] = values[name]
	}
	return parts
}
