package gateway

import (
	"time"

	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/pause"
)

// minSuspension is the shortest suspension of the machine after which the store is read again.
const minSuspension = 300 * time.Millisecond

// handlePause is called when this process has not run for a while. After a suspension of the machine it
// reads the store again: timers stood still meanwhile, so state that is seconds old would pass for fresh.
func (g *Gateway) handlePause(p pause.Pause) {
	g.log.Write(eventlog.StateChange, eventPaused, eventlog.Fields{
		"paused_ms": p.Length.Milliseconds(), "suspended_ms": p.Suspended.Milliseconds(),
	})
	g.held.resume()
	for _, gate := range g.gates.byListener() {
		gate.Resume(time.Now())
	}
	if p.Suspended >= minSuspension {
		g.feeds.refresh()
		g.origins.missTargets()
	}
}
