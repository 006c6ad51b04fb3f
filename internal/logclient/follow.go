package logclient

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/backoff"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/record"
)

const (
	// pollWait is how long a read waits for new records. It bounds the age of the
	// last LogCaughtUp on a stream without new records.
	pollWait = time.Second
	// pollMargin is the time that a read may take beyond its wait.
	pollMargin = 3 * time.Second
	maxRecords = 256
	backoffMin = 100 * time.Millisecond
	backoffMax = 3 * time.Second
	// firstOffset is the first offset of any stream.
	firstOffset = 1
)

// page is the log's answer to a read.
type page struct {
	Next    int64  `json:"next"`
	First   int64  `json:"first"`
	End     int64  `json:"end"`
	Records []item `json:"records"`
}

// item is one record of a page.
type item struct {
	Offset int64  `json:"offset"`
	AgeMS  int64  `json:"age_ms"`
	Data   []byte `json:"data"`
}

func (i item) age() time.Duration { return time.Duration(i.AgeMS) * time.Millisecond }

// follower reads one stream in its own goroutine.
type follower struct {
	log    *Log
	stream record.Stream
	maxAge time.Duration
	ctx    context.Context

	// next is the offset to read from; 0 until the start offset is found.
	next     int64
	caughtUp bool
	down     bool
	failures int
	backoff  backoff.Backoff
}

func newFollower(ctx context.Context, l *Log, f entry.Follow) *follower {
	return &follower{
		log:     l,
		stream:  f.Stream,
		maxAge:  f.Back,
		ctx:     ctx,
		backoff: backoff.Backoff{Min: backoffMin, Max: backoffMax},
	}
}

func (f *follower) run() {
	defer f.log.outages.removeStream(f.stream)
	for f.ctx.Err() == nil {
		err := f.poll()
		if f.ctx.Err() != nil {
			return
		}
		if err != nil {
			f.fail(err)
			continue
		}
		f.failures = 0
		f.backoff.Reset()
	}
}

// poll makes one read and delivers its records.
func (f *follower) poll() error {
	if f.next == 0 {
		start, err := f.seek()
		if err != nil {
			return err
		}
		f.next = start
	}
	wait := time.Duration(0)
	if f.caughtUp {
		wait = f.log.pollWait
	}
	since := f.log.clock()
	page, err := f.read(f.next, maxRecords, wait)
	if err != nil {
		return err
	}
	if err := f.deliverPage(page, since); err != nil || len(page.Records) > 0 {
		return err
	}
	// Without the pause, a log that answers at once instead of waiting would be polled
	// in a busy loop.
	return f.pause(wait - f.log.clock().Sub(since))
}

// deliverPage delivers a page. A gap means that records expired before they were read.
// The core then receives LogDown first, so that it does not rely on its state of the
// stream until it has caught up.
func (f *follower) deliverPage(p page, since time.Time) error {
	if p.End > 0 && p.End < f.next-1 {
		return errEndMovedBack
	}
	if p.First > f.next && f.caughtUp {
		f.reportDown(errAgedOut)
	}
	for _, record := range p.Records {
		if record.Offset < f.next {
			continue
		}
		f.deliver(entry.LogRecord{Stream: f.stream, Offset: record.Offset, Age: record.age(), Data: record.Data})
		f.next = record.Offset + 1
	}
	f.next = max(f.next, p.Next)
	if f.next < p.End {
		return nil
	}
	f.caughtUp = true
	f.down = false
	f.log.outages.streamUp(f.stream)
	f.deliver(entry.LogCaughtUp{Stream: f.stream, Offset: f.next, Since: since})
	return nil
}

// fail switches to the next base URL. Once each has failed in turn, it reports an
// outage and waits before the next attempt.
func (f *follower) fail(cause error) {
	f.log.useNextURL(f.log.base())
	f.failures++
	if f.failures >= len(f.log.urls) {
		f.reportDown(cause)
		f.backoff.Sleep(f.ctx, nil)
	}
}

func (f *follower) reportDown(cause error) {
	f.caughtUp = false
	if !f.down {
		f.down = true
		f.log.outages.streamDown(f.stream, cause)
		f.deliver(entry.LogDown{Stream: f.stream})
	}
}

func (f *follower) deliver(in entry.Input) {
	if f.ctx.Err() == nil {
		f.log.deliver(in)
	}
}

// seek finds the first record that is no older than maxAge, by binary search over the
// offsets: ages fall as offsets rise.
func (f *follower) seek() (int64, error) {
	p, err := f.read(firstOffset, 1, 0)
	if err != nil {
		return 0, err
	}
	low, high := max(p.First, firstOffset), p.End
	if f.maxAge <= 0 {
		return low, nil
	}
	for low < high {
		middle := low + (high-low)/2
		p, err := f.read(middle, 1, 0)
		if err != nil {
			return 0, err
		}
		if len(p.Records) > 0 && p.Records[0].age() > f.maxAge {
			low = p.Records[0].Offset + 1
			continue
		}
		high = middle
	}
	return max(low, firstOffset), nil
}

func (f *follower) read(from int64, max int, wait time.Duration) (page, error) {
	url := fmt.Sprintf("%s/logs/%s/records?from=%d&max=%d&wait_ms=%d", f.log.base(), f.stream, from, max, wait.Milliseconds())
	var p page
	err := call(f.log.client, fasthttp.MethodGet, url, nil, wait+pollMargin, &p)
	var status *statusError
	if errors.As(err, &status) && status.Status == fasthttp.StatusNotFound {
		// A stream is created by its first append; until then it is empty.
		return page{Next: from, First: firstOffset, End: from}, nil
	}
	return p, err
}

// pause waits; it returns the context's error if that ends first.
func (f *follower) pause(wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-f.ctx.Done():
		return f.ctx.Err()
	}
}
