package routing

// zonePenalty is the cost in seconds of a target in another zone: the network delay and
// a little more, so that a near-equal target in the own zone is preferred.
const zonePenalty = 0.004

// zoneScorer prefers targets in the owner's zone.
type zoneScorer struct{}

func (zoneScorer) score(q *query, c *candidate) {
	if c.target.zone != q.zone {
		c.preference += zonePenalty
	}
}
