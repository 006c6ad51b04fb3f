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
	// demandWindow is the time over which demand is averaged, sparseWindow that for
	// organisations with fewer than minRequests in it. With fewer in both, demand is not known
	// well enough: an entry of a large fleet receives a request of a small organisation every
	// ten seconds, and a single one would count as one a second at each entry.
	demandWindow = time.Second
	sparseWindow = 4 * time.Second
	minRequests  = 4
	// contendedShare is the share of its limit up to which an organisation is within its pace
	// whatever its demand.
	contendedShare = 0.5
	// evenPart is the part of its even share of the pace that each rank keeps, so that no rank
	// is starved.
	evenPart = 0.25
	// bucketTime is the time for which unused pace of a rank is kept, at least a
	// mean request: in a large fleet an entry receives few requests of one organisation.
	bucketTime = 250 * time.Millisecond
	// startTokens is the part of a mean request that is available to each rank at first.
	startTokens = 0.5
	// neededShare is the part of its cost, or of the mean cost of its rank if that is less, that
	// must be available for a request to fit. Smaller requests fit sooner, and the largest
	// need no more than those of mean size, so that they are not starved.
	neededShare = 0.5
	// idleTimeout is the time without requests after which an organisation is forgotten: its
	// measured demand has fallen to less than a hundredth.
	idleTimeout = 20 * time.Second
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
	// Demand is what the organisation requests, Pace what it may use, both over all entries and
	// in units of cost a second. Pace is 0 where it was not needed for the decision.
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

// demand is the recent demand of an organisation at this entry.
type demand struct {
	at           time.Time
	recent, long meter
	// tokens is the part of the pace that is available to each rank. It is negative after a
	// large request.
	tokens [poolview.Ranks]float64
	// exceeding means that the pace was exceeded at the last request.
	exceeding bool
}

// meter measures the requests of an organisation by rank: their cost and their number, both
// per second.
type meter struct{ cost, requests [poolview.Ranks]float64 }

// NewPolicer returns a policer for quotas over a sliding window.
func NewPolicer(window time.Duration) *Policer {
	return &Policer{window: window, demands: make(map[string]*demand), sweepAt: minSweep}
}

// SetWindow replaces the window of the quotas.
func (p *Policer) SetWindow(window time.Duration) { p.window = window }

// Classify counts a request and reports whether it is within its organisation's pace. A
// policer that has just started knows no demand yet and marks nothing.
func (p *Policer) Classify(now time.Time, request Demand) Profile {
	if p.started.IsZero() || now.Before(p.started) {
		p.started = now
	}
	rank := poolview.RankOf(request.Rank)
	d := p.demandOf(now, request.Organisation)
	elapsed := d.advance(now)
	d.recent.add(rank, request.Cost, demandWindow)
	d.long.add(rank, request.Cost, sparseWindow)

	measured, known := d.measured()
	entries := float64(max(1, request.Entries))
	profile := Profile{Demand: total(measured.cost) * entries}
	if request.Used <= contendedShare*request.Limit || now.Sub(p.started) < demandWindow || !known {
		d.exceeding = false
		return profile
	}
	profile.Pace = p.pace(request)
	if profile.Demand <= profile.Pace {
		d.exceeding = false
		return profile
	}
	shares := divide(profile.Pace/entries, measured.cost)
	d.fill(measured, shares, elapsed)
	profile.Excess = shares[rank] < measured.cost[rank] && !d.take(measured, rank, request.Cost)
	return profile
}

// measured returns the demand over the shortest window with enough requests, and whether there
// is one.
func (d *demand) measured() (*meter, bool) {
	if total(d.recent.requests)*demandWindow.Seconds() >= minRequests {
		return &d.recent, true
	}
	return &d.long, total(d.long.requests)*sparseWindow.Seconds() >= minRequests
}

// fill adds each rank's share of the pace for a time, up to a limit.
func (d *demand) fill(measured *meter, shares [poolview.Ranks]float64, elapsed time.Duration) {
	for r, share := range shares {
		if !d.exceeding {
			d.tokens[r] = startTokens * measured.meanCost(r)
			continue
		}
		limit := max(share*bucketTime.Seconds(), measured.meanCost(r))
		d.tokens[r] = min(limit, d.tokens[r]+share*elapsed.Seconds())
	}
	d.exceeding = true
}

// take takes the cost of a request from its rank's tokens, if it fits.
func (d *demand) take(measured *meter, rank int, cost float64) bool {
	if d.tokens[rank] < neededShare*min(cost, measured.meanCost(rank)) {
		return false
	}
	d.tokens[rank] -= cost
	return true
}

func (m *meter) add(rank int, cost float64, window time.Duration) {
	m.cost[rank] += cost / window.Seconds()
	m.requests[rank] += 1 / window.Seconds()
}

func (m *meter) decay(elapsed, window time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / window.Seconds())
	for r := range m.cost {
		m.cost[r] *= factor
		m.requests[r] *= factor
	}
}

// meanCost returns the mean cost of the recent requests of a rank.
func (m *meter) meanCost(rank int) float64 {
	if m.requests[rank] == 0 {
		return 0
	}
	return m.cost[rank] / m.requests[rank]
}

func total(rates [poolview.Ranks]float64) float64 {
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	return sum
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
	even := pace / total(demand)
	shares := demand
	for r := range shares {
		shares[r] = demand[r] * even * evenPart
	}
	rest := pace - total(shares)
	for r := range shares {
		more := demand[r] - shares[r]
		if more <= rest {
			// Adding more could round to less than the demand, which then counts as beyond the pace.
			shares[r] = demand[r]
			rest -= more
			continue
		}
		shares[r] += rest
		rest = 0
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
	d.at = now
	if elapsed <= 0 {
		// After a step back of the clock, demand must not wait for the earlier time to decay.
		return 0
	}
	d.recent.decay(elapsed, demandWindow)
	d.long.decay(elapsed, sparseWindow)
	return elapsed
}

// Size returns the number of organisations whose demand is known.
func (p *Policer) Size() int { return len(p.demands) }
