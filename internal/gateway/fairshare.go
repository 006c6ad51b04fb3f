package gateway

import (
	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/fairshare"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/eventlog"
)

// shares is what a configuration says of sharing contended targets between organisations. A
// nil value means that they are not shared: by the settings, or because fewer than two
// organisations have a quota.
type shares struct {
	// weights are the rates of quotas, relative to the mean of those in the same unit of cost:
	// rates in tokens and in requests cannot be compared.
	weights map[string]float64
	// lowest is the lowest priority that an organisation has. byRoute means that the requests
	// of some have the priority of their route.
	lowest  int
	byRoute bool
}

func newShares(configuration *catalog.Configuration) *shares {
	var sum [2]float64
	var count [2]int
	for _, o := range configuration.Organisations {
		if o.Rate > 0 {
			sum[unitOf(&o)] += o.Rate
			count[unitOf(&o)]++
		}
	}
	if count[0]+count[1] < 2 {
		return nil
	}
	s := &shares{weights: make(map[string]float64)}
	for _, o := range configuration.Organisations {
		if o.Rate > 0 {
			unit := unitOf(&o)
			s.weights[o.Name] = o.Rate * float64(count[unit]) / sum[unit]
		}
		if o.Priority == nil {
			s.byRoute = true
		} else {
			s.lowest = max(s.lowest, *o.Priority)
		}
	}
	for i := range configuration.Routes {
		s.byRoute = s.byRoute || configuration.Routes[i].Public
	}
	return s
}

// unitOf returns the index of the unit in which an organisation's rate is counted.
func unitOf(o *catalog.Organisation) int {
	if o.CountsTokens {
		return 1
	}
	return 0
}

// weight returns the weight of an organisation; those without a quota have the mean of the
// others.
func (s *shares) weight(organisation string) float64 {
	if s == nil {
		return 0
	}
	if weight, found := s.weights[organisation]; found {
		return weight
	}
	return 1
}

// excessPriority returns the priority of requests beyond their organisation's pace. Where
// others have the priority of their route, it is also no higher than that of the next rank.
func (s *shares) excessPriority(rank int) int {
	if s.byRoute {
		return max(s.lowest, rank+1)
	}
	return s.lowest
}

// setShares derives the shares from a configuration.
func (g *Gateway) setShares(configuration *catalog.Configuration) {
	if g.settings.Load.FairShare {
		g.shares.Store(newShares(configuration))
	}
}

// classify marks the request if it is beyond its organisation's pace.
func (c *call) classify(used quota.Result, profile fairshare.Profile) {
	if !profile.Excess {
		return
	}
	c.excess = true
	c.gateway.counters.excess.add(c.service)
	c.gateway.log.Write(eventlog.Routine, eventExcess, eventlog.Fields{
		"id": c.envelope.ID, "organisation": c.organisation, "rank": c.route.Priority, "cost": c.cost,
		"demand": int64(profile.Demand), "pace": int64(profile.Pace), "used": int64(used.Used), "limit": int64(used.Limit),
	})
}
