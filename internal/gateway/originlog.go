package gateway

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/streams"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/gossip"
)

// The origins of streams outlast all entries in the store. A few entries, the recorders, append those of all in
// batches. Batches are keyed records: the store keeps the newest record of each key whatever else it forgets.

const (
	// chooseEvery is the interval at which the recorder is chosen, firstChoice the time after the start.
	chooseEvery = time.Second
	firstChoice = 100 * time.Millisecond
	// recordTick is the interval at which batches are recorded that no stream waits for, recordGather the time
	// for which those gather that streams do wait for. recordPerRecorder, for each recorder, keeps the appends
	// of all together below half of what a partition of the store takes.
	recordTick        = 500 * time.Millisecond
	recordGather      = 50 * time.Millisecond
	recordPerRecorder = 8 * time.Millisecond
	// entriesPerRecorder is the number of entries for which one records.
	entriesPerRecorder = 128
	// confirmWait bounds the wait of a stream for its record, confirmPause is how long streams don't wait after
	// one did in vain.
	confirmWait  = 110 * time.Millisecond
	confirmPause = 2 * time.Second
	// confirmedKeys is the number of keys that fit a datagram.
	confirmedKeys = 64
	// severalFor is how long after the last target of a version streams of its service are told apart.
	severalFor = 30 * time.Second
	// batchStreams bounds the streams of a batch, whose size the store limits.
	batchStreams = 8192
	// batchSlots bounds the batches of one process that the store holds.
	batchSlots = 1024
	// staleBatches bounds the expired batches that are dropped with one append; staleAfter is how long a
	// batch is kept after it has expired.
	staleBatches = 64
	staleAfter   = 2 * time.Minute
	// readWait bounds the wait for a read of what is recorded.
	readWait = 400 * time.Millisecond
	// archiveKeep is how long the batches that were read are kept.
	archiveKeep = 30 * time.Second
)

// originLog records origins in the store and reads those that were recorded.
type originLog struct {
	gateway *Gateway
	origins *origins

	mutex sync.Mutex
	// recorder is the entry that records for this one; self: this one does. recorders is the number of
	// all; 0: none has been chosen yet.
	recorder  peerset.Entry
	self      bool
	recorders int
	pending   streams.Pending
	// urgent receives a signal when a stream waits for its record. waiting are the streams of this entry that
	// do, confirmTo are the entries whose streams do. unconfirmedAt is when one waited in vain.
	urgent        chan struct{}
	waiting       map[streams.Key]chan struct{}
	confirmTo     map[streams.Key]string
	unconfirmedAt time.Time
	// slots are the times at which the batches of this process expire, by slot; stale are keys of batches
	// that nobody needs any more.
	slots []time.Time
	stale []string
	// archive holds the batches that were read, at archivedAt.
	archive    *streams.Archive
	archivedAt time.Time

	reads sharedRead
}

func newOriginLog(g *Gateway, o *origins) *originLog {
	return &originLog{
		gateway: g, origins: o, self: true, archive: streams.NewArchive(), urgent: make(chan struct{}, 1),
		waiting: make(map[streams.Key]chan struct{}), confirmTo: make(map[streams.Key]string),
	}
}

// run records origins until the context ends.
func (l *originLog) run(ctx context.Context) {
	if !l.gateway.settings.Load.BindStreams {
		return
	}
	ticker := time.NewTicker(firstChoice)
	defer ticker.Stop()
	var chosen time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			ticker.Reset(recordTick)
			if time.Since(chosen) >= chooseEvery-recordTick/2 {
				chosen = time.Now()
				l.chooseRecorder()
			}
			l.discardArchive()
		case <-l.urgent:
			time.Sleep(l.gather())
		}
		l.flush()
	}
}

// gather returns the time for which a batch gathers.
func (l *originLog) gather() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(recordGather, time.Duration(l.recorders)*recordPerRecorder)
}

// chooseRecorder chooses the entry that records for this one. A new one receives the running streams of this
// entry, since the one before may have ended before it recorded them.
func (l *originLog) chooseRecorder() {
	chosen, self, recorders := l.rankedRecorder()
	l.mutex.Lock()
	changed := l.recorders == 0 || l.self != self || !self && l.recorder.Name != chosen.Name
	l.recorder, l.self, l.recorders = chosen, self, recorders
	l.mutex.Unlock()
	if !changed {
		return
	}
	running := l.origins.running()
	if self {
		l.add(running...)
		// Finds the batches that processes before this one have left.
		go l.read(readWait)
		return
	}
	for part := range slices.Chunk(running, originsPerMessage) {
		l.submit(part...)
	}
}

// rankedRecorder returns one of the first in rank of the entries that serve and reach the store, self if it is
// this one, and how many record. With another view of the others an entry chooses another recorder, which
// records as well.
func (l *originLog) rankedRecorder() (recorder peerset.Entry, self bool, recorders int) {
	g := l.gateway
	var able []peerset.Entry
	for _, m := range g.readers() {
		if m.State == peerset.Ready && !m.StoreDisconnected {
			able = append(able, m.Entry)
		}
	}
	if len(able) == 0 || g.ready() && !g.feeds.isStoreDisconnected() {
		able = append(able, g.self)
	}
	recorders = (len(able) + entriesPerRecorder - 1) / entriesPerRecorder
	name := fnv.New32a()
	_, _ = name.Write([]byte(g.self.Name))
	recorder = firstInRank(able, recorders)[int(name.Sum32()%uint32(recorders))]
	return recorder, recorder.Name == g.self.Name, recorders
}

