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

var errAway = errors.New("the log is away")

// fakeLog keeps records in memory and fails to order.
type fakeLog struct {
	mutex   sync.Mutex
	records []feed.Record
	first   int64
	away    bool
	calls   int
	// generation counts the copies that the log has come back from.
	generation int64
}

func (l *fakeLog) append(key, value string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records = append(l.records, feed.Record{Key: key, Value: []byte(value), Offset: l.first + int64(len(l.records))})
}

func (l *fakeLog) set(away bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.away = away
}

// forget drops all records from the history; the newest of each key can still be
// had by Snapshot.
func (l *fakeLog) forget() {
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
	if l.away {
		return nil, feed.Position{}, errAway
	}
	return append([]feed.Record(nil), l.records...), l.at(l.first + int64(len(l.records))), nil
}

// at is a position of the log as it is now. The mutex is held.
func (l *fakeLog) at(offset int64) feed.Position {
	return feed.Position{Generation: l.generation, Offset: offset}
}

// restore has the log come back with its first records only.
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
		case l.away:
			l.mutex.Unlock()
			return nil, feed.Position{}, errAway
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

// at is a position in a log that has never been restored.
func at(offset int64) feed.Position { return feed.Position{Offset: offset} }

// followed is a follower with what it has applied.
type followed struct {
	*feed.Follower
	mutex   sync.Mutex
	leads   bool
	updates []feed.Update
	lost    int
}

func (f *followed) last(key string) (feed.Update, feed.Record) {
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

var config = feed.Config{Topic: feed.Targets, Interval: 50 * time.Millisecond, Wait: 800 * time.Millisecond, Patience: 1200 * time.Millisecond, Settle: 2300 * time.Millisecond}

func follow(ctx context.Context, log feed.Log, leads bool) *followed {
	f := &followed{leads: leads}
	f.Follower = feed.NewFollower(config, log, feed.Duties{
		Leads: func() bool { f.mutex.Lock(); defer f.mutex.Unlock(); return f.leads },
		Apply: func(u feed.Update) { f.mutex.Lock(); defer f.mutex.Unlock(); f.updates = append(f.updates, u) },
		Lost:  func(feed.Topic, error) { f.mutex.Lock(); defer f.mutex.Unlock(); f.lost++ },

		Regained: func(feed.Topic, time.Duration) {},
	})
	go f.Run(ctx)
	return f
}

// run plays a scenario on a fake clock.
func run(t *testing.T, scenario func(g *WithT, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		scenario(NewWithT(t), ctx)
		stop()
		time.Sleep(2 * time.Second) // lets a read that waits at the log return
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

// All entries start while the store is away. If each tried as often as the reader,
// eighty of them would make some eight hundred calls a second.
func TestEntriesThatStartLeaveTheTriesToTheReader(t *testing.T) {
	tries := func(leads bool) (count int) {
		run(t, func(_ *WithT, ctx context.Context) {
			log := &fakeLog{away: true}
			follow(ctx, log, leads)
			time.Sleep(2 * time.Second)
			count = log.count()
		})
		return count
	}
	g := NewWithT(t)
	g.Expect(tries(true)).To(BeNumerically(">=", 15))
	g.Expect(tries(false)).To(BeNumerically("<=", 7))
}

// A target lapses while the store is away, because nobody can renew its entry. The
// entries that find its end in the log when the store is back must keep it: it
// lives, and its entry is back within two seconds.
func TestLapseDuringOutageIsKept(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		log.append("a", "1")
		f := follow(ctx, log, true)
		time.Sleep(time.Second)
		log.set(true)
		time.Sleep(4 * time.Second)
		log.append("a", "")
		log.set(false)
		time.Sleep(1200 * time.Millisecond) // the longest pause between two tries is a second
		update, record := f.last("a")
		g.Expect(record.Value).To(BeEmpty())
		g.Expect(time.Until(update.UnsettledUntil)).To(BeNumerically(">", time.Second))
	})
}

// One entry is cut off from the store for seconds and comes back. Soon after, a
// target ends its entry before it leaves. The drop is real: kept as a lapse, the
// target would get requests for two seconds more, later than it may.
func TestDropAfterOwnOutageIsReal(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		log.append("a", "1")
		f := follow(ctx, log, true)
		time.Sleep(time.Second)
		log.set(true)
		time.Sleep(4 * time.Second)
		log.set(false)
		// The longest pause between two tries, and the time in which drops count as lapses.
		time.Sleep(1500 * time.Millisecond)
		log.append("a", "")
		time.Sleep(100 * time.Millisecond)
		update, record := f.last("a")
		g.Expect(record.Value).To(BeEmpty())
		g.Expect(update.UnsettledUntil).To(BeZero())
	})
}

