package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Config sets how a Follower reads.
type Config struct {
	Topic Topic
	// Interval is the pause between two reads of the reader.
	Interval time.Duration
	// Wait is how long a read waits at the log for a first record.
	Wait time.Duration
	// Patience is how old an entry's knowledge may get before it reads for itself,
	// although another entry is the reader.
	Patience time.Duration
	// Settle is how long after an outage records that were dropped during it may
	// come back.
	Settle time.Duration
}

const (
	// backoffFirst and backoffMax bound the pause after a failed call; the first is
	// short, since a single lost answer is the most common failure.
	// A reader that has read nothing yet keeps the first pause: it can serve nobody
	// before it has.
	backoffFirst = 100 * time.Millisecond
	backoffMax   = 800 * time.Millisecond
	// backoffStart is the pause between tries for the first snapshot at entries that do
	// not read for others: eighty entries that try ten times a second make more calls
	// than the outage is worth.
	backoffStart = 400 * time.Millisecond
	// backoffOther is the pause of entries that do not read for others: the reader
	// tells them when the log is back.
	backoffOther = 2500 * time.Millisecond
)

// lapseDelay is how long after an outage drops are taken for lapses of that outage.
// They are in the log when it comes back; later ones are as real as any, and keeping
// those would send requests to targets that have left.
const lapseDelay = 300 * time.Millisecond

// Update is a step of the followed records.
type Update struct {
	Topic Topic
	// Reset: Records are all there are; otherwise they change those known.
	Reset   bool
	Records []Record
	// Restored: the log has come back from an older copy since the step before.
	Restored bool
	// From and To are the positions before and after.
	From, To Position
	// AsOf is when the log was in this state.
	AsOf time.Time
	// UnsettledUntil is until when the records dropped by this step may come back;
	// zero: they are gone.
	UnsettledUntil time.Time
	// Replicated: another entry read it and told.
	Replicated bool
}

// Duties are what a Follower calls. All may be called from its goroutine or from
// the one that calls Replicate, one at a time.
type Duties struct {
	// Leads reports whether this entry is the reader.
	Leads func() bool
	// Apply takes a step.
	Apply func(Update)
	// Lost and Regained tell of the log's availability.
	Lost     func(Topic, error)
	Regained func(Topic, time.Duration)
}

// Follower follows one topic.
type Follower struct {
	config Config
	log    Log
	duties Duties
	wake   chan struct{}

	mutex sync.Mutex
	// next is the position to read from; its offset is -1 where a snapshot is due.
	next Position
	// started: a first step has been applied.
	started bool
	// asOf is set once a step is applied. It is read without the mutex, which is held while
	// a step is applied: who writes a line about a request must not wait for that.
	asOf atomic.Pointer[time.Time]
	// failing is when the first of the failed calls in a row was made.
	failing  time.Time
	failures int
	// regained is when the last outage ended.
	regained time.Time
}

// NewFollower makes a follower that knows nothing yet.
func NewFollower(config Config, log Log, duties Duties) *Follower {
	return &Follower{config: config, log: log, duties: duties, wake: make(chan struct{}, 1), next: Position{Offset: -1}}
}

// Run follows until the context ends.
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

// Refresh has the next read made at once, such as after a suspension or when a
// peer has a later version.
func (f *Follower) Refresh() {
	f.mutex.Lock()
	f.asOf.Store(nil)
	f.mutex.Unlock()
	f.nudge()
}

func (f *Follower) nudge() {
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

// pause is how long this entry may rely on the reader.
func (f *Follower) pause() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.next.Offset < 0 || f.AsOf().IsZero() || f.duties.Leads() {
		return 0
	}
	return f.config.Patience - time.Since(f.AsOf())
}

func (f *Follower) backoff() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	pause := min(backoffMax, backoffFirst<<min(f.failures, 4))
	switch {
	case f.next.Offset < 0 && f.duties.Leads():
		pause = backoffFirst
	case f.next.Offset < 0:
		pause = backoffStart
	}
	if f.failures > 1 && f.next.Offset >= 0 && !f.duties.Leads() {
		pause = backoffOther
	}
	return pause*3/4 + rand.N(pause/2)
}

// step makes one call; false: it failed.
func (f *Follower) step() bool {
	f.mutex.Lock()
	from, wait := f.next, f.config.Wait
	if f.failures > 0 {
		// What is in the log when it comes back has to be told from what comes later.
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

// advance applies what is new of records that end before offset to. Another
// entry's news may have been applied since they were asked for.
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
		f.failing = began
		f.duties.Lost(f.config.Topic, err)
	}
	f.failures++
}

func (f *Follower) succeeded() {
	if f.failures == 0 {
		return
	}
	f.failures = 0
	f.regained = time.Now()
	f.duties.Regained(f.config.Topic, time.Since(f.failing))
}

// apply hands a step on. The mutex is held, so that steps keep their order.
func (f *Follower) apply(u Update) {
	u.Topic = f.config.Topic
	u.Restored = f.started && u.To.Generation > f.next.Generation
	f.next, f.started = u.To, true
	if time.Since(f.regained) < lapseDelay {
		u.UnsettledUntil = f.regained.Add(f.config.Settle)
	}
	f.duties.Apply(u)
	if u.AsOf.After(f.AsOf()) {
		f.asOf.Store(&u.AsOf)
	}
}

// Replicate takes what another entry has read. News that leaves a gap, or is of a later
// generation, is not applied: this entry missed some, such as while it was cut off, and
// reads for itself at once. What the other entry suffered says nothing of the log: only who
// failed itself takes drops for lapses.
func (f *Follower) Replicate(from, to Position, records []Record, asOf time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.next.Offset < 0 || to.Generation < f.next.Generation {
		return
	}
	if to.Generation > f.next.Generation || from.Offset > f.next.Offset {
		f.asOf.Store(nil)
		f.nudge()
		return
	}
	f.reached()
	f.advance(records, to, asOf, true)
}

// ReplicateSnapshot takes a whole snapshot that another entry has read.
func (f *Follower) ReplicateSnapshot(to Position, records []Record, asOf time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	older := to.Generation < f.next.Generation || to.Generation == f.next.Generation && to.Offset < f.next.Offset
	if f.next.Offset < 0 || older {
		return
	}
	f.reached()
	f.apply(Update{Reset: true, Records: records, From: f.next, To: to, AsOf: asOf, Replicated: true})
}

// reached ends an outage of which another entry's news shows that it is over.
func (f *Follower) reached() {
	if f.failures > 0 {
		f.succeeded()
		f.nudge()
	}
}

// AsOf is when the log was last known to be in the state that has been applied; zero: it
// is not known to be in any.
func (f *Follower) AsOf() time.Time {
	if asOf := f.asOf.Load(); asOf != nil {
		return *asOf
	}
	return time.Time{}
}
