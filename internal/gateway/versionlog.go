package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/streams"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
)

// Which versions the services have had outlasts all entries in the store, in one record. An entry that has
// just started would otherwise take those of its first list of targets for all that there were.

const (
	versionsKey = "versions"
	// versionsRetry is the pause before a further attempt to write the record. An entry that is no reader
	// checks whether it has become one after pauses that double up to versionsRetryMax.
	versionsRetry    = 250 * time.Millisecond
	versionsRetryMax = 4 * time.Second
	// versionsClockError is the largest difference between wall clocks by which the record is judged: careful
	// since a version that is forgotten early joins streams, and one that is kept for longer costs little.
	versionsClockError = 10 * time.Second
	// fleetStart is the time within which the entries of a new fleet start.
	fleetStart = 10 * time.Second
)

// errEntriesUnknown is returned while it is not known whether entries ran before.
var errEntriesUnknown = errors.New("the registry of entries has not been read yet")

// storedVersions is the record of the versions of all services.
type storedVersions struct {
	// Generation is the generation of the store in which it was written.
	Generation int64                    `json:"generation"`
	Services   map[string]storedHistory `json:"services"`
}

// storedHistory is a streams.History; times are Unix milliseconds.
type storedHistory struct {
	SinceMS  int64            `json:"since_ms"`
	Versions map[string]int64 `json:"versions"`
}

// versionLog records the versions of the services in the store.
type versionLog struct {
	gateway *Gateway
	origins *origins
	// due receives a signal when the listed versions have changed.
	due chan struct{}
	// firstStart: no earlier process of this entry has registered itself.
	firstStart atomic.Bool

	reads sharedRead
}

func newVersionLog(g *Gateway, o *origins) *versionLog {
	return &versionLog{gateway: g, origins: o, due: make(chan struct{}, 1)}
}

// run writes the record when the listed versions change, until the context ends. Each reader of the store
// does, and entries that become one check it: the reader before may have ended first.
func (l *versionLog) run(ctx context.Context) {
	if !l.gateway.settings.Load.BindStreams {
		return
	}
	pause := time.Duration(0)
	for {
		retry := (<-chan time.Time)(nil)
		if pause > 0 {
			retry = time.After(pause)
		}
		select {
		case <-ctx.Done():
			return
		case <-l.due:
			pause = versionsRetry
		case <-retry:
		}
		switch {
		case !l.gateway.recordsUsage():
			pause = min(2*pause, versionsRetryMax)
		case l.recorded():
			pause = 0
		default:
			pause = versionsRetry
		}
	}
}

// recorded writes the record if it has to change. It reports whether it succeeded.
func (l *versionLog) recorded() bool {
	err := l.record()
	if err != nil && !errors.Is(err, feed.ErrConflict) && !errors.Is(err, errEntriesUnknown) {
		l.gateway.feeds.logStoreError(feed.Versions, err)
	}
	return err == nil
}

// record adds what this entry has observed to the record.
func (l *versionLog) record() error {
	stored, end, err := l.readRecord()
	if err != nil {
		return err
	}
	recorded := historiesOf(stored)
	if stored.Services == nil && !l.gateway.knowsPeers() {
		return errEntriesUnknown
	}
	incomplete := stored.Generation != end.Generation
	if incomplete {
		for service, history := range recorded {
			history.Since = time.Now()
			recorded[service] = history
		}
	}
	histories := l.origins.histories(recorded, l.othersNew(stored, end))
	if !incomplete && reflect.DeepEqual(storedOf(histories, end.Generation), stored) {
		return nil
	}
	value, err := json.Marshal(storedOf(histories, end.Generation))
	if err != nil {
		return err
	}
	if err := l.gateway.platform.PutAt(feed.Versions, end, feed.Record{Key: versionsKey, Value: value}); err != nil {
		return err
	}
	l.gateway.log.Write(eventlog.StateChange, eventVersionsRecorded, eventlog.Fields{"services": len(histories), "bytes": len(value)})
	return nil
}

// readRecord reads the record and applies it to what this entry knows.
func (l *versionLog) readRecord() (storedVersions, feed.Position, error) {
	var stored storedVersions
	records, end, err := l.gateway.platform.Snapshot(feed.Versions)
	if err != nil {
		return stored, end, err
	}
	for _, record := range records {
		if record.Key != versionsKey {
			continue
		}
		if err := json.Unmarshal(record.Value, &stored); err != nil {
			l.gateway.feeds.logUndecodable(feed.Versions, record, err)
			stored = storedVersions{Generation: -1}
		}
	}
	l.origins.restore(historiesOf(stored), stored.Generation != end.Generation, l.othersNew(stored, end))
	return stored, end, nil
}

// othersNew reports whether services that are not in the record had no target before: a new service, or all
// of them where no entry ran before. A store that was restored from an older copy may have lost them.
func (l *versionLog) othersNew(stored storedVersions, end feed.Position) bool {
	switch {
	case stored.Generation != end.Generation:
		return false
	case stored.Services != nil:
		return true
	default:
		return end.Generation == 0 && l.firstStart.Load() && l.gateway.startsWithAll()
	}
}

// knowsPeers reports whether the registry of entries has been read.
func (g *Gateway) knowsPeers() bool {
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	return g.state.peersKnown
}

// startsWithAll reports whether all registered entries run and have started with this one.
func (g *Gateway) startsWithAll() bool {
	g.state.mutex.Lock()
	defer g.state.mutex.Unlock()
	now := time.Now()
	return g.state.peersKnown && !slices.ContainsFunc(g.state.peers.Members(), func(m peerset.Member) bool {
		return !g.state.peers.Live(now, m.Name) || g.started.Sub(m.Started) > fleetStart
	})
}

// read reads the record, unless that has just been done.
func (l *versionLog) read(limit time.Duration) bool {
	return l.reads.do(limit, func() error {
		_, _, err := l.readRecord()
		if err != nil {
			l.gateway.feeds.logStoreError(feed.Versions, err)
		}
		return err
	})
}

func historiesOf(stored storedVersions) map[string]streams.History {
	histories := make(map[string]streams.History, len(stored.Services))
	for service, each := range stored.Services {
		history := streams.History{Since: timeOf(each.SinceMS), Versions: make(map[string]time.Time, len(each.Versions))}
		for version, until := range each.Versions {
			history.Versions[version] = timeOf(until)
		}
		histories[service] = history
	}
	return histories
}

func storedOf(histories map[string]streams.History, generation int64) storedVersions {
	stored := storedVersions{Generation: generation, Services: make(map[string]storedHistory, len(histories))}
	for service, each := range histories {
		history := storedHistory{SinceMS: unixMilli(each.Since), Versions: make(map[string]int64, len(each.Versions))}
		for version, until := range each.Versions {
			history.Versions[version] = unixMilli(until)
		}
		stored.Services[service] = history
	}
	return stored
}

// timeOf and unixMilli convert Unix milliseconds, of which 0 stands for the zero time.
func timeOf(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
