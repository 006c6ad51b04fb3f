package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/streams"
	"sycamoretrail/internal/feed"
	"sycamoretrail/internal/settings"
)

func batchOf(n int) streams.Batch {
	batch := streams.Batch{Expires: time.UnixMilli(1_000_000), Groups: []streams.Group{
		{Origin: streams.Origin{Service: "desk", Version: "v1"}}, {Origin: streams.Origin{Service: "desk", Version: "v2"}},
	}}
	for i := range n {
		group := &batch.Groups[i%2]
		group.Keys = append(group.Keys, streams.KeyOf("riders", fmt.Sprint(i)))
	}
	return batch
}

func TestBatchesAreReadAsTheyWereRecorded(t *testing.T) {
	g := NewWithT(t)
	want := batchOf(7)
	value, size, err := encodeBatch(want)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(size).To(Equal(7))
	g.Expect(decodeBatch(value)).To(Equal(want))
	for _, invalid := range [][]byte{nil, []byte("x"), value[:len(value)-1]} {
		_, err := decodeBatch(invalid)
		g.Expect(err).To(HaveOccurred())
	}
}

// Guards against a full batch exceeding what the store takes in one record.
func TestFullBatchesFitARecord(t *testing.T) {
	g := NewWithT(t)
	const recordBytes = 256 << 10
	value, _, err := encodeBatch(batchOf(batchStreams))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(value)).To(BeNumerically("<", recordBytes))
}

// withPeers returns an entry that knows others, which serve.
func withPeers(n int) *Gateway {
	g, _ := newLoggingGateway()
	now := time.Now()
	for i := range n {
		name := fmt.Sprintf("peer-%d", i)
		g.state.peers.ApplyStatus(now, now, peerset.Status{
			Entry: peerset.Entry{Name: name, Incarnation: 1, Zone: string(rune('a' + i%3)), Links: "127.0.0.1:1"}, State: peerset.Ready, Sequence: 1,
		})
	}
	return g
}

// Guards against entries that don't agree on who records, and against one recording for too many.
func TestFewEntriesRecord(t *testing.T) {
	for _, c := range []struct{ entries, recorders int }{{6, 1}, {79, 1}, {985, 8}} {
		t.Run(fmt.Sprint(c.entries), func(t *testing.T) {
			g := NewWithT(t)
			gateway := withPeers(c.entries)
			chosen := make(map[string]bool)
			for i := range 200 {
				gateway.self.Name = fmt.Sprintf("other-%d", i)
				recorder, self, recorders := gateway.origins.log.rankedRecorder()
				g.Expect(self).To(BeFalse())
				g.Expect(recorders).To(Equal(c.recorders))
				chosen[recorder.Name] = true
			}
			g.Expect(chosen).To(HaveLen(c.recorders))
		})
	}
}

func BenchmarkRankedRecorder(b *testing.B) {
	for _, n := range []int{6, 79, 985} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			gateway := withPeers(n)
			for b.Loop() {
				gateway.origins.log.rankedRecorder()
			}
		})
	}
}

// keyedPlatform keeps the newest record of each key of each topic.
type keyedPlatform struct {
	fakePlatform
	mutex     sync.Mutex
	records   map[feed.Topic]map[string][]byte
	failReads bool
	reads     atomic.Int64
}

func (p *keyedPlatform) Put(topic feed.Topic, records ...feed.Record) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.records[topic] == nil {
		p.records[topic] = make(map[string][]byte)
	}
	for _, r := range records {
		p.records[topic][r.Key] = r.Value
		if len(r.Value) == 0 {
			delete(p.records[topic], r.Key)
		}
	}
	return nil
}

func (p *keyedPlatform) Snapshot(topic feed.Topic) ([]feed.Record, feed.Position, error) {
	p.reads.Add(1)
	time.Sleep(5 * time.Millisecond)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.failReads {
		return nil, feed.Position{}, errUnreadable
	}
	var records []feed.Record
	for key, value := range p.records[topic] {
		records = append(records, feed.Record{Key: key, Value: value})
	}
	return records, feed.Position{}, nil
}

var errUnreadable = errors.New("unreadable")

// withStore returns an entry that does not listen, and its store.
func withStore(t *testing.T) (*Gateway, *keyedPlatform) {
	p := &keyedPlatform{records: make(map[feed.Topic]map[string][]byte)}
	g := New(settings.DefaultGateway(), p, loggerTo(&bytes.Buffer{}))
	t.Cleanup(func() { g.log.Close(time.Second); g.metrics.Close() })
	return g, p
}

var desk = streams.Origin{Service: "desk", Version: "v1"}

// record records a batch of one stream at a time.
func (l *originLog) record(w *WithT, p *keyedPlatform, key streams.Key, at time.Time) {
	l.pending.Add(at, streams.Record{Key: key, Origin: desk, Keep: time.Second})
	_, records, _, err := l.nextBatch(at)
	w.Expect(err).NotTo(HaveOccurred())
	w.Expect(p.Put(feed.Origins, records...)).To(Succeed())
}

// Guards against a batch being dropped by the append that records it, since an expired one had its key.
func TestBatchIsNotDroppedWithTheExpiredOneOfItsKey(t *testing.T) {
	w := NewWithT(t)
	g, p := withStore(t)
	l := g.origins.log
	l.record(w, p, streams.Key{1}, time.Now().Add(-10*time.Minute))
	w.Expect(l.readBatches()).To(Succeed())
	l.record(w, p, streams.Key{2}, time.Now())
	w.Expect(l.readBatches()).To(Succeed())
	_, found := l.lookup(streams.Key{2})
	w.Expect(found).To(BeTrue())
}

