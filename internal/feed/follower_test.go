package feed_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/feed"
)

var errUnavailable = errors.New("the log is unavailable")

// fakeLog keeps records in memory and fails on demand.
type fakeLog struct {
	mutex       sync.Mutex
	records     []feed.Record
	first       int64
	unavailable bool
	calls       int
	// generation counts how often the log was restored from a copy.
	generation int64
}

func (l *fakeLog) append(key, value string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records = append(l.records, feed.Record{Key: key, Value: []byte(value), Offset: l.first + int64(len(l.records))})
}

func (l *fakeLog) setUnavailable(unavailable bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unavailable = unavailable
}

// truncate drops all records from the history, so that a Read from an earlier position
// fails with ErrTruncated.
func (l *fakeLog) truncate() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.first += int64(len(l.records))
	l.records = nil
}

func (l *fakeLog) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.calls
}

func (l *fakeLog) Snapshot(feed.Topic) ([]feed.Record, feed.Position, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.calls++
	if l.unavailable {
		return nil, feed.Position{}, errUnavailable
	}
	return append([]feed.Record(nil), l.records...), l.at(l.first + int64(len(l.records))), nil
}

// at returns a position in the current generation. The mutex is held.
func (l *fakeLog) at(offset int64) feed.Position {
	return feed.Position{Generation: l.generation, Offset: offset}
}

// restore simulates that the log was restored from a copy with its first records only.
func (l *fakeLog) restore(kept int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.generation++
	l.records = l.records[:kept]
}

func (l *fakeLog) Read(_ feed.Topic, from feed.Position, wait time.Duration) ([]feed.Record, feed.Position, error) {
	const step = 5 * time.Millisecond
	l.mutex.Lock()
	l.calls++
	l.mutex.Unlock()
	for waited := time.Duration(0); ; waited += step {
		l.mutex.Lock()
		end := l.first + int64(len(l.records))
		switch {
		case l.unavailable:
			l.mutex.Unlock()
			return nil, feed.Position{}, errUnavailable
		case from.Offset < l.first || from.Generation != l.generation:
			l.mutex.Unlock()
			return nil, feed.Position{}, feed.ErrTruncated
		case from.Offset < end || waited >= wait:
			found, to := append([]feed.Record(nil), l.records[from.Offset-l.first:]...), l.at(end)
			l.mutex.Unlock()
			return found, to, nil
		}
		l.mutex.Unlock()
		time.Sleep(step)
	}
}

func (l *fakeLog) PutAt(feed.Topic, feed.Position, feed.Record) error { return nil }

func (l *fakeLog) Put(feed.Topic, ...feed.Record) error { return nil }

// at returns a position in a log that has never been restored.
func at(offset int64) feed.Position { return feed.Position{Offset: offset} }

// recorder is a follower that records its updates.
type recorder struct {
	*feed.Follower
	mutex    sync.Mutex
	isReader bool
	updates  []feed.Update
	lost     int
}

func (f *recorder) last(key string) (feed.Update, feed.Record) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i := len(f.updates) - 1; i >= 0; i-- {
		records := f.updates[i].Records
		for j := len(records) - 1; j >= 0; j-- {
			if records[j].Key == key {
				return f.updates[i], records[j]
			}
		}
	}
	return feed.Update{}, feed.Record{}
}

var config = feed.Config{Topic: feed.Targets, Interval: 50 * time.Millisecond, Wait: 800 * time.Millisecond, MaxAge: 1200 * time.Millisecond, RenewalTime: 2300 * time.Millisecond}

func follow(ctx context.Context, log feed.Log, isReader bool) *recorder {
	f := &recorder{isReader: isReader}
	f.Follower = feed.NewFollower(config, log, feed.Callbacks{
		IsReader:    func() bool { f.mutex.Lock(); defer f.mutex.Unlock(); return f.isReader },
		Apply:       func(u feed.Update) { f.mutex.Lock(); defer f.mutex.Unlock(); f.updates = append(f.updates, u) },
		Unavailable: func(feed.Topic, error) { f.mutex.Lock(); defer f.mutex.Unlock(); f.lost++ },

		Available: func(feed.Topic, time.Duration) {},
	})
	go f.Run(ctx)
	return f
}

// run runs a scenario on a fake clock.
func run(t *testing.T, scenario func(g *WithT, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		scenario(NewWithT(t), ctx)
		stop()
		time.Sleep(2 * time.Second) // lets a waiting read return
	})
}

func TestChangeIsAppliedAtOnce(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		f := follow(ctx, log, true)
		time.Sleep(3 * time.Second)
		log.append("a", "1")
		time.Sleep(60 * time.Millisecond)
		_, record := f.last("a")
		g.Expect(string(record.Value)).To(Equal("1"))
	})
}

