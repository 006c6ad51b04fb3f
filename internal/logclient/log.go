package logclient

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/record"
)

const (
	appendTimeout = 5 * time.Second
	// appendWorkers bounds the concurrent appends, appendQueue the waiting ones.
	appendWorkers = 16
	appendQueue   = 256
)

// Deliver passes an input to the core loop; it may block while the loop's ring is full.
type Deliver func(entry.Input)

// Log is the client of the append-only log.
type Log struct {
	urls          []string
	confirmed     atomic.Int64 // appends that took effect, as far as known
	current       atomic.Int64
	client        *fasthttp.Client
	traffic       Traffic
	deliver       Deliver
	clock         func() time.Time
	appends       pond.Pool
	ctx           context.Context
	cancel        context.CancelFunc
	followerGroup sync.WaitGroup
	// pollWait is how long a read waits for new records.
	pollWait time.Duration

	mutex     sync.Mutex
	followers map[record.Stream]context.CancelFunc
	outages   *outages
}

// NewLog returns a client of the log at the base URLs, which logs outages to logger.
func NewLog(urls []string, deliver Deliver, clock func() time.Time, logger logrus.FieldLogger) *Log {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Log{
		urls:      urls,
		deliver:   deliver,
		clock:     clock,
		appends:   pond.NewPool(appendWorkers, pond.WithQueueSize(appendQueue), pond.WithNonBlocking(true)),
		ctx:       ctx,
		cancel:    cancel,
		pollWait:  pollWait,
		followers: make(map[record.Stream]context.CancelFunc),
		outages:   newOutages(logger, clock),
	}
	l.client = newClient(&l.traffic)
	return l
}

// Appends returns the number of appends that the log has confirmed.
func (l *Log) Appends() int64 { return l.confirmed.Load() }

// Traffic returns the counters of bytes that this client sent and received.
func (l *Log) Traffic() *Traffic { return &l.traffic }

// Close stops all followers and waits for the appends in progress.
func (l *Log) Close() {
	l.cancel()
	l.appends.StopAndWait()
	l.followerGroup.Wait()
}

// Append writes a record in the background and delivers LogAppended. It returns false
// if too many appends wait; then nothing is sent and nothing is delivered.
func (l *Log) Append(a entry.Append) bool {
	_, taken := l.appends.TrySubmit(func() {
		offset, err := l.AppendNow(a.Stream, a.Data)
		l.deliver(appended(a.Tag, offset, err))
	})
	return taken
}

// appended returns the core's input; Failed is set only if the append certainly had no
// effect.
func appended(tag uint64, offset int64, err error) entry.LogAppended {
	if err == nil {
		return entry.LogAppended{Tag: tag, Offset: offset}
	}
	return entry.LogAppended{Tag: tag, Offset: unknownOffset, Failed: definite(err)}
}

// unknownOffset is the offset of an append that the log did not confirm.
const unknownOffset = -1

// AppendNow writes a record and waits for the answer. An error wraps ErrRefused (no
// effect) or ErrUnknown. Another base URL is tried only if the append certainly had no
// effect.
func (l *Log) AppendNow(stream record.Stream, data []byte) (int64, error) {
	var err error
	for range l.urls {
		base := l.base()
		var answer struct {
			Offset int64 `json:"offset"`
		}
		url := fmt.Sprintf("%s/logs/%s/records", base, stream)
		err = call(l.client, fasthttp.MethodPost, url, data, appendTimeout, &answer)
		if err == nil && answer.Offset > 0 {
			l.confirmed.Add(1)
			return answer.Offset, nil
		}
		if err == nil {
			return unknownOffset, fmt.Errorf("%w: append answered without an offset", ErrUnknown)
		}
		l.useNextURL(base)
		if !definite(err) {
			break
		}
	}
	return unknownOffset, classify(err)
}

// base returns the base URL in use.
func (l *Log) base() string {
	return l.urls[int(l.current.Load())%len(l.urls)]
}

// useNextURL switches from a URL that failed to the next one, unless another call has
// done so already.
func (l *Log) useNextURL(failed string) {
	current := l.current.Load()
	if l.urls[int(current)%len(l.urls)] == failed {
		l.current.CompareAndSwap(current, current+1)
	}
}

// Follow starts reading a stream; it has no effect on a stream that is followed
// already. A Back of zero or less means all records that the log holds.
func (l *Log) Follow(f entry.Follow) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, followed := l.followers[f.Stream]; followed || l.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.followers[f.Stream] = cancel
	l.followerGroup.Go(func() { newFollower(ctx, l, f).run() })
}

// Unfollow stops reading a stream. Records that were read before may still arrive.
func (l *Log) Unfollow(u entry.Unfollow) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if cancel, followed := l.followers[u.Stream]; followed {
		cancel()
		delete(l.followers, u.Stream)
	}
}
