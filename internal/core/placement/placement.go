// Package placement determines which member schedules a target and which member is the
// coordinator of a partition of idempotency keys, by rendezvous hashing: each pair of key
// and member has a score, and the member with the highest score gets the key. When a member
// leaves, only its own keys move.
//
// Members are hashed by name, not by incarnation, so an entry that is replaced under the
// same name gets the same keys and no others move. All members that have the same list
// compute the same placement. Where lists differ for a moment, two schedulers of a target
// may overload it but break no guarantee.
package placement

import (
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

// Scheduler returns the member that schedules a target: the one with the highest score in
// its zone, or of all members if its zone has none; empty if there are no members.
func Scheduler(target, zone string, members []message.Member) ident.Incarnation {
	key := xxhash.Sum64String(target)
	if best := highest(key, zone, members); best >= 0 {
		return members[best].Incarnation
	}
	if best := highest(key, "", members); best >= 0 {
		return members[best].Incarnation
	}
	return ""
}

// Coordinator returns the coordinator of a partition, the member that batches its claims; empty if
// there are no members.
func Coordinator(partition int, members []message.Member) ident.Incarnation {
	key := xxhash.Sum64String("partition " + strconv.Itoa(partition))
	if best := highest(key, "", members); best >= 0 {
		return members[best].Incarnation
	}
	return ""
}

// highest returns the index of the member of the zone with the highest score, of all members
// if zone is empty; -1 if there is none.
func highest(key uint64, zone string, members []message.Member) int {
	best, bestScore := -1, uint64(0)
	for i := range members {
		if zone != "" && members[i].Zone != zone {
			continue
		}
		s := score(key, xxhash.Sum64String(members[i].Name))
		if best < 0 || ranksHigher(s, members[i].Name, bestScore, members[best].Name) {
			best, bestScore = i, s
		}
	}
	return best
}

// ranksHigher orders scores, and equal scores by name, so that the result does not depend on
// the order of the list.
func ranksHigher(s uint64, name string, otherScore uint64, otherName string) bool {
	return s > otherScore || s == otherScore && name < otherName
}

// score mixes two xxhash sums: it folds the halves of their product, which is cheap enough
// for every pair of 1,800 targets and 410 members.
func score(key, member uint64) uint64 {
	hi, lo := bits.Mul64(key^mixA, member^mixB)
	x := hi ^ lo
	hi, lo = bits.Mul64(x^mixB, mixC)
	return hi ^ lo
}

// Odd constants with balanced bits: the fractional parts of sqrt(2), sqrt(3) and the golden
// ratio.
const (
	mixA = 0x6a09e667f3bcc909
	mixB = 0xbb67ae8584caa73b
	mixC = 0x9e3779b97f4a7c15
)