// All entries start while the store is unavailable. If each tried as often as the reader,
// eighty of them would make about eight hundred calls a second.
func TestStartingEntriesRetryLessOftenThanReader(t *testing.T) {
	attempts := func(isReader bool) (count int) {
		run(t, func(_ *WithT, ctx context.Context) {
			log := &fakeLog{unavailable: true}
			follow(ctx, log, isReader)
			time.Sleep(2 * time.Second)
			count = log.count()
		})
		return count
	}
	g := NewWithT(t)
	g.Expect(attempts(true)).To(BeNumerically(">=", 15))
	g.Expect(attempts(false)).To(BeNumerically("<=", 7))
}

// The record of a target expires while the store is unavailable, because it cannot be
// renewed. Entries that read the drop when the store is available again must keep the
// target: it is running, and its record is put again within two seconds.
func TestExpiryDuringOutageIsProvisional(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		log.append("a", "1")
		f := follow(ctx, log, true)
		time.Sleep(time.Second)
		log.setUnavailable(true)
		time.Sleep(4 * time.Second)
		log.append("a", "")
		log.setUnavailable(false)
		time.Sleep(1200 * time.Millisecond) // the longest pause between two attempts is a second
		update, record := f.last("a")
		g.Expect(record.Value).To(BeEmpty())
		g.Expect(time.Until(update.UnsettledUntil)).To(BeNumerically(">", time.Second))
	})
}

// An entry is disconnected from the store for seconds and reconnects. Soon after, a target
// drops its record before it departs. This drop must be final: if it were attributed to
// expiry, the target would receive requests for two more seconds, longer than allowed.
func TestDropAfterOwnOutageIsFinal(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		log.append("a", "1")
		f := follow(ctx, log, true)
		time.Sleep(time.Second)
		log.setUnavailable(true)
		time.Sleep(4 * time.Second)
		log.setUnavailable(false)
		// The longest pause between two attempts, and the time in which drops are attributed
		// to expiry.
		time.Sleep(1500 * time.Millisecond)
		log.append("a", "")
		time.Sleep(100 * time.Millisecond)
		update, record := f.last("a")
		g.Expect(record.Value).To(BeEmpty())
		g.Expect(update.UnsettledUntil).To(BeZero())
	})
}

// The reader was disconnected from the store; the others were not. Its updates after it
// has reconnected must not make the others attribute a real drop to expiry.
func TestOutageOfReaderDoesNotAffectDropsAtOthers(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		log.append("a", "1")
		f := follow(ctx, log, false)
		time.Sleep(time.Second)
		f.Replicate(at(1), at(2), []feed.Record{{Key: "a", Offset: 1}}, time.Now())
		update, _ := f.last("a")
		g.Expect(update.Replicated).To(BeTrue())
		g.Expect(update.UnsettledUntil).To(BeZero())
	})
}

// The reader terminates without notice. The others must detect that their state gets old
// and read the log themselves, well within the two seconds in which a change must take
// effect.
func TestOthersReadLogWhenReaderTerminates(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		f := follow(ctx, log, false)
		time.Sleep(100 * time.Millisecond)
		for range 5 {
			f.Replicate(at(0), at(0), nil, time.Now())
			time.Sleep(800 * time.Millisecond)
		}
		calls := log.count()
		log.append("a", "1")
		time.Sleep(1300 * time.Millisecond)
		_, record := f.last("a")
		g.Expect(string(record.Value)).To(Equal("1"))
		g.Expect(calls).To(Equal(1), "while the reader sent updates, only the snapshot was read")
	})
}

// The store drops its history while an entry follows it. The requested records are not
// retained, so the entry must read a snapshot and miss nothing.
func TestTruncatedHistoryLeadsToSnapshot(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		log.append("a", "1")
		f := follow(ctx, log, true)
		time.Sleep(100 * time.Millisecond)
		log.append("b", "1")
		log.truncate()
		log.append("c", "1")
		time.Sleep(2 * time.Second)
		update, record := f.last("c")
		g.Expect(string(record.Value)).To(Equal("1"))
		g.Expect(update.Reset).To(BeTrue())
	})
}

// An update that leaves a gap must not be applied: the records in the gap would never be
// read.
func TestUpdateWithGapIsNotApplied(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		f := follow(ctx, log, false)
		time.Sleep(100 * time.Millisecond)
		f.Replicate(at(5), at(6), []feed.Record{{Key: "z", Value: []byte("1"), Offset: 5}}, time.Now())
		_, record := f.last("z")
		g.Expect(record.Key).To(BeEmpty())
	})
}

// An entry was disconnected and missed updates. The gap before the reader's next update
// shows this, and that the store is available. The entry must read at once: until its next
// scheduled read it would be seconds behind and send requests to departed targets.
func TestGapInUpdatesIsReadAtOnce(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		f := follow(ctx, log, false)
		time.Sleep(100 * time.Millisecond)
		for range 3 {
			log.append("a", "1")
		}
		f.Replicate(at(2), at(3), nil, time.Now())
		time.Sleep(100 * time.Millisecond)
		_, record := f.last("a")
		g.Expect(string(record.Value)).To(Equal("1"))
		g.Expect(record.Offset).To(Equal(int64(2)))
	})
}

