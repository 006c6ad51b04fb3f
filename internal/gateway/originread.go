package gateway

import (
	"time"

	"sycamoretrail/internal/core/streams"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
)

// lookup returns the origin of a stream if it is in a batch that was read.
func (l *originLog) lookup(key streams.Key) (streams.Origin, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.archive.Lookup(key)
}

// read reads what is recorded, unless that has just been done. It reports whether it succeeded in time.
func (l *originLog) read(limit time.Duration) bool { return l.reads.do(limit, l.readBatches) }

// readBatches reads the batches of all recorders.
func (l *originLog) readBatches() error {
	began := time.Now()
	records, _, err := l.gateway.platform.Snapshot(feed.Origins)
	if err != nil {
		l.gateway.feeds.logStoreError(feed.Origins, err)
		return err
	}
	archive, running := streams.NewArchive(), l.runningPrefixes()
	var stale []string
	for _, record := range records {
		batch, err := decodeBatch(record.Value)
		if err != nil {
			l.gateway.feeds.logUndecodable(feed.Origins, record, err)
			continue
		}
		if began.Sub(batch.Expires) > staleAfter {
			if !l.isOfRunning(record.Key, running) {
				stale = append(stale, record.Key)
			}
			continue
		}
		archive.Add(batch)
		l.origins.note(began, batch)
	}
	l.gateway.log.Write(eventlog.StateChange, eventOriginsRead, eventlog.Fields{
		"batches": len(records), "streams": archive.Size(), "stale": len(stale), "took_ms": time.Since(began).Milliseconds(),
	})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.archive, l.archivedAt, l.stale = archive, time.Now(), stale
	return nil
}

// discardArchive drops the batches that were read after a while: callers reconnect within seconds.
func (l *originLog) discardArchive() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.archive.Size() > 0 && time.Since(l.archivedAt) > archiveKeep {
		l.archive = streams.NewArchive()
	}
}
