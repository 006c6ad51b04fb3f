package gateway

import (
	"time"

	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/settings"
)

const (
	// lingerShare is the share of the grace period during which a stopping entry keeps its
	// listener open: callers keep a list of entries for some seconds, and their open
	// connections are closed with the next answer.
	lingerShare = 0.4
	// acceptAllShare is the share of the grace period during which a stopping entry accepts
	// every request; afterwards it accepts only requests that expire before the process ends.
	// Callers with an old list send for up to three seconds, and some later on a connection
	// that is still open: a stream accepted then would be aborted at the end of the grace
	// period, although its caller could have gone to another entry at once.
	acceptAllShare = 0.3
	// passOnShare is the share of the grace period during which a stopping entry passes on every request
	// that it has accepted. Afterwards it refuses those that wait and may outlast the process: a run that begins so
	// late would be cut, and so would a request that still waits at the end.
	passOnShare = 0.6
	// endShare is the share of the grace period after which the process ends whatever still
	// runs.
	endShare   = 0.9
	drainCheck = 20 * time.Millisecond
	// finalReplyTime is the time for replies to requests that arrive after the last running
	// request has ended: they are refused as not run. Without it the process could end just
	// after it had read a request, and the caller would see the connection close without an
	// answer.
	finalReplyTime = 100 * time.Millisecond
)

// shutdownTimes holds the deadlines of a shutdown.
type shutdownTimes struct {
	// acceptAllUntil is the time until which every request is accepted, passOnUntil the time until which every
	// accepted one is passed on, end the time at which running requests are aborted.
	acceptAllUntil, passOnUntil, end time.Time
}

func newShutdownTimes(began time.Time, grace time.Duration) *shutdownTimes {
	return &shutdownTimes{
		acceptAllUntil: began.Add(fraction(grace, acceptAllShare)),
		passOnUntil:    began.Add(fraction(grace, passOnShare)),
		end:            began.Add(fraction(grace, endShare)),
	}
}

// accepts reports whether a request that expires at a time may still be accepted.
func (s *shutdownTimes) accepts(now, expires time.Time) bool {
	return s == nil || now.Before(s.acceptAllUntil) || expires.Before(s.end)
}

// passesOn reports whether an accepted request that expires at a time may still be passed on.
func (s *shutdownTimes) passesOn(now, expires time.Time) bool {
	return s == nil || now.Before(s.passOnUntil) || expires.Before(s.end)
}

// acceptInStop returns the reply to a request that a stopping entry does not take, or nil. The time of one that it
// takes ends with the entry, so that the caller gets an answer.
func (c *call) acceptInStop(now time.Time) *reply {
	shutdown := c.gateway.shutdown.Load()
	if !shutdown.accepts(now, c.expires) {
		return entryStopping
	}
	if shutdown != nil && shutdown.end.Before(c.expires) {
		c.expires = shutdown.end
	}
	return nil
}

// endsWithStop reports whether the stop of this entry has ended the request's time.
func (c *call) endsWithStop() bool {
	shutdown := c.gateway.shutdown.Load()
	return shutdown != nil && !c.expires.Before(shutdown.end)
}

// mayPassOn reports whether a stop of the entry allows that the request is passed on now. A stream that has begun
// goes on until the end.
func (c *call) mayPassOn() bool {
	return c.events > 0 || c.gateway.shutdown.Load().passesOn(time.Now(), c.expires)
}

// drain stops the entry in stages: it announces the departure to callers and the other
// entries, still accepts requests while callers have old lists, closes the listeners, and
// waits for running requests.
func (g *Gateway) drain(servers []*server) {
	began := time.Now()
	grace := settings.Seconds(g.settings.Bounds.GraceS)
	shutdown := newShutdownTimes(began, grace)
	g.shutdown.Store(shutdown)
	g.draining.Store(true)
	time.AfterFunc(time.Until(shutdown.passOnUntil), func() { close(g.lateInStop) })
	g.log.Write(eventlog.StateChange, eventDrain, eventlog.Fields{"running": g.running.Load(), "grace_ms": grace.Milliseconds()})
	g.links.announce()
	linger := began.Add(fraction(grace, lingerShare))
	time.Sleep(time.Until(linger))
	for _, s := range servers {
		if s.name == "callers" {
			_ = s.listener.Close()
		}
	}
	for g.running.Load() > 0 && time.Now().Before(shutdown.end) {
		time.Sleep(drainCheck)
	}
	g.shutdown.Store(&shutdownTimes{})
	time.Sleep(finalReplyTime)
	for _, s := range servers {
		_ = s.listener.Close()
	}
	_ = g.links.conn.Close()
}
