package gateway

import (
	"time"

	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/settings"
)

const (
	// lingerShare is the part of the grace during which an entry that stops still
	// takes requests: callers keep a list of entries for some seconds, and their
	// open connections are told to close with the next answer.
	lingerShare = 0.4
	// takeShare is the part of the grace during which it takes whatever comes; then only
	// what is over before the process ends. Callers with an old list send for up to three
	// seconds, and some on a connection that is still open later: a stream taken then was
	// cut when the grace ran out, though its caller could have gone elsewhere at once.
	takeShare = 0.3
	// lastShare is the part of the grace after which the process ends whatever runs.
	lastShare  = 0.9
	drainCheck = 20 * time.Millisecond
	// lastAnswers is the time for the answers to requests that come when nothing runs any
	// more: they are refused as not run. Without it the process ended while it had just
	// taken one, and its caller saw the connection close without an answer.
	lastAnswers = 100 * time.Millisecond
)

// stopping is the time that an entry has left from the order to stop.
type stopping struct {
	// takesAll is until when it takes whatever comes, last when it ends what still runs.
	takesAll, last time.Time
}

func newStopping(began time.Time, grace time.Duration) *stopping {
	return &stopping{
		takesAll: began.Add(part(grace, takeShare)),
		last:     began.Add(part(grace, lastShare)),
	}
}

// takes reports whether a request that ends by a time may still be taken.
func (s *stopping) takes(now, expires time.Time) bool {
	return s == nil || now.Before(s.takesAll) || expires.Before(s.last)
}

// drain stops in stages: callers and the other entries hear that this entry is
// leaving, requests are still taken while callers hold old lists, then the
// listeners close and what runs is finished.
func (g *Gateway) drain(servers []*server) {
	began := time.Now()
	grace := settings.Seconds(g.settings.Bounds.GraceS)
	ending := newStopping(began, grace)
	g.ending.Store(ending)
	g.draining.Store(true)
	g.log.Write(eventlog.Belief, eventDrain, eventlog.Fields{"running": g.running.Load(), "grace_ms": grace.Milliseconds()})
	g.links.announce()
	linger := began.Add(part(grace, lingerShare))
	time.Sleep(time.Until(linger))
	for _, s := range servers {
		if s.name == "callers" {
			_ = s.listener.Close()
		}
	}
	for g.running.Load() > 0 && time.Now().Before(ending.last) {
		time.Sleep(drainCheck)
	}
	g.ending.Store(&stopping{})
	time.Sleep(lastAnswers)
	for _, s := range servers {
		_ = s.listener.Close()
	}
	_ = g.links.conn.Close()
}
