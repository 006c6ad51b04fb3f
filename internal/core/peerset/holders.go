package peerset

import (
	"cmp"
	"slices"
	"time"
)

// Holders returns up to n other live entries, the same at all entries that agree on which are
// live: rendezvous hashing by key, with the best entry of each zone first, then the second of
// each, so that copies outlast the loss of a zone. An entry that joins or leaves changes one
// place of the order. draining: entries that are stopping are included.
func (s *Set) Holders(now time.Time, key uint64, n int, draining bool) []Entry {
	byZone := make(map[string][]holder)
	for _, m := range s.order {
		if !s.live(now, m) || m.State == Draining && !draining || m.Links == "" {
			continue
		}
		best, candidate := byZone[m.Zone], holder{member: m, weight: mix(key ^ m.position)}
		if len(best) == n && compareHolders(candidate, best[n-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, candidate, compareHolders)
		best = slices.Insert(best, at, candidate)
		byZone[m.Zone] = best[:min(n, len(best))]
	}
	var ranked []holder
	for _, best := range byZone {
		for place := range best {
			best[place].place = place
		}
		ranked = append(ranked, best...)
	}
	slices.SortFunc(ranked, func(a, b holder) int { return cmp.Or(cmp.Compare(a.place, b.place), compareHolders(a, b)) })
	entries := make([]Entry, 0, n)
	for _, h := range ranked[:min(n, len(ranked))] {
		entries = append(entries, h.member.Entry)
	}
	return entries
}

// holder is an entry with its weight for a key and its place among those of its zone.
type holder struct {
	member *Member
	weight uint64
	place  int
}

func compareHolders(a, b holder) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member.Name, b.member.Name))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
