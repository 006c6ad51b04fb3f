// Package admission decides at the door which requests a contended pool accepts, and tells the
// callers of the others when to return.
//
// Ranks are closed from the least urgent one, while the forecast wait of a rank exceeds its
// objective, and opened in reverse. Callers that are refused get a time at which there is room
// for them. Time is an argument, so decisions can be replayed.
package admission

import (
	"math"
	"time"

	"sycamoretrail/internal/core/poolview"
)

const (
	// closeAfter and openAfter are how long a forecast must be beyond a threshold: a queue of
	// a few requests lasts tens of milliseconds, a burst seconds.
	closeAfter = 100 * time.Millisecond
	openAfter  = 200 * time.Millisecond
	// minClosed is how long a rank stays closed at least: bursts last seconds, and arrivals vary
	// by a third between tenths of a second.
	minClosed = time.Second
	// stepPause is the least time between two changes of the level.
	stepPause = 100 * time.Millisecond
	// openShare is the part of the objective below which the forecast must be to open a rank.
	openShare = 0.5
	// openLoad is the load from which a rank's queue is assumed to grow once it is open. In a
	// small cell the arrivals of 200 ms vary by a fifth: at 1, ranks are often opened and closed
	// again within one burst.
	openLoad = 0.9
	// fitShare is the part of the objective up to which requests of a closed rank are admitted
	// as if it were open. It is well below openShare, so that the queue can get short enough to
	// open the rank soon after a burst.
	fitShare = 0.25
	// maxAge is the age of reports from which the view is replaced by the entry's own figures.
	// Entries repeat their report every second if nothing changes, so a shorter limit would
	// drop the view whenever one entry of the cell is idle.
	maxAge = 1500 * time.Millisecond
	// minRetryAfter is the least time after which a caller is told to return.
	minRetryAfter = 200 * time.Millisecond
	// returnSpread is the time over which callers are spread that get no promise. It is short,
	// since earlier returns meet more of the overload.
	returnSpread = 50 * time.Millisecond
	// maxWaitShare is the part of its remaining time for which a caller waits before it
	// returns, whatever it was told.
	maxWaitShare = 1.0 / 3
	// inUseFor is how long a rank counts as in use after its last request.
	inUseFor = 5 * time.Second
	// maxLoad bounds the load of higher ranks in a forecast, so that a small queue at full load
	// is not an endless wait.
	maxLoad = 0.9
)

// Request is a request at the door.
type Request struct {
	Rank int
	// Work is in slot seconds at a target of mean speed.
	Work float64
	// Objective is how long it can wait and still be in time, Patience how long it may stay in
	// the queue, Left the time until its caller stops waiting.
	Objective, Patience, Left time.Duration
	// Returned: its caller was refused before and has come back.
	Returned bool
}

// Reason states why a request was admitted or refused.
type Reason string

// The reasons of decisions.
const (
	ReasonOpen     Reason = "open"
	ReasonFits     Reason = "fits"
	ReasonProbe    Reason = "probe"
	ReasonPromised Reason = "promised"
	ReasonReturned Reason = "returned"
	ReasonClosed   Reason = "closed"
)

// Decision is the decision on a request.
type Decision struct {
	Admit bool
	// Closed is the number of closed ranks, Forecast the estimated wait of the request's rank.
	Closed   int
	Forecast time.Duration
	// RetryAfter is when a refused caller should return; Promised: there will be room then.
	RetryAfter time.Duration
	Promised   bool
	Reason     Reason
}

// Change is a change of the number of closed ranks.
type Change struct {
	// Rank is the rank that was closed or opened, Closed the number of closed ranks since.
	Rank, Closed int
	Forecast     time.Duration
	View         poolview.View
}

// Controller decides on the requests of one pool at one entry. The zero Controller is ready
// for use.
type Controller struct {
	// MaxClosed is the largest number of ranks that are closed at once; 0 means all.
	MaxClosed int

	ranks [poolview.Ranks]rankState
	// closed is the number of closed ranks of those in use.
	closed int
	// over is since when an open rank is over its objective, changed when the level changed.
	over, changed time.Time
	observed      time.Time
	rate          recentRate
	capacity      smoothed
	calendar      Calendar
	promises      int64
	// spreadAt is the position of the last caller in the spread of returns.
	spreadAt  float64
	forecasts [poolview.Ranks]time.Duration
	view      poolview.View
}

// rankState is what is known of a rank.
type rankState struct {
	objective, work mean
	// lastSeen is when the last request of the rank arrived; zero: none did.
	lastSeen time.Time
	// closedAt is when the rank was last closed.
	closedAt time.Time
	closed   bool
	// under is for how long the rank could have been opened.
	under  time.Duration
	probes probes
}

// mean is an exponentially weighted mean that starts as an arithmetic mean.
type mean struct {
	value   float64
	samples int
}

// meanWindow is the number of requests that a mean covers.
const meanWindow = 50

func (m *mean) add(sample float64) {
	m.samples = min(m.samples+1, meanWindow)
	m.value += (sample - m.value) / float64(m.samples)
}

// Closed returns the number of closed ranks.
func (c *Controller) Closed() int { return c.closed }

// Observed returns when the level was last updated.
func (c *Controller) Observed() time.Time { return c.observed }

