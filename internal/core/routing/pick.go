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
	// preferenceLoad is the part of the limit that a second of preference takes
	// from a target's room.
	preferenceLoad = 10.0
	// leastRoom is the part of its limit that a full target still counts for.
	leastRoom = 0.02
)

// nearByRoom takes a random one of the candidates near the best, each with a
// chance in proportion to its free places.
//
// Failure: many owners hold the same stale digests. Symptom: all take the one
// best target until its next digest. Chances in proportion to room suffice:
// together the owners fill each target by the room it had, however many they are.
type nearByRoom struct {
	random *rand.Rand
	close  []int // reused
}

func (p *nearByRoom) pick(q *query, cs []candidate) int {
	near := p.near(q, cs)
	total := 0.0
	for _, i := range near {
		total += cs[i].room()
	}
	at := p.random.Float64() * total
	for _, i := range near {
		at -= cs[i].room()
		if at < 0 {
			return i
		}
	}
	return near[len(near)-1]
}

// room is the free places, less what speaks against the target at any load.
func (c *candidate) room() float64 {
	free := 1 - c.view.loaded() - preferenceLoad*c.preference
	return float64(c.view.limit) * max(free, leastRoom)
}

// near lists the candidates near the best; only those in time if any is.
func (p *nearByRoom) near(q *query, cs []candidate) []int {
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