// The store drops its history while an entry is not the reader. The reader reads a
// snapshot and sends all of it; the entry must apply it without a call of its own.
func TestReplicatedSnapshotIsApplied(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		log.append("a", "1")
		f := follow(ctx, log, false)
		time.Sleep(100 * time.Millisecond)
		calls := log.count()
		f.ReplicateSnapshot(at(9), []feed.Record{{Key: "b", Value: []byte("1"), Offset: 8}}, time.Now())
		update, record := f.last("b")
		g.Expect(string(record.Value)).To(Equal("1"))
		g.Expect(update.Reset).To(BeTrue())
		f.ReplicateSnapshot(at(4), []feed.Record{{Key: "old", Value: []byte("1"), Offset: 3}}, time.Now())
		_, old := f.last("old")
		g.Expect(old.Key).To(BeEmpty(), "an older snapshot changes nothing")
		g.Expect(log.count()).To(Equal(calls))
	})
}

// A large snapshot is being applied when a request ends, and its log line contains the age
// of the list of targets. Reading that age must not wait for the snapshot: the caller would
// be delayed, and so would an update of another topic that depends on the age of this one.
func TestAgeIsReadableWhileUpdateIsApplied(t *testing.T) {
	g := NewWithT(t)
	log := &fakeLog{}
	log.append("a", "1")
	applying, goOn, applied := make(chan struct{}), make(chan struct{}), make(chan struct{})
	f := feed.NewFollower(config, log, feed.Callbacks{
		IsReader: func() bool { return true },
		Apply: func(feed.Update) {
			select {
			case applying <- struct{}{}:
				<-goOn
				close(applied)
			case <-applied:
			}
		},
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go f.Run(ctx)
	<-applying
	ages := make(chan time.Time, 1)
	go func() { ages <- f.AsOf() }()
	g.Eventually(ages, 5*time.Second).Should(Receive(BeZero()), "the update is not applied yet")
	close(goOn)
	<-applied
	g.Eventually(f.AsOf, 5*time.Second).ShouldNot(BeZero())
}

// Guards against a reader that continues at its offset after the log was restored from an older
// copy: the new records before that offset would never be read.
func TestRestoredLogIsReadFromSnapshot(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		for _, key := range []string{"a", "b", "c"} {
			log.append(key, "1")
		}
		f := follow(ctx, log, true)
		time.Sleep(time.Second)
		log.setUnavailable(true)
		log.restore(1)
		log.append("d", "1")
		log.append("e", "1")
		log.append("f", "1")
		time.Sleep(time.Second)
		log.setUnavailable(false)
		time.Sleep(2 * time.Second)
		update, record := f.last("d")
		g.Expect(string(record.Value)).To(Equal("1"))
		g.Expect(update.Reset && update.Restored).To(BeTrue())
		g.Expect(update.From.Generation).To(Equal(int64(0)))
		g.Expect(update.To.Generation).To(Equal(int64(1)))
		log.append("g", "1")
		time.Sleep(time.Second)
		update, _ = f.last("g")
		g.Expect(update.Restored).To(BeFalse(), "once for each generation")
	})
}

// Guards against updates with the state of the log before it was restored, sent by an entry that
// has been disconnected since.
func TestUpdateOfOlderGenerationIsIgnored(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{generation: 2}
		log.append("a", "1")
		f := follow(ctx, log, false)
		time.Sleep(100 * time.Millisecond)
		older := feed.Position{Generation: 1, Offset: 9}
		f.Replicate(feed.Position{Generation: 1, Offset: 1}, older, []feed.Record{{Key: "old", Value: []byte("1"), Offset: 8}}, time.Now())
		f.ReplicateSnapshot(older, []feed.Record{{Key: "old", Value: []byte("1"), Offset: 8}}, time.Now())
		_, record := f.last("old")
		g.Expect(record.Key).To(BeEmpty())
		f.ReplicateSnapshot(feed.Position{Generation: 3}, []feed.Record{{Key: "new", Value: []byte("1")}}, time.Now())
		update, record := f.last("new")
		g.Expect(record.Key).To(Equal("new"))
		g.Expect(update.Restored).To(BeTrue())
	})
}

// Guards against an entry that waits for updates that it has missed: it was disconnected when the
// log was restored, and receives an update of a later generation without the snapshot.
func TestLaterGenerationIsReadAtOnce(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		log.append("a", "1")
		f := follow(ctx, log, false)
		time.Sleep(100 * time.Millisecond)
		log.restore(0)
		log.append("b", "1")
		f.Replicate(feed.Position{Generation: 1, Offset: 1}, feed.Position{Generation: 1, Offset: 1}, nil, time.Now())
		time.Sleep(200 * time.Millisecond)
		update, record := f.last("b")
		g.Expect(string(record.Value)).To(Equal("1"))
		g.Expect(update.Restored).To(BeTrue())
	})
}