// firstInRank returns the first n in rank of some entries.
func firstInRank(entries []peerset.Entry, n int) []peerset.Entry {
	compare := func(a, b peerset.Entry) int { return dispatch.CompareNames(a.Name, b.Name) }
	var first []peerset.Entry
	for _, e := range entries {
		if len(first) == n && compare(e, first[n-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, e, compare)
		first = slices.Insert(first, at, e)
		first = first[:min(n, len(first))]
	}
	return first
}

// current returns the recorder, unless this entry is the one.
func (l *originLog) current() (recorder peerset.Entry, self bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.recorder, l.self
}

// submit passes streams to the recorder.
func (l *originLog) submit(records ...streams.Record) {
	recorder, self := l.current()
	if self {
		l.add(records...)
		return
	}
	l.gateway.links.send(l.recordMessage(records), []peerset.Entry{recorder})
}

func (l *originLog) recordMessage(records []streams.Record) *gossip.Message {
	m := l.gateway.links.message()
	m.RecordOrigins = true
	for _, r := range records {
		m.Origins = append(m.Origins, originMessage(r))
	}
	return m
}

func (l *originLog) add(records ...streams.Record) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	for _, r := range records {
		l.pending.Add(now, r)
	}
}

// flush records what is pending.
func (l *originLog) flush() {
	for l.recordBatch() {
	}
}

// recordBatch records a batch of what is pending. It reports whether more may be.
func (l *originLog) recordBatch() (more bool) {
	began := time.Now()
	batch, records, size, err := l.nextBatch(began)
	if len(records) == 0 || err != nil {
		return false
	}
	err = l.gateway.platform.Put(feed.Origins, records...)
	fields := eventlog.Fields{"streams": size, "bytes": len(records[0].Value), "dropped": len(records) - 1, "took_ms": time.Since(began).Milliseconds()}
	if err != nil {
		l.mutex.Lock()
		l.pending.Return(time.Now(), batch)
		l.mutex.Unlock()
		fields["error"] = err.Error()
		l.gateway.counters.originRecords.add("failed")
		l.gateway.log.Write(eventlog.StateChange, eventOriginsRecorded, fields)
		return false
	}
	l.confirm(batch)
	l.gateway.counters.originRecords.add("recorded")
	l.gateway.log.Write(eventlog.Routine, eventOriginsRecorded, fields)
	return size == batchStreams
}

// nextBatch removes a batch from what is pending and returns its record, followed by those that drop
// expired batches. It returns no records if nothing is pending.
func (l *originLog) nextBatch(now time.Time) (batch streams.Batch, records []feed.Record, size int, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(batch.Groups) == 0 {
		if l.pending.Size() == 0 {
			// Streams that had expired are not recorded.
			clear(l.confirmTo)
			return batch, nil, 0, nil
		}
		batch = l.pending.Take(now, batchStreams)
	}
	value, size, err := encodeBatch(batch)
	if err != nil {
		l.gateway.log.Write(eventlog.StateChange, eventUndecodable, eventlog.Fields{"error": err.Error()})
		return batch, nil, 0, err
	}
	// The key names the process: the next one of this entry must not replace what this one recorded.
	key := fmt.Sprintf("%s%d", batchPrefix(l.gateway.self), l.slot(now, batch.Expires))
	records = []feed.Record{{Key: key, Value: value}}
	if now.Sub(l.archivedAt) > readFresh {
		l.stale = nil
	}
	dropped := min(len(l.stale), staleBatches)
	for _, key := range l.stale[:dropped] {
		records = append(records, feed.Record{Key: key})
	}
	l.stale = l.stale[dropped:]
	return batch, records, size, nil
}

// batchPrefix begins the keys of the batches of one process.
func batchPrefix(e peerset.Entry) string { return fmt.Sprintf("%s/%x/", e.Name, e.Incarnation) }

// isOfRunning reports whether a batch is of a process that runs, which uses its keys again itself.
func (l *originLog) isOfRunning(key string, running []string) bool {
	return slices.ContainsFunc(running, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// runningPrefixes returns the prefixes of this process and of those that are live.
func (l *originLog) runningPrefixes() []string {
	prefixes := []string{batchPrefix(l.gateway.self)}
	for _, m := range l.gateway.readers() {
		prefixes = append(prefixes, batchPrefix(m.Entry))
	}
	return prefixes
}

// slot returns a slot whose batch has expired, a new one, or the one that expires first.
func (l *originLog) slot(now, expires time.Time) int {
	at := slices.IndexFunc(l.slots, func(t time.Time) bool { return t.Before(now) })
	switch {
	case at >= 0:
	case len(l.slots) < batchSlots:
		at = len(l.slots)
		l.slots = append(l.slots, expires)
	default:
		for i, t := range l.slots {
			if at < 0 || t.Before(l.slots[at]) {
				at = i
			}
		}
	}
	l.slots[at] = expires
	return at
}
