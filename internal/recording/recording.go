// Package recording writes a trace of the requests that an entry takes, in the
// form that sycamore-replay reads: when they came, their sizes, tiers and bounds.
// Content never reaches it, and whatever could be guessed from a plain hash (a
// service call's path, an idempotency key, the prompt's beginning) is written as
// a keyed hash. Entries with the same key write the same hash for the same thing,
// so that their traces can be put together.
package recording

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/replay/trace"
)

const (
	// RingSize bounds the requests that wait to be written.
	RingSize = 4096
	// MaxBytes bounds the file. Instances have no disks, so it takes memory.
	MaxBytes = 64 << 20
	// flushEvery is how long a line may stay in the buffer.
	flushEvery = time.Second
	fileMode   = 0o600
	// Deployment stands in the header; no example document has this name.
	Deployment = "recorded"
)

// ErrFile is wrapped by errors of the file.
var ErrFile = errors.New("trace file")

// Arrival is one request as it was taken.
type Arrival struct {
	Request request.Request
	// Tier is the tier's name.
	Tier string
	// Method and Path are those of a service call; the path is hashed.
	Method, Path string
}

// Recorder writes arrivals on a goroutine of its own.
type Recorder struct {
	arrivals chan Arrival
	done     chan struct{}
	ended    chan struct{}
	written  atomic.Int64
	dropped  atomic.Int64

	out   *bufio.Writer
	file  io.Closer
	bytes int
	hash  hasher
	seen  *memory
	began time.Time
	// lastMS is the time of the line written last, and lines their number.
	lastMS int64
	lines  int
}

// Open makes the file, writes the trace's header and starts the writer. The key
// is secret; began is the instant from which the trace counts.
func Open(path, name string, key []byte, began time.Time) (*Recorder, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFile, err)
	}
	r := newRecorder(file, key, began)
	if err := r.header(name); err != nil {
		_ = file.Close()
		return nil, err
	}
	go r.run()
	return r, nil
}

func newRecorder(file io.WriteCloser, key []byte, began time.Time) *Recorder {
	return &Recorder{
		arrivals: make(chan Arrival, RingSize),
		done:     make(chan struct{}),
		ended:    make(chan struct{}),
		out:      bufio.NewWriter(file),
		file:     file,
		hash:     newHasher(key),
		seen:     newMemory(),
		began:    began,
	}
}

// header writes the first line. The duration is not known yet: replays take the
// last line's time.
func (r *Recorder) header(name string) error {
	header := trace.Header{Format: trace.FormatVersion, Name: name, Deployment: Deployment, Scenario: Deployment}
	if err := r.line(header); err != nil {
		return fmt.Errorf("%w: %w", ErrFile, err)
	}
	return nil
}

// Arrived takes note of a request and never waits: with the ring full it is left
// out and counted.
func (r *Recorder) Arrived(a Arrival) {
	select {
	case r.arrivals <- a:
	default:
		r.dropped.Add(1)
	}
}

// Written and Dropped count requests since the start.
func (r *Recorder) Written() int64 { return r.written.Load() }

// Dropped counts those that the ring or the file had no room for.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Close writes what waits and closes the file. Arrived must not be called after.
func (r *Recorder) Close() error {
	close(r.done)
	<-r.ended
	if err := errors.Join(r.out.Flush(), r.file.Close()); err != nil {
		return fmt.Errorf("%w: %w", ErrFile, err)
	}
	return nil
}

func (r *Recorder) run() {
	defer close(r.ended)
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case a := <-r.arrivals:
			r.write(a)
		case <-ticker.C:
			_ = r.out.Flush() // the error stays with the writer; Close reports it
		case <-r.done:
			r.writeRest()
			return
		}
	}
}

func (r *Recorder) writeRest() {
	for {
		select {
		case a := <-r.arrivals:
			r.write(a)
		default:
			return
		}
	}
}

func (r *Recorder) write(a Arrival) {
	if r.bytes >= MaxBytes || r.line(r.describe(a)) != nil {
		r.dropped.Add(1)
		return
	}
	r.seen.add(&a.Request, r.lines, r.lastMS)
	r.lines++
	r.written.Add(1)
}

func (r *Recorder) line(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	n, err := r.out.Write(append(data, '\n'))
	r.bytes += n
	return err
}
