package routing

import "math/rand/v2"

const (
	// Costs are near-equal if they exceed the best cost by no more than nearEqualShare
	// of it, or by minNearEqual seconds if that is more.
	nearEqualShare = 0.01
	minNearEqual   = 0.003
	// ageWidening is the share of the oldest digest's age by which the range of
	// near-equal costs grows, up to maxAgeWidening seconds: the older the digests, the
	// less a small difference means.
	ageWidening    = 1.0 / 32
	maxAgeWidening = 0.1
	// preferenceLoad is the share of the limit by which a second of preference reduces
	// a target's weight.
	preferenceLoad = 10.0
	// minFreeShare is the share of its limit that counts as free at a full target.
	minFreeShare = 0.02
)

// weightedByFreeSlots picks a random candidate among those near the best, each with a
// probability in proportion to its free slots.
//
// Many owners hold the same stale digests. If each picked the best target, all would
// send to it until its next digest. With probabilities in proportion to the free slots
// the owners together fill each target according to its capacity, however many they
// are.
type weightedByFreeSlots struct {
	random       *rand.Rand
	nearEqualBuf []int // reused by each call
}

func (p *weightedByFreeSlots) pick(q *query, cs []candidate) int {
	near := p.nearEqual(q, cs)
	total := 0.0
	for _, i := range near {
		total += cs[i].weight()
	}
	at := p.random.Float64() * total
	for _, i := range near {
		at -= cs[i].weight()
		if at < 0 {
			return i
		}
	}
	return near[len(near)-1]
}

// weight returns the number of free slots, reduced by the preference, which applies at
// any load.
func (c *candidate) weight() float64 {
	free := 1 - c.view.load() - preferenceLoad*c.preference
	return float64(c.view.limit) * max(free, minFreeShare)
}

// nearEqual lists the candidates whose cost is near the best; only those in time if
// there are any.
func (p *weightedByFreeSlots) nearEqual(q *query, cs []candidate) []int {
	best, anyInTime := leastCostOf(q, cs)
	age := 0.0
	for i := range cs {
		age = max(age, cs[i].view.age)
	}
	bound := best + max(nearEqualShare*best, minNearEqual) + min(age*ageWidening, maxAgeWidening)
	near := p.nearEqualBuf[:0]
	for i := range cs {
		if anyInTime && !cs[i].inTime(q) {
			continue
		}
		if cs[i].cost <= bound {
			near = append(near, i)
		}
	}
	p.nearEqualBuf = near
	return near
}

// leastCostOf returns the lowest cost, of the candidates in time if there are any.
func leastCostOf(q *query, cs []candidate) (best float64, anyInTime bool) {
	for i := range cs {
		inTime := cs[i].inTime(q)
		switch {
		case i == 0, inTime && !anyInTime:
			best = cs[i].cost
		case inTime == anyInTime:
			best = min(best, cs[i].cost)
		}
		anyInTime = anyInTime || inTime
	}
	return best, anyInTime
}
