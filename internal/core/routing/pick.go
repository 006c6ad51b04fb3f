package routing

import "math/rand/v2"

const (
	// nearShare of the best cost, and nearFloor seconds, is near-equal.
	nearShare = 0.01
	nearFloor = 0.003
	// agePart of the oldest digest's age widens near-equal, to nearAgeMost
	// seconds: the older the view, the less a small difference says.
	agePart     = 1.0 / 32
	nearAgeMost = 0.1
	// preferenceLoad is the difference in load, as a part of the limit, that a
	// second of preference outweighs between two near-equal ones.
	preferenceLoad = 10.0
)

// twoOfNear takes two random ones of the candidates near the best and keeps
// the one with the lower burden.
//
// Failure: many owners hold the same stale digests. Symptom: all take the one
// best target until its next digest. Two random choices among near-equal ones
// suffice, since each owner's source of randomness is its own.
type twoOfNear struct {
	random *rand.Rand
	close  []int // reused
}

func (p *twoOfNear) pick(q *query, cs []candidate) int {
	near := p.near(q, cs)
	a := near[p.random.IntN(len(near))]
	b := near[p.random.IntN(len(near))]
	if cs[b].burden() < cs[a].burden() {
		return b
	}
	return a
}

// near lists the candidates near the best; only those in time if any is.
func (p *twoOfNear) near(q *query, cs []candidate) []int {
	best, anyInTime := bestOf(q, cs)
	age := 0.0
	for i := range cs {
		age = max(age, cs[i].view.age)
	}
	bound := best + max(nearShare*best, nearFloor) + min(age*agePart, nearAgeMost)
	near := p.close[:0]
	for i := range cs {
		if anyInTime && !cs[i].inTime(q) {
			continue
		}
		if cs[i].cost <= bound {
			near = append(near, i)
		}
	}
	p.close = near
	return near
}

// bestOf is the least cost, among those in time if there are any.
func bestOf(q *query, cs []candidate) (best float64, anyInTime bool) {
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

// burden is the part of the target's places that is taken or waited for, and
// what speaks against the target at any load.
func (c *candidate) burden() float64 {
	taken := float64(c.view.inFlight+c.view.queued) / float64(c.view.limit)
	return taken + preferenceLoad*c.preference
}
