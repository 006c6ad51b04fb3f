// Package placement says which member schedules a target and which is home to a
// partition of idempotency keys, by rendezvous hashing: each pair of key and
// member has a score, and the member with the highest score gets the key. When
// a member goes only its own keys move.
//
// Members are hashed by name, not by incarnation, so an entry that is replaced
// under the same name gets the same keys and nothing else moves. All members
// that agree on the list agree on the placement; where lists differ for a
// moment, two schedulers of a target may overfill it but break no promise.
package placement

import (
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
)

// Scheduler returns the member that schedules a target: the best of its zone,
// or of all members if its zone has none; empty if there are no members.
func Scheduler(target, zone string, members []message.Member) ident.Incarnation {
	key := xxhash.Sum64String(target)
	if best := choose(key, zone, members); best >= 0 {
		return members[best].Incarnation
	}
	if best := choose(key, "", members); best >= 0 {
		return members[best].Incarnation
	}
	return ""
}

// Home returns the member through which the claims of a partition go.
func Home(partition int, members []message.Member) ident.Incarnation {
	key := xxhash.Sum64String("partition " + strconv.Itoa(partition))
	if best := choose(key, "", members); best >= 0 {
		return members[best].Incarnation
	}
	return ""
}

// choose returns the index of the best member of the zone, of all members if
// zone is empty; -1 if there is none.
func choose(key uint64, zone string, members []message.Member) int {
	best, bestScore := -1, uint64(0)
	for i := range members {
		if zone != "" && members[i].Zone != zone {
			continue
		}
		s := score(key, xxhash.Sum64String(members[i].Name))
		if best < 0 || beats(s, members[i].Name, bestScore, members[best].Name) {
			best, bestScore = i, s
		}
	}
	return best
}

// beats orders scores; equal ones by name, so that the result does not depend
// on the order of the list.
func beats(s uint64, name string, otherScore uint64, otherName string) bool {
	return s > otherScore || s == otherScore && name < otherName
}

// score mixes two xxhash sums: product of both halves folded, which is cheap
// enough for every pair of 1,800 targets and 410 members.
func score(key, member uint64) uint64 {
	hi, lo := bits.Mul64(key^mixA, member^mixB)
	x := hi ^ lo
	hi, lo = bits.Mul64(x^mixB, mixC)
	return hi ^ lo
}

// Odd constants with balanced bits: the fractional parts of sqrt(2), sqrt(3)
// and the golden ratio.
const (
	mixA = 0x6a09e667f3bcc909
	mixB = 0xbb67ae8584caa73b
	mixC = 0x9e3779b97f4a7c15
)
