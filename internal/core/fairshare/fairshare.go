// Package fairshare shares contended targets between organisations. A Policer decides which
// requests of an organisation are within its pace; Tags order the requests of several
// organisations by weight.
//
// Time is passed as an argument. Neither type is safe for concurrent use.
package fairshare

import (
	"math"
	"time"

	"sycamoretrail/internal/core/poolview"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = time.Second
	// contendedShare is the share of its limit up to which an organisation is within its pace
	// whatever its demand.
	contendedShare = 0.5
	// evenPart is the part of its even share of the pace that each rank keeps, so that no rank
	// is starved.
	evenPart = 0.25
	// bucketTime is the time for which unused pace of a rank is kept.
	bucketTime = 250 * time.Millisecond
	// largeWork is the multiple of the mean cost of a rank from which a request needs no more
	// of the pace to be available than that. Otherwise the largest requests would never fit.
	largeWork = 2
	// idleTimeout is the time without requests after which an organisation is forgotten: its
	// measured demand has fallen to less than a thousandth.
	idleTimeout = 8 * time.Second
	// minSweep is the smallest number of organisations at which idle ones are looked for.
	minSweep = 64
)

// Demand describes a request that is within its organisation's quota.
type Demand struct {
	Organisation string
	// Rank is that of the request's route, Cost counts against the quota.
	Rank int
	Cost float64
	// Entries is the number of entries that share the quota.
	Entries int
	// Used is the organisation's usage of the quota's window over all entries, Limit its bound.
	Used, Limit float64
}

// Profile is the result of comparing a request with its organisation's pace.
type Profile struct {
	// Excess means that the request does not fit into the pace.
	Excess bool
	// Demand and Pace are those of the organisation over all entries, in units of cost a
	// second. Pace is 0 where it was not needed for the decision.
	Demand, Pace float64
}

// Policer measures the demand of organisations at one entry and marks what exceeds their pace.
type Policer struct {
	window  time.Duration
	started time.Time
	demands map[string]*demand
	// sweepAt is the number of organisations at which idle ones are removed.
	sweepAt int
}

// demand is the recent demand of an organisation at this entry, by rank.
type demand struct {
	at time.Time
	// cost and requests are rates per second.
	cost, requests [poolview.Ranks]float64
	// tokens is the part of the pace that is available to each rank. It is negative after a
	// large request.
	tokens [poolview.Ranks]float64
	// exceeding means that the pace was exceeded at the last request.
	exceeding bool
}

// NewPolicer returns a policer for quotas over a sliding window.
func NewPolicer(window time.Duration) *Policer {
	return &Policer{window: window, demands: make(map[string]*demand), sweepAt: minSweep}
}

// SetWindow replaces the window of the quotas.
func (p *Policer) SetWindow(window time.Duration) { p.window = window }

// Classify counts a request and reports whether it is within its organisation's pace. A
// policer that has just started knows no demand yet and marks nothing.
func (p *Policer) Classify(now time.Time, request Demand) Profile {
	if p.started.IsZero() {
		p.started = now
	}
	rank := poolview.RankOf(request.Rank)
	d := p.demandOf(now, request.Organisation)
	elapsed := d.advance(now)
	d.cost[rank] += request.Cost / demandWindow.Seconds()
	d.requests[rank] += 1 / demandWindow.Seconds()

	entries := float64(max(1, request.Entries))
	total := 0.0
	for _, rate := range d.cost {
		total += rate
	}
	profile := Profile{Demand: total * entries}
	if request.Used <= contendedShare*request.Limit || now.Sub(p.started) < demandWindow {
		d.exceeding = false
		return profile
	}
	profile.Pace = p.pace(request)
	if profile.Demand <= profile.Pace {
		d.exceeding = false
		return profile
	}
	shares := divide(profile.Pace/entries, d.cost)
	d.fill(shares, elapsed)
	profile.Excess = shares[rank] < d.cost[rank] && !d.take(rank, request.Cost)
	return profile
}

// fill adds each rank's share of the pace for a time, up to a limit.
func (d *demand) fill(shares [poolview.Ranks]float64, elapsed time.Duration) {
	for r, share := range shares {
		limit := max(share*bucketTime.Seconds(), 2*largeWork*d.meanCost(r))
		if !d.exceeding {
			d.tokens[r] = limit
		}
		d.tokens[r] = min(limit, d.tokens[r]+share*elapsed.Seconds())
	}
	d.exceeding = true
}

// take takes the cost of a request from its rank's tokens, if it fits.
func (d *demand) take(rank int, cost float64) bool {
	if d.tokens[rank] < min(cost, largeWork*d.meanCost(rank)) {
		return false
	}
	d.tokens[rank] -= cost
	return true
}

// meanCost returns the mean cost of the recent requests of a rank.
func (d *demand) meanCost(rank int) float64 {
	if d.requests[rank] == 0 {
		return 0
	}
	return d.cost[rank] / d.requests[rank]
}

// pace returns the cost a second that an organisation may use: what is left of its limit,
// spread over half a window, and what leaves the window meanwhile.
func (p *Policer) pace(request Demand) float64 {
	window := p.window.Seconds()
	return max(0, request.Limit-request.Used)/(window/2) + request.Used/window
}

// divide divides a pace that is below the demand among the ranks: each keeps evenPart of its
// even share, and the rest is given in the order of ranks.
func divide(pace float64, demand [poolview.Ranks]float64) [poolview.Ranks]float64 {
	total := 0.0
	for _, rate := range demand {
		total += rate
	}
	shares := demand
	rest := pace
	for r := range shares {
		shares[r] = demand[r] * pace / total * evenPart
		rest -= shares[r]
	}
	for r := range shares {
		more := min(rest, demand[r]-shares[r])
		shares[r] += more
		rest -= more
	}
	return shares
}

func (p *Policer) demandOf(now time.Time, organisation string) *demand {
	d, found := p.demands[organisation]
	if found {
		return d
	}
	if len(p.demands) >= p.sweepAt {
		for name, each := range p.demands {
			if now.Sub(each.at) > idleTimeout {
				delete(p.demands, name)
			}
		}
		p.sweepAt = max(minSweep, 2*len(p.demands))
	}
	d = &demand{at: now}
	p.demands[organisation] = d
	return d
}

// advance applies the time since the last request and returns it.
func (d *demand) advance(now time.Time) time.Duration {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return 0
	}
	d.at = now
	factor := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	for r := range d.cost {
		d.cost[r] *= factor
		d.requests[r] *= factor
	}
	return elapsed
}
