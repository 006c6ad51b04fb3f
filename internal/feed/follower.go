package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Config configures a Follower.
type Config struct {
	Topic Topic
	// Interval is the pause between two reads while this entry is the reader.
	Interval time.Duration
	// Wait is how long a read waits at the log for a first record.
	Wait time.Duration
	// MaxAge is the age of the applied state at which an entry that is not the reader
	// reads the log itself.
	MaxAge time.Duration
	// RenewalTime is how long after an outage records that were dropped during it may be
	// put again.
	RenewalTime time.Duration
}

const (
	// backoffFirst and backoffMax bound the pause after a failed call. The first pause is
	// short, since a single lost answer is the most common failure. A reader that
	// requires a snapshot always uses backoffFirst: until it has one, it has no updates to
	// send to the other entries, and an entry that is starting has no targets.
	backoffFirst = 100 * time.Millisecond
	backoffMax   = 800 * time.Millisecond
	// backoffStart is the pause between attempts to read a required snapshot at entries
	// that are not the reader. With backoffFirst, eighty entries would make ten calls a
	// second each, an excessive load on the log during an outage.
	backoffStart = 400 * time.Millisecond
	// backoffOther is the pause of entries that are not the reader: the reader's updates
	// show them when the log is available again.
	backoffOther = 2500 * time.Millisecond
)

// expiryWindow is how long after an outage dropped records are attributed to expiry during
// that outage. Such drops are in the log when it is available again. Later drops are real:
// if they were ignored, requests would go to targets that have departed.
const expiryWindow = 300 * time.Millisecond

// Update is a change of the followed records.
type Update struct {
	Topic Topic
	// Reset is set if Records is a complete snapshot; otherwise Records are changes.
	Reset   bool
	Records []Record
	// Restored is set if the log was restored from an older copy since the previous update.
	Restored bool
	// From and To are the positions before and after the update.
	From, To Position
	// AsOf is when the log was in this state.
	AsOf time.Time
	// UnsettledUntil is the time until which the records dropped by this update may be put
	// again. Zero means that the drops are final.
	UnsettledUntil time.Time
	// Replicated is set if another entry read the update from the log and sent it.
	Replicated bool
}

// Callbacks are the functions that a Follower calls. They are called from its goroutine
// or from the one that calls Replicate, one at a time.
type Callbacks struct {
	// IsReader reports whether this entry is the reader.
	IsReader func() bool
	// Apply applies an update.
	Apply func(Update)
	// Unavailable and Available report changes of the log's availability. Available gets
	// the duration of the outage.
	Unavailable func(Topic, error)
	Available   func(Topic, time.Duration)
}

// Follower follows one topic.
type Follower struct {
	config    Config
	log       Log
	callbacks Callbacks
	wake      chan struct{}

	mutex sync.Mutex
	// next is the position to read from. Its offset is -1 if a snapshot is required.
	next Position
	// started is set once a first update has been applied.
	started bool
	// asOf is set once an update has been applied. It is read without the mutex, which is
	// held while an update is applied: a log line about a request must not wait for that.
	asOf atomic.Pointer[time.Time]
	// failingSince is the start of the first of the consecutive failed calls.
	failingSince time.Time
	failures     int
	// recoveredAt is the time at which the last outage ended.
	recoveredAt time.Time
}

// NewFollower returns a follower without any records.
func NewFollower(config Config, log Log, callbacks Callbacks) *Follower {
	return &Follower{config: config, log: log, callbacks: callbacks, wake: make(chan struct{}, 1), next: Position{Offset: -1}}
}

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if pause := f.pause(); pause > 0 {
			f.sleep(ctx, pause)
			continue
		}
		if f.step() {
			f.sleep(ctx, f.config.Interval)
			continue
		}
		f.sleep(ctx, f.backoff())
	}
}

// Refresh causes an immediate read, for example after a suspension of the process or when
// a peer has a later version.
func (f *Follower) Refresh() {
	f.mutex.Lock()
	f.asOf.Store(nil)
	f.mutex.Unlock()
	f.wakeUp()
}

func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wake:
	}
}

// pause returns how long this entry may still rely on the reader.
func (f *Follower) pause() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.next.Offset < 0 || f.AsOf().IsZero() || f.callbacks.IsReader() {
		return 0
	}
	return f.config.MaxAge - time.Since(f.AsOf())
}

