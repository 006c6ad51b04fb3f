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
	// lastShare is the part of the grace after which the process ends whatever runs.
	lastShare  = 0.9
	drainCheck = 20 * time.Millisecond
)

// drain stops in stages: callers and the other entries hear that this entry is
// leaving, requests are still taken while callers hold old lists, then the
// listeners close and what runs is finished.
func (g *Gateway) drain(servers []*server) {
	began := time.Now()
	grace := settings.Seconds(g.settings.Bounds.GraceS)
	g.draining.Store(true)
	g.log.Write(eventlog.Belief, eventDrain, eventlog.Fields{"running": g.running.Load(), "grace_ms": grace.Milliseconds()})
	g.links.heartbeatNow()
	linger := began.Add(time.Duration(float64(grace) * lingerShare))
	last := began.Add(time.Duration(float64(grace) * lastShare))
	time.Sleep(time.Until(linger))
	for _, s := range servers {
		if s.name == "callers" {
			_ = s.listener.Close()
		}
	}
	for g.running.Load() > 0 && time.Now().Before(last) {
		time.Sleep(drainCheck)
	}
	time.Sleep(drainCheck)
	for _, s := range servers {
		_ = s.listener.Close()
	}
	_ = g.links.conn.Close()
}
