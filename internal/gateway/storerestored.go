package gateway

import (
	"math/rand/v2"
	"time"

	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
)

// A store that is restored from an older copy has lost what was written in the last seconds.
// Operators and targets write theirs again; so do entries: their registrations, the records of
// usage and of roll-outs, and the copies of the configuration.

// rewriteSpread is the time over which entries spread the check for what has been lost, so
// that hundreds of them do not call the store at the moment at which it is back.
const rewriteSpread = 2 * time.Second

// handleRestored logs that the store has been restored from an older copy, and schedules
// rewriteLost once for each generation.
func (f *feeds) handleRestored(u feed.Update) {
	f.gateway.log.Write(eventlog.StateChange, eventStoreRestored, eventlog.Fields{
		"topic": u.Topic.String(), "generation": u.To.Generation, "generation_before": u.From.Generation,
		"to": u.To.Offset, "before": u.From.Offset, "records": len(u.Records), "replicated": u.Replicated,
	})
	f.gateway.counters.updates.add(u.Topic.String() + "_restored")
	if f.generation.Swap(u.To.Generation) < u.To.Generation {
		time.AfterFunc(rand.N(rewriteSpread), f.rewriteLost)
	}
}

// rewriteLost triggers a check of all that this entry has written; what is missing is written
// again.
func (f *feeds) rewriteLost() {
	f.usageLost.Store(true)
	f.gateway.state.rollouts.markLost()
	signal(f.gateway.origins.versionLog.due)
	signal(f.entriesDue)
	if record := f.inForce.Load(); record != nil {
		f.writeCopies(*record)
	}
}