// The reader was cut off from the store; the others were not. What it tells after
// its return must not make the others take a real drop for a lapse.
func TestOutageOfReaderDoesNotUnsettleOthers(t *testing.T) {
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

// The reader dies without a word. The others notice that their knowledge ages and
// read for themselves, well within the two seconds in which a change must count.
func TestOthersReadForThemselvesWhenReaderDies(t *testing.T) {
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
		g.Expect(calls).To(Equal(1), "while the reader told news, only the snapshot was read")
	})
}

// The store drops its history while an entry follows it. The records asked for are
// gone; the entry takes a snapshot and misses nothing.
func TestTruncatedHistoryLeadsToSnapshot(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		log.append("a", "1")
		f := follow(ctx, log, true)
		time.Sleep(100 * time.Millisecond)
		log.append("b", "1")
		log.forget()
		log.append("c", "1")
		time.Sleep(2 * time.Second)
		update, record := f.last("c")
		g.Expect(string(record.Value)).To(Equal("1"))
		g.Expect(update.Reset).To(BeTrue())
	})
}

// News that leaves a gap is not applied: what lies between would be missed for good.
func TestNewsWithGapIsNotApplied(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		f := follow(ctx, log, false)
		time.Sleep(100 * time.Millisecond)
		f.Replicate(at(5), at(6), []feed.Record{{Key: "z", Value: []byte("1"), Offset: 5}}, time.Now())
		_, record := f.last("z")
		g.Expect(record.Key).To(BeEmpty())
	})
}

// An entry was cut off and missed news. When the reader's next news comes, the gap
// shows that the store can be reached; waiting for the next own try would leave the
// entry seconds behind, and send requests to targets that have left.
func TestGapInNewsIsReadAtOnce(t *testing.T) {
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

// The store drops its history while an entry is not the reader. The reader takes a
// snapshot and tells it whole; the entry applies it without a call of its own.
func TestToldSnapshotIsApplied(t *testing.T) {
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

// A large snapshot is being applied when a request ends and its line is to say how old the
// targets are. Its caller would wait for the snapshot, as would a change of another topic
// that has to know how old this one is.
func TestAgeIsToldWhileAStepIsApplied(t *testing.T) {
	g := NewWithT(t)
	log := &fakeLog{}
	log.append("a", "1")
	applying, goOn, applied := make(chan struct{}), make(chan struct{}), make(chan struct{})
	f := feed.NewFollower(config, log, feed.Duties{
		Leads: func() bool { return true },
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
	told := make(chan time.Time, 1)
	go func() { told <- f.AsOf() }()
	g.Eventually(told, 5*time.Second).Should(Receive(BeZero()), "the step is not applied yet")
	close(goOn)
	<-applied
	g.Eventually(f.AsOf, 5*time.Second).ShouldNot(BeZero())
}

// Guards against a reader that goes on at its offset after the log has come back from an older
// copy: what stands before that offset now would never be read.
func TestRestoredLogIsReadAnew(t *testing.T) {
	run(t, func(g *WithT, ctx context.Context) {
		log := &fakeLog{}
		for _, key := range []string{"a", "b", "c"} {
			log.append(key, "1")
		}
		f := follow(ctx, log, true)
		time.Sleep(time.Second)
		log.set(true)
		log.restore(1)
		log.append("d", "1")
		log.append("e", "1")
		log.append("f", "1")
		time.Sleep(time.Second)
		log.set(false)
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

// Guards against news of a log as it was before it was restored, from an entry that has been
// cut off since.
func TestNewsOfAnOlderGenerationIsPassedOver(t *testing.T) {
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

// Guards against an entry that waits for news that it has missed: it was cut off when the log
// was restored, and hears a later generation without the snapshot.
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
