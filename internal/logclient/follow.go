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
	// pollWait is how long a read waits for news. It bounds how old a
	// LogCaughtUp grows on a quiet stream.
	pollWait = time.Second
	// pollMargin is what a read may take beyond its wait.
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
	back   time.Duration
	ctx    context.Context

	// next is the offset to read from; 0 until the start was found.
	next    int64
	caught  bool
	down    bool
	failed  int
	backoff backoff.Backoff
}

func newFollower(ctx context.Context, l *Log, f entry.Follow) *follower {
	return &follower{
		log:     l,
		stream:  f.Stream,
		back:    f.Back,
		ctx:     ctx,
		backoff: backoff.Backoff{Min: backoffMin, Max: backoffMax},
	}
}

func (f *follower) run() {
	defer f.log.outages.forget(f.stream)
	for f.ctx.Err() == nil {
		err := f.round()
		if f.ctx.Err() != nil {
			return
		}
		if err != nil {
			f.fail(err)
			continue
		}
		f.failed = 0
		f.backoff.Reset()
	}
}

// round does one read and delivers what it brought.
func (f *follower) round() error {
	if f.next == 0 {
		start, err := f.seek()
		if err != nil {
			return err
		}
		f.next = start
	}
	wait := time.Duration(0)
	if f.caught {
		wait = f.log.pollWait
	}
	since := f.log.clock()
	page, err := f.read(f.next, maxRecords, wait)
	if err != nil {
		return err
	}
	if err := f.take(page, since); err != nil || len(page.Records) > 0 {
		return err
	}
	// A log that answers at once instead of waiting would be asked without rest.
	return f.pause(wait - f.log.clock().Sub(since))
}

// take delivers a page. A gap means that records aged out before they were read:
// the core hears LogDown first, so that it trusts nothing that it knew of the
// stream until it has caught up.
func (f *follower) take(p page, since time.Time) error {
	if p.End > 0 && p.End < f.next-1 {
		return errWentBack
	}
	if p.First > f.next && f.caught {
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
	f.caught = true
	f.down = false
	f.log.outages.ended(f.stream)
	f.deliver(entry.LogCaughtUp{Stream: f.stream, Offset: f.next, Since: since})
	return nil
}

// fail waits before the next try, and reports an outage once each base URL has
// failed in turn.
func (f *follower) fail(cause error) {
	f.log.moveOn(f.log.base())
	f.failed++
	if f.failed >= len(f.log.urls) {
		f.reportDown(cause)
		f.backoff.Sleep(f.ctx, nil)
	}
}

func (f *follower) reportDown(cause error) {
	f.caught = false
	if !f.down {
		f.down = true
		f.log.outages.began(f.stream, cause)
		f.deliver(entry.LogDown{Stream: f.stream})
	}
}

func (f *follower) deliver(in entry.Input) {
	if f.ctx.Err() == nil {
		f.log.deliver(in)
	}
}

// seek finds the first record that is no older than back, by halving the range
// of offsets: ages fall as offsets rise.
func (f *follower) seek() (int64, error) {
	p, err := f.read(firstOffset, 1, 0)
	if err != nil {
		return 0, err
	}
	low, high := max(p.First, firstOffset), p.End
	if f.back <= 0 {
		return low, nil
	}
	for low < high {
		middle := low + (high-low)/2
		p, err := f.read(middle, 1, 0)
		if err != nil {
			return 0, err
		}
		if len(p.Records) > 0 && p.Records[0].age() > f.back {
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
		// A stream exists from its first append; until then it is empty.
		return page{Next: from, First: firstOffset, End: from}, nil
	}
	return p, err
}

// pause waits; the context's end is its error.
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