func (f *Follower) backoff() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	pause := min(backoffMax, backoffFirst<<min(f.failures, 4))
	switch {
	case f.next.Offset < 0 && f.callbacks.IsReader():
		pause = backoffFirst
	case f.next.Offset < 0:
		pause = backoffStart
	}
	if f.failures > 1 && f.next.Offset >= 0 && !f.callbacks.IsReader() {
		pause = backoffOther
	}
	return pause*3/4 + rand.N(pause/2)
}

// step makes one call and reports whether it succeeded.
func (f *Follower) step() bool {
	f.mutex.Lock()
	from, wait := f.next, f.config.Wait
	if f.failures > 0 {
		// Records that are in the log when it is available again must be read separately
		// from later ones.
		wait = 0
	}
	f.mutex.Unlock()
	began := time.Now()
	var records []Record
	var to Position
	var err error
	if from.Offset < 0 {
		records, to, err = f.log.Snapshot(f.config.Topic)
	} else {
		records, to, err = f.log.Read(f.config.Topic, from, wait)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if errors.Is(err, ErrTruncated) {
		f.next.Offset = -1
		return true
	}
	if err == nil && to.Generation < f.next.Generation {
		err = errOlder
	}
	if err != nil {
		f.failed(began, err)
		return false
	}
	f.succeeded()
	asOf := began
	if len(records) == 0 && from.Offset >= 0 {
		asOf = began.Add(wait)
	}
	if from.Offset < 0 {
		f.apply(Update{Reset: true, Records: records, From: from, To: to, AsOf: asOf})
		return true
	}
	f.advance(records, to, asOf, false)
	return true
}

// advance applies those of the records, which end before offset to, that are new. Updates
// of another entry may have been applied since the records were requested.
func (f *Follower) advance(records []Record, to Position, asOf time.Time, replicated bool) {
	if to.Generation != f.next.Generation || to.Offset < f.next.Offset {
		return
	}
	newer := records[:0:0]
	for _, record := range records {
		if record.Offset >= f.next.Offset {
			newer = append(newer, record)
		}
	}
	f.apply(Update{Records: newer, From: f.next, To: to, AsOf: asOf, Replicated: replicated})
}

func (f *Follower) failed(began time.Time, err error) {
	if f.failures == 0 {
		f.failingSince = began
		f.callbacks.Unavailable(f.config.Topic, err)
	}
	f.failures++
}

func (f *Follower) succeeded() {
	if f.failures == 0 {
		return
	}
	f.failures = 0
	f.recoveredAt = time.Now()
	f.callbacks.Available(f.config.Topic, time.Since(f.failingSince))
}

// apply passes an update to Apply. The mutex is held, so that updates keep their order.
func (f *Follower) apply(u Update) {
	u.Topic = f.config.Topic
	u.Restored = f.started && u.To.Generation > f.next.Generation
	f.next, f.started = u.To, true
	if time.Since(f.recoveredAt) < expiryWindow {
		u.UnsettledUntil = f.recoveredAt.Add(f.config.RenewalTime)
	}
	f.callbacks.Apply(u)
	if u.AsOf.After(f.AsOf()) {
		f.asOf.Store(&u.AsOf)
	}
}

// Replicate applies an update that another entry has read. An update that leaves a gap, or
// is of a later generation, is not applied: this entry has missed updates, for example while
// it was disconnected, and reads the log itself at once. An outage seen by the other entry
// does not count: only an entry whose own calls have failed attributes drops to expiry.
func (f *Follower) Replicate(from, to Position, records []Record, asOf time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.next.Offset < 0 || to.Generation < f.next.Generation {
		return
	}
	if to.Generation > f.next.Generation || from.Offset > f.next.Offset {
		f.asOf.Store(nil)
		f.wakeUp()
		return
	}
	f.endOutage()
	f.advance(records, to, asOf, true)
}

// ReplicateSnapshot applies a complete snapshot that another entry has read.
func (f *Follower) ReplicateSnapshot(to Position, records []Record, asOf time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	older := to.Generation < f.next.Generation || to.Generation == f.next.Generation && to.Offset < f.next.Offset
	if f.next.Offset < 0 || older {
		return
	}
	f.endOutage()
	f.apply(Update{Reset: true, Records: records, From: f.next, To: to, AsOf: asOf, Replicated: true})
}

// endOutage ends an outage that is over according to the update of another entry.
func (f *Follower) endOutage() {
	if f.failures > 0 {
		f.succeeded()
		f.wakeUp()
	}
}

// AsOf returns the last time at which the log was known to be in the applied state. Zero
// means that there is no such time.
func (f *Follower) AsOf() time.Time {
	if asOf := f.asOf.Load(); asOf != nil {
		return *asOf
	}
	return time.Time{}
}
