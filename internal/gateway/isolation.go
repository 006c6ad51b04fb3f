package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sycamoretrail/internal/core/reach"
	"sycamoretrail/internal/eventlog"
)

// probeEvery is the interval at which an isolated entry tries to open a connection to one target.
const probeEvery = 250 * time.Millisecond

// isolation tracks whether this entry has lost its path to all targets.
type isolation struct {
	gateway *Gateway
	mutex   sync.Mutex
	tracker *reach.Tracker
	since   time.Time
	// lost is closed when an isolation begins, and replaced when it ends.
	lost chan struct{}
}

func newIsolation(g *Gateway) *isolation {
	return &isolation{gateway: g, tracker: reach.New(), lost: make(chan struct{})}
}

func (i *isolation) isolated() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.tracker.Isolated()
}

// begins returns a channel that is closed when an isolation begins; nil: this entry is isolated.
func (i *isolation) begins() <-chan struct{} {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.tracker.Isolated() {
		return nil
	}
	return i.lost
}

// recordContact records that a target accepted a connection or sent something.
func (i *isolation) recordContact() {
	i.mutex.Lock()
	regained := i.tracker.RecordContact()
	if regained {
		i.lost = make(chan struct{})
		i.gateway.log.Write(eventlog.StateChange, eventRegained, eventlog.Fields{"after_ms": time.Since(i.since).Milliseconds()})
	}
	i.mutex.Unlock()
	if regained {
		i.gateway.state.forgetEjections()
	}
}

// recordFailure records that a connection to a target could not be opened or failed.
func (i *isolation) recordFailure(target string, cause error) {
	known := i.gateway.feeds.addressCount()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	if !i.tracker.RecordFailure(now, target, known) {
		return
	}
	i.since = now
	close(i.lost)
	i.gateway.log.Write(eventlog.StateChange, eventIsolated, eventlog.Fields{"failed": i.tracker.Failed(), "targets": known, "error": cause.Error()})
}

// run probes targets while this entry is isolated, so that it notices the end of the isolation.
func (i *isolation) run(ctx context.Context) {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if i.isolated() {
				i.probe()
			}
		}
	}
}

func (i *isolation) probe() {
	addresses := i.gateway.feeds.targetAddresses()
	if len(addresses) == 0 {
		return
	}
	if i.gateway.pool.Probe(addresses[rand.IntN(len(addresses))]) == nil {
		i.recordContact()
	}
}
