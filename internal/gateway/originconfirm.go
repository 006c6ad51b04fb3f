package gateway

import (
	"slices"
	"time"

	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/streams"
)

// Streams whose origin could not be told from others wait, before their first event is passed on, until the
// recorder confirms that it is recorded: those of the last batch would be lost with all entries, and many streams
// last for half a second only.

// confirmsSoon reports whether streams may wait for their record.
func (l *originLog) confirmsSoon() bool {
	if l.gather() >= confirmWait {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Since(l.unconfirmedAt) > confirmPause
}

// await waits until a stream is recorded, its caller has left or time is up.
func (l *originLog) await(key streams.Key, recorded, left <-chan struct{}) {
	timer := time.NewTimer(confirmWait)
	defer timer.Stop()
	select {
	case <-recorded:
		return
	case <-left:
		l.mutex.Lock()
	case <-timer.C:
		l.gateway.counters.originRecords.add("unconfirmed")
		l.mutex.Lock()
		l.unconfirmedAt = time.Now()
	}
	delete(l.waiting, key)
	l.mutex.Unlock()
}

// submitAndAwait passes a stream to the recorder. The channel is closed when it has been recorded.
func (l *originLog) submitAndAwait(record streams.Record) <-chan struct{} {
	recorded := make(chan struct{})
	l.mutex.Lock()
	l.waiting[record.Key] = recorded
	recorder, self := l.recorder, l.self
	l.mutex.Unlock()
	if self {
		l.add(record)
		signal(l.urgent)
		return recorded
	}
	m := l.recordMessage([]streams.Record{record})
	m.AwaitRecord = true
	l.gateway.links.send(m, []peerset.Entry{recorder})
	return recorded
}

// addFor adds a stream of another entry, which waits for it if confirmTo names it.
func (l *originLog) addFor(confirmTo string, record streams.Record) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending.Add(time.Now(), record)
	if confirmTo != "" {
		l.confirmTo[record.Key] = confirmTo
		signal(l.urgent)
	}
}

// confirm tells those that wait for the streams of a batch that it has been recorded.
func (l *originLog) confirm(batch streams.Batch) {
	keys := make(map[string][]byte)
	l.mutex.Lock()
	for _, group := range batch.Groups {
		for _, key := range group.Keys {
			if to, found := l.confirmTo[key]; found {
				keys[to] = append(keys[to], key[:]...)
				delete(l.confirmTo, key)
			}
			l.release(key)
		}
	}
	l.mutex.Unlock()
	for name, recorded := range keys {
		l.gateway.state.mutex.Lock()
		entry, known := l.gateway.state.peers.Entry(name)
		l.gateway.state.mutex.Unlock()
		if !known {
			continue
		}
		for part := range slices.Chunk(recorded, confirmedKeys*len(streams.Key{})) {
			m := l.gateway.links.message()
			m.OriginsRecorded = part
			l.gateway.links.send(m, []peerset.Entry{entry})
		}
	}
}

// release ends the wait for a stream. The caller holds the mutex.
func (l *originLog) release(key streams.Key) {
	if waiting, found := l.waiting[key]; found {
		close(waiting)
		delete(l.waiting, key)
	}
}

// handleRecorded ends the waits for streams that the recorder has recorded.
func (l *originLog) handleRecorded(keys []byte) {
	if len(keys) == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for ; len(keys) >= len(streams.Key{}); keys = keys[len(streams.Key{}):] {
		l.release(streams.Key(keys[:len(streams.Key{})]))
	}
}
