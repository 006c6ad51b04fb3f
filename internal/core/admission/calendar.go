package admission

import "time"

const (
	// interval is the unit of the calendar, horizon the time that it covers.
	interval = 250 * time.Millisecond
	horizon  = 6 * time.Second
	// promiseTTL is how long after its time a promise can still be taken: callers come back up
	// to a few hundred milliseconds late.
	promiseTTL = time.Second

	kept      = int(promiseTTL / interval)
	planned   = int(horizon / interval)
	intervals = kept + planned + 1
)

// Calendar holds the work that is promised to callers that were told to return, by the time of
// their return. The zero Calendar is ready for use.
type Calendar struct {
	origin time.Time
	// current is the index of the current interval since the origin.
	current int
	// promised is the promised work, in slot seconds, by index modulo its length.
	promised [intervals]float64
}

// Plan describes the room for returning requests.
type Plan struct {
	// Rate is the work a second that can be given to them.
	Rate float64
	// Busy is for how long that rate is taken by work that already waits.
	Busy time.Duration
}

// room returns the work that returning requests can be given in an interval.
func (p Plan) room(from, until time.Duration) float64 {
	return max(0, (until-max(from, p.Busy)).Seconds()) * p.Rate
}

// advance drops promises that nobody has taken in time.
func (c *Calendar) advance(now time.Time) {
	if c.origin.IsZero() {
		c.origin = now
	}
	index := int(now.Sub(c.origin) / interval)
	if index-c.current > intervals {
		clear(c.promised[:])
		c.current = index
	}
	for c.current < index {
		c.current++
		*c.at(c.current + planned) = 0
	}
}

func (c *Calendar) at(index int) *float64 {
	return &c.promised[((index%intervals)+intervals)%intervals]
}

// begins returns the time from now to the beginning of an interval.
func (c *Calendar) begins(now time.Time, index int) time.Duration {
	return c.origin.Add(time.Duration(index) * interval).Sub(now)
}

// Promise reserves the first room between two times from now, and returns when it begins.
// It returns false and reserves nothing if there is none. Work beyond the room of an interval
// is reserved in the following ones, since it occupies a slot for longer.
func (c *Calendar) Promise(now time.Time, work float64, earliest, latest time.Duration, plan Plan) (time.Duration, bool) {
	c.advance(now)
	for index := c.current; index <= c.current+planned; index++ {
		begins := c.begins(now, index)
		if begins > latest {
			break
		}
		room := plan.room(max(0, begins), begins+interval)
		taken := *c.at(index)
		if room <= 0 || taken >= room {
			continue
		}
		// Returns are spread inside the interval in the order of the promises.
		opens := max(0, begins, plan.Busy)
		at := opens + time.Duration(taken/room*float64(begins+interval-opens))
		if at < earliest {
			at = earliest
		}
		if at >= begins+interval || at > latest {
			continue
		}
		if c.available(now, index, work, plan) < work {
			return 0, false
		}
		c.reserve(now, index, work, plan)
		return at, true
	}
	return 0, false
}

// available returns the free room from an interval on, up to the work that is needed.
func (c *Calendar) available(now time.Time, index int, work float64, plan Plan) float64 {
	sum := 0.0
	for ; index <= c.current+planned && sum < work; index++ {
		sum += c.free(now, index, plan)
	}
	return sum
}

func (c *Calendar) free(now time.Time, index int, plan Plan) float64 {
	begins := c.begins(now, index)
	return max(0, plan.room(max(0, begins), begins+interval)-*c.at(index))
}

func (c *Calendar) reserve(now time.Time, index int, work float64, plan Plan) {
	for ; index <= c.current+planned && work > 0; index++ {
		part := min(work, c.free(now, index, plan))
		*c.at(index) += part
		work -= part
	}
}

// Take redeems a promise that is due, and reports whether there was one. A caller may return
// to another entry than the one that told it to, so promises are not bound to a request.
func (c *Calendar) Take(now time.Time, work float64) bool {
	c.advance(now)
	due := 0.0
	for index := c.current - kept; index <= c.current; index++ {
		due += *c.at(index)
	}
	if due <= 0 {
		return false
	}
	for index := c.current - kept; index <= c.current+planned && work > 0; index++ {
		part := min(work, *c.at(index))
		*c.at(index) -= part
		work -= part
	}
	return true
}

// Promised returns the work promised to callers that have not returned yet.
func (c *Calendar) Promised(now time.Time) float64 {
	c.advance(now)
	sum := 0.0
	for _, work := range c.promised {
		sum += work
	}
	return sum
}
