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
	// appendWorkers bounds the appends under way, appendQueue those that wait.
	appendWorkers = 16
	appendQueue   = 256
)

// Deliver hands an input to the core loop; it may wait for room.
type Deliver func(entry.Input)

// Log is the client of the append-only log.
type Log struct {
	urls    []string
	made    atomic.Int64 // appends that took effect, as far as known
	current atomic.Int64
	client  *fasthttp.Client
	traffic Traffic
	deliver Deliver
	clock   func() time.Time
	appends pond.Pool
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	// pollWait is how long a read waits for news.
	pollWait time.Duration

	mutex     sync.Mutex
	followers map[record.Stream]context.CancelFunc
	outages   *outages
}

// NewLog makes a client of the log at the base URLs; logger is told of outages.
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

// Appends is the number of appends that the log has confirmed.
func (l *Log) Appends() int64 { return l.made.Load() }

// Traffic counts what this client sent and received.
func (l *Log) Traffic() *Traffic { return &l.traffic }

// Close ends all reading and waits for the appends under way.
func (l *Log) Close() {
	l.cancel()
	l.appends.StopAndWait()
	l.group.Wait()
}

// Append writes a record in the background and delivers LogAppended. False: too
// many appends wait, nothing was sent and nothing will be delivered.
func (l *Log) Append(a entry.Append) bool {
	_, taken := l.appends.TrySubmit(func() {
		offset, err := l.AppendNow(a.Stream, a.Data)
		l.deliver(appended(a.Tag, offset, err))
	})
	return taken
}

// appended forms the core's input: Failed only for a definite no.
func appended(tag uint64, offset int64, err error) entry.LogAppended {
	if err == nil {
		return entry.LogAppended{Tag: tag, Offset: offset}
	}
	return entry.LogAppended{Tag: tag, Offset: unknownOffset, Failed: definite(err)}
}

// unknownOffset stands where the log gave none.
const unknownOffset = -1

// AppendNow writes a record and waits. An error wraps ErrRefused (no effect) or
// ErrUnknown. Another base URL is tried only after a definite no.
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
			l.made.Add(1)
			return answer.Offset, nil
		}
		if err == nil {
			return unknownOffset, fmt.Errorf("%w: append answered without an offset", ErrUnknown)
		}
		l.moveOn(base)
		if !definite(err) {
			break
		}
	}
	return unknownOffset, classify(err)
}

// base is the URL in use.
func (l *Log) base() string {
	return l.urls[int(l.current.Load())%len(l.urls)]
}

// moveOn leaves a URL that failed, unless another call has done so already.
func (l *Log) moveOn(failed string) {
	current := l.current.Load()
	if l.urls[int(current)%len(l.urls)] == failed {
		l.current.CompareAndSwap(current, current+1)
	}
}

// Follow begins to read a stream; a stream followed already goes on as it is.
// A Back of zero or less means all that the log keeps.
func (l *Log) Follow(f entry.Follow) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, followed := l.followers[f.Stream]; followed || l.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.followers[f.Stream] = cancel
	l.group.Go(func() { newFollower(ctx, l, f).run() })
}

// Unfollow ends the reading of a stream. Records read already may still arrive.
func (l *Log) Unfollow(u entry.Unfollow) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if cancel, followed := l.followers[u.Stream]; followed {
		cancel()
		delete(l.followers, u.Stream)
	}
}
