package routing

// zonePenalty is what a target in another zone costs, in seconds: the travel,
// and a little more, so that a near-equal target nearby is preferred.
const zonePenalty = 0.004

// zoneScorer prefers the owner's own zone.
type zoneScorer struct{}

func (zoneScorer) score(q *query, c *candidate) {
	if c.target.zone != q.zone {
		c.preference += zonePenalty
	}
}
