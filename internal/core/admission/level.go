package admission

import (
	"time"

	"sycamoretrail/internal/core/poolview"
)

// forecast returns the estimated wait of a new request of a rank: the time to serve what
// waits before it and what arrives before it meanwhile.
func (c *Controller) forecast(rank int) time.Duration {
	return seconds(c.view.Backlog.UpTo(rank) / c.left(rank))
}

// left returns the capacity that higher ranks leave to a rank, in a forecast.
func (c *Controller) left(rank int) float64 {
	load := 0.0
	if rank > 0 {
		// The mean rate outlasts a burst and the recent one is noisy: the lower of them does
		// not close a rank without cause.
		load = min(c.rate.mean.UpTo(rank-1), c.rate.recent.UpTo(rank-1)) / c.view.Capacity
	}
	return c.view.Capacity * (1 - min(maxLoad, load))
}

// forecastOpen returns the forecast of a closed rank after it has been open for the time of its
// objective. Without that, a rank would be opened whenever its queue is short, and closed again
// soon.
func (c *Controller) forecastOpen(rank int) time.Duration {
	growth := max(0, c.rate.recent.UpTo(rank)-openLoad*c.view.Capacity) * c.objective(rank).Seconds()
	return seconds((c.view.Backlog.UpTo(rank) + growth) / c.left(rank))
}

func (c *Controller) objective(rank int) time.Duration {
	return time.Duration(c.ranks[rank].objective.value)
}

// observeThresholds updates since when forecasts are beyond their thresholds.
func (c *Controller) observeThresholds(now time.Time, gap time.Duration) {
	over := false
	for rank := range c.ranks {
		state := &c.ranks[rank]
		if !c.inUse(now, rank) {
			continue
		}
		if !state.closed {
			over = over || c.forecasts[rank] > c.objective(rank)
			continue
		}
		// A few arrivals at once do not start the time anew: it is counted back.
		step := min(gap, openAfter)
		if c.forecastOpen(rank) >= time.Duration(openShare*float64(c.objective(rank))) {
			step = -step
		}
		state.under = max(0, min(openAfter, state.under+step))
	}
	switch {
	case !over:
		c.over = time.Time{}
	case c.over.IsZero(), gap > closeAfter:
		// Whether the forecast has lasted is not known after a pause.
		c.over = now
	}
}

func (c *Controller) inUse(now time.Time, rank int) bool {
	seen := c.ranks[rank].lastSeen
	return !seen.IsZero() && now.Sub(seen) <= inUseFor
}

// mayClose reports whether one more rank may be closed.
func (c *Controller) mayClose() bool { return c.MaxClosed == 0 || c.closed < c.MaxClosed }

// close closes the least urgent open rank.
func (c *Controller) close(now time.Time) (Change, bool) {
	for rank := poolview.Ranks - 1; rank >= 0; rank-- {
		if c.inUse(now, rank) && !c.ranks[rank].closed {
			return c.set(now, rank, true), true
		}
	}
	return Change{}, false
}

// open opens the most urgent closed rank if its forecast allows it. Ranks that are no longer in
// use are opened at once.
func (c *Controller) open(now time.Time) (Change, bool) {
	for rank := range c.ranks {
		state := &c.ranks[rank]
		if !state.closed {
			continue
		}
		if !c.inUse(now, rank) || state.under >= openAfter && now.Sub(state.closedAt) >= minClosed {
			return c.set(now, rank, false), true
		}
		return Change{}, false
	}
	return Change{}, false
}

func (c *Controller) set(now time.Time, rank int, closed bool) Change {
	c.ranks[rank].closed = closed
	c.ranks[rank].under = 0
	c.changed = now
	if closed {
		c.ranks[rank].closedAt = now
	}
	c.closed = 0
	for i := range c.ranks {
		if c.ranks[i].closed {
			c.closed++
		}
	}
	return Change{Rank: rank, Closed: c.closed, Forecast: c.forecasts[rank], View: c.view}
}
