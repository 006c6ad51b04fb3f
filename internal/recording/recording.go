// Package recording writes a trace of the requests that an entry accepts, in the
// format that sycamore-replay reads: their arrival times, sizes, tiers and deadlines.
// The trace has no content of requests. Values that could be guessed from a plain
// hash (a service call's path, an idempotency key, the start of a prompt) are written
// as keyed hashes. Entries with the same key write the same hash for the same value,
// so that their traces can be merged.
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
	// MaxBytes bounds the file. Instances have no disks, so the file takes memory.
	MaxBytes = 64 << 20
	// flushInterval is how long a line may stay in the buffer.
	flushInterval = time.Second
	fileMode      = 0o600
	// Deployment is the deployment in the header; no example document has this name.
	Deployment = "recorded"
)

// ErrFile is wrapped by errors of the file.
var ErrFile = errors.New("trace file")

// Arrival is one accepted request.
type Arrival struct {
	Request request.Request
	// Tier is the tier's name.
	Tier string
	// Method and Path are those of a service call; the path is hashed.
	Method, Path string
}

// Recorder writes arrivals on a separate goroutine.
type Recorder struct {
	arrivals chan Arrival
	done     chan struct{}
	ended    chan struct{}
	written  atomic.Int64
	dropped  atomic.Int64

	out     *bufio.Writer
	file    io.Closer
	bytes   int
	hash    hasher
	history *history
	start   time.Time
	// lastMS is the time of the last line, and lines the number of lines.
	lastMS int64
	lines  int
}

// Open creates the file, writes the trace's header and starts the writer. The key
// is secret; the times of the trace count from began.
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
		history:  newHistory(),
		start:    began,
	}
}

// header writes the first line. It has no duration, which is not known yet; replays
// use the time of the last line.
func (r *Recorder) header(name string) error {
	header := trace.Header{Format: trace.FormatVersion, Name: name, Deployment: Deployment, Scenario: Deployment}
	if err := r.line(header); err != nil {
		return fmt.Errorf("%w: %w", ErrFile, err)
	}
	return nil
}

// Arrived enqueues a request and never blocks: if the ring is full, the request is
// dropped and counted.
func (r *Recorder) Arrived(a Arrival) {
	select {
	case r.arrivals <- a:
	default:
		r.dropped.Add(1)
	}
}

// Written returns the number of requests written since the start.
func (r *Recorder) Written() int64 { return r.written.Load() }

// Dropped returns the number of requests dropped since the start, because the ring or
// the file was full.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Close writes the waiting requests and closes the file. Arrived must not be called
// afterwards.
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
	ticker := time.NewTicker(flushInterval)
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
	r.history.add(&a.Request, r.lines, r.lastMS)
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
