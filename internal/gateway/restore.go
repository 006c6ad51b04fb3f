package gateway

import (
	"math/rand/v2"
	"time"

	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
)

// A store that comes back from an older copy has lost what entries wrote in the last seconds.
// Operators and targets write theirs again; so do entries: their registrations, the records of
// usage and of roll-outs, and the copies of the configuration.

// rewriteSpread is the time over which entries look for what they have lost, so that
// hundreds of them don't call the store at the moment in which it is back.
const rewriteSpread = 2 * time.Second

// restored notes that the store has come back from an older copy.
func (f *feeds) restored(u feed.Update) {
	f.gateway.log.Write(eventlog.Belief, eventStoreRestored, eventlog.Fields{
		"topic": u.Topic.String(), "generation": u.To.Generation, "generation_before": u.From.Generation,
		"to": u.To.Offset, "before": u.From.Offset, "records": len(u.Records), "replicated": u.Replicated,
	})
	f.gateway.counters.news.add(u.Topic.String() + "_restored")
	if f.generation.Swap(u.To.Generation) < u.To.Generation {
		time.AfterFunc(rand.N(rewriteSpread), f.writeAgain)
	}
}

// writeAgain has what this entry has written looked for, and written where it is missing.
func (f *feeds) writeAgain() {
	f.usageLost.Store(true)
	f.gateway.state.rollouts.lost()
	signal(f.lookAgain)
	if record := f.inForce.Load(); record != nil {
		f.keepCopy(*record)
	}
}