// Guards against batches of processes that have ended staying in the store for good.
func TestBatchesOfEndedProcessesAreDropped(t *testing.T) {
	w := NewWithT(t)
	g, p := withStore(t)
	l := g.origins.log
	for n := range byte(100) {
		l.slots = nil
		g.self.Incarnation = uint64(n)
		l.record(w, p, streams.Key{n}, time.Now().Add(-10*time.Minute))
	}
	for n := range byte(3) {
		w.Expect(l.readBatches()).To(Succeed())
		l.record(w, p, streams.Key{n}, time.Now())
	}
	w.Expect(len(p.records[feed.Origins])).To(BeNumerically("<=", 4))
}

// Guards against what waits for a confirmation growing without bound.
func TestConfirmationsOfExpiredStreamsAreForgotten(t *testing.T) {
	w := NewWithT(t)
	g, _ := withStore(t)
	l := g.origins.log
	for n := range byte(100) {
		l.addFor("peer", streams.Record{Key: streams.Key{n}, Origin: desk})
	}
	l.flush()
	w.Expect(l.confirmTo).To(BeEmpty())
}

// Guards against a read of the store for each of the callers that come again at the same moment.
func TestCallersShareARead(t *testing.T) {
	w := NewWithT(t)
	g, p := withStore(t)
	var callers sync.WaitGroup
	for range 500 {
		callers.Go(func() { g.origins.versionLog.read(readWait) })
	}
	callers.Wait()
	w.Expect(p.reads.Load()).To(BeNumerically("<=", 2))
	p.failReads = true
	g.origins.versionLog.reads.invalidate()
	w.Expect(g.origins.versionLog.read(readWait)).To(BeFalse(), "a read that failed is none")
}

const recordedForLong = `{"generation":0,"services":{"desk":{"since_ms":0,"versions":{"v1":0}}}}`

// Guards against streams being refused once an entry has missed lists of targets, though the record of the
// versions can be read.
func TestVersionsAreReadAgainAfterMissedLists(t *testing.T) {
	w := NewWithT(t)
	g, p := withStore(t)
	o, stream := g.origins, candidate{streams.Key{1}, "desk", 10 * time.Second}
	w.Expect(p.Put(feed.Versions, feed.Record{Key: versionsKey, Value: []byte(recordedForLong)})).To(Succeed())
	o.observeTargets([]catalog.Target{{Service: "desk", Version: "v1"}})
	for range 2 {
		w.Expect(o.versionLog.read(readWait)).To(BeTrue())
		version, only := o.onlyVersion(stream)
		w.Expect(only).To(BeTrue())
		w.Expect(version).To(Equal("v1"))
		o.missTargets()
		_, only = o.onlyVersion(stream)
		w.Expect(only).To(BeFalse())
	}
}

// Guards against the first start of one entry being taken for that of all, before which nothing served.
func TestFirstStartOfAnEntryIsNotThatOfAll(t *testing.T) {
	for _, c := range []struct {
		name   string
		others func(*Gateway)
		want   bool
	}{
		{"registry not read", func(*Gateway) {}, false},
		{"alone", func(g *Gateway) { g.state.peersKnown = true }, true},
		{"another entry is registered and silent", func(g *Gateway) {
			g.state.peersKnown = true
			g.state.peers.AddRegistered(time.Now(), peerset.Entry{Name: "other"})
		}, false},
		{"another entry has run before", func(g *Gateway) { g.meet("other", time.Hour) }, false},
		{"another entry starts too", func(g *Gateway) { g.meet("other", time.Second) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := NewWithT(t)
			g, _ := withStore(t)
			g.origins.versionLog.firstStart.Store(true)
			g.origins.observeTargets([]catalog.Target{{Service: "desk", Version: "v1"}})
			c.others(g)
			w.Expect(g.origins.versionLog.read(readWait)).To(BeTrue())
			_, only := g.origins.onlyVersion(candidate{streams.Key{1}, "desk", 10 * time.Second})
			w.Expect(only).To(Equal(c.want))
		})
	}
}

// meet has an entry hear of another one that has run for a time.
func (g *Gateway) meet(name string, age time.Duration) {
	now := time.Now()
	g.state.peersKnown = true
	g.state.peers.ApplyStatus(now, now, peerset.Status{Entry: peerset.Entry{Name: name, Incarnation: 1, Links: "127.0.0.1:1"}, State: peerset.Ready, Sequence: 1, Age: age})
}

// Guards against entries that are cut off together concluding from each other's silence.
func TestStaleListAndUnreadRecordsBindNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		f    finding
		want string
	}{
		{"records read", finding{versionsRead: true, recordsRead: true, asked: 1, replied: 1}, originOnlyVersion},
		{"records unread, list stale", finding{asked: 1, replied: 1}, originUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := NewWithT(t)
			g, _ := withStore(t)
			g.meet("other", time.Hour)
			g.origins.versions.Observe(time.Now().Add(-10*time.Minute), []catalog.Target{{Service: "desk", Version: "v1"}})
			route := &catalog.Route{Shares: []catalog.Share{{Service: "desk", Weight: 1}}}
			reconnect := &call{gateway: g, service: "desk", route: route}
			w.Expect(reconnect.bindToOnlyVersion(candidate{streams.Key{1}, "desk", 10 * time.Second}, c.f)).To(Equal(c.want))
		})
	}
}