// Promises returns the number of callers that were promised room at a time.
func (c *Controller) Promises() int64 { return c.promises }

// Observe updates the level from the view and returns its change, if any.
func (c *Controller) Observe(now time.Time, view poolview.View) (Change, bool) {
	gap := now.Sub(c.observed)
	c.observed = now
	c.view = effective(view)
	c.view.Capacity = c.capacity.smooth(c.view, gap)
	c.rate.observe(now, c.view)
	if c.view.Capacity <= 0 {
		return c.openAll()
	}
	for rank := range c.ranks {
		c.forecasts[rank] = c.forecast(rank)
	}
	c.observeThresholds(now, gap)
	if now.Sub(c.changed) < stepPause {
		return Change{}, false
	}
	if c.mayClose() && !c.over.IsZero() && now.Sub(c.over) >= closeAfter {
		return c.close(now)
	}
	return c.open(now)
}

// effective returns the view, or the entry's own part of it if the reports are too old.
func effective(view poolview.View) poolview.View {
	view.Size = max(1, view.Size, view.Entries)
	if view.Age > maxAge {
		view.Capacity /= float64(view.Size)
		view.Arriving, view.Backlog = view.Own.Arriving, view.Own.Backlog
		view.Size, view.Entries = 1, 1
	}
	return view
}

// Reset opens all ranks and forgets all promises.
func (c *Controller) Reset() (Change, bool) {
	change, changed := c.openAll()
	*c = Controller{MaxClosed: c.MaxClosed, promises: c.promises}
	return change, changed
}

// openAll opens all ranks, since without a capacity no forecast is possible.
func (c *Controller) openAll() (Change, bool) {
	changed := c.closed > 0
	for rank := range c.ranks {
		c.ranks[rank].closed = false
		c.ranks[rank].under = 0
	}
	c.closed, c.over = 0, time.Time{}
	clear(c.forecasts[:])
	return Change{View: c.view}, changed
}

// Decide decides on a request at the door, after Observe.
func (c *Controller) Decide(now time.Time, request Request) Decision {
	rank := poolview.RankOf(request.Rank)
	state := &c.ranks[rank]
	state.lastSeen = now
	state.objective.add(float64(request.Objective))
	state.work.add(request.Work)
	decision := Decision{Admit: true, Closed: c.closed, Forecast: c.forecasts[rank], Reason: ReasonOpen}
	switch {
	case request.Returned && c.calendar.Take(now, request.Work):
		decision.Reason = ReasonPromised
	case !c.isClosed(rank):
	case c.fits(rank):
		decision.Reason = ReasonFits
	case request.Returned && decision.Forecast <= request.Patience:
		decision.Reason = ReasonReturned
	case !request.Returned && state.probes.next(request.Work, state.work.value):
		decision.Reason = ReasonProbe
	default:
		decision.Admit, decision.Reason = false, ReasonClosed
		decision.RetryAfter, decision.Promised = c.Return(now, request)
	}
	return decision
}

// fits reports whether the queue is so short that a request of a closed rank is served in time,
// and no more urgent closed rank has requests that would not be. Otherwise slots would be idle
// while the callers of a closed rank wait to return.
func (c *Controller) fits(rank int) bool {
	for i := range rank + 1 {
		if c.ranks[i].closed && c.forecasts[rank] >= time.Duration(fitShare*float64(c.objective(i))) {
			return false
		}
	}
	return true
}

// isClosed reports whether a rank or a more urgent one is closed.
func (c *Controller) isClosed(rank int) bool {
	for i := range rank + 1 {
		if c.ranks[i].closed {
			return true
		}
	}
	return false
}

// Return returns when a refused caller should come back, and whether room is reserved for it.
// A caller that has come back before does not do so again, so nothing is reserved for it.
func (c *Controller) Return(now time.Time, request Request) (time.Duration, bool) {
	latest := max(minRetryAfter, min(horizon, time.Duration(maxWaitShare*float64(request.Left))))
	if request.Returned || c.view.Capacity <= 0 {
		return c.spread(latest), false
	}
	if at, found := c.calendar.Promise(now, request.Work, minRetryAfter, latest, c.plan(request.Rank)); found {
		c.promises++
		return at, true
	}
	return c.spread(latest), false
}

// spread returns the latest time, less a part of returnSpread that differs between callers, so
// that those refused at the same time do not return at the same time.
func (c *Controller) spread(latest time.Duration) time.Duration {
	// Multiples of the golden ratio divide it evenly for any number of callers.
	_, c.spreadAt = math.Modf(c.spreadAt + math.Phi)
	return latest - time.Duration(c.spreadAt*float64(min(returnSpread, latest-minRetryAfter)))
}

// plan returns the room for returning requests of a rank at this entry. New requests of the
// rank itself take room, too: callers that came back to what these leave in a burst, after
// 200 ms and not after a third of their time, were refused again more often.
func (c *Controller) plan(rank int) Plan {
	rank = poolview.RankOf(rank)
	free := c.view.Capacity - c.rate.recent.UpTo(rank)
	if free <= 0 {
		return Plan{}
	}
	return Plan{Rate: free / float64(c.view.Size), Busy: seconds(c.view.Backlog.UpTo(rank) / free)}
}

// seconds converts to a duration, bounded by an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}
