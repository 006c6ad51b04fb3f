// Package eventlog writes one line for each decision, without ever holding up who
// decides: lines wait in a bounded ring and a goroutine of its own writes them. A
// reader of the log that stands still fills the ring, and what finds no room is
// left out and counted. Lines on what succeeded are left out first, those on
// failures and on what the process believes last.
package eventlog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Importance decides what is left out first.
type Importance uint8

const (
	// Routine lines tell of what went as it should.
	Routine Importance = iota
	// Failure lines tell of requests that were not answered.
	Failure
	// Belief lines tell of what the process believes from now on.
	Belief
	importances
)

func (i Importance) String() string { return [...]string{"routine", "failure", "belief"}[i] }

const (
	// routinePerSecond and failurePerSecond bound the lines in a second. An entry of
	// a fifth of a core handles some tens of requests a second; at a few µs a line
	// the bound is under one part in a hundred of that core.
	routinePerSecond = 200
	failurePerSecond = 400
	// waitingLines bounds the lines that wait to be written, some 500 bytes each.
	waitingLines = 1024
)

// Fields are a line's inputs and outcome; see the event constants of each package.
type Fields = logrus.Fields

// Log is a bounded log of decisions.
type Log struct {
	logger *logrus.Logger
	clock  func() time.Time
	lines  chan line
	done   chan struct{}
	closed atomic.Bool

	mutex   sync.Mutex
	second  int64
	written [importances]int
	omitted [importances]int64
	// unsaid is what has been omitted since the last line that said so.
	unsaid int64
}

type line struct {
	at     time.Time
	event  string
	fields Fields
}

// New starts the writer.
func New(logger *logrus.Logger, clock func() time.Time) *Log {
	l := &Log{logger: logger, clock: clock, lines: make(chan line, waitingLines), done: make(chan struct{})}
	go l.write()
	return l
}

// Write hands a line over, or counts it as omitted. It never waits. The fields are
// the log's from then on.
func (l *Log) Write(importance Importance, event string, fields Fields) {
	now := l.clock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed.Load() {
		return
	}
	if second := now.Unix(); second != l.second {
		l.second = second
		l.written = [importances]int{}
	}
	if l.exhausted(importance) {
		l.omit(importance)
		return
	}
	if l.unsaid > 0 {
		fields["omitted_before"] = l.unsaid
	}
	select {
	case l.lines <- line{at: now, event: event, fields: fields}:
		l.written[importance]++
		l.unsaid = 0
	default:
		delete(fields, "omitted_before")
		l.omit(importance)
	}
}

func (l *Log) exhausted(importance Importance) bool {
	switch importance {
	case Routine:
		return l.written[Routine] >= routinePerSecond
	case Failure:
		return l.written[Failure] >= failurePerSecond
	default:
		return false
	}
}

func (l *Log) omit(importance Importance) {
	l.omitted[importance]++
	l.unsaid++
}

// Omitted is the number of lines left out so far, by importance.
func (l *Log) Omitted() map[Importance]int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	omitted := make(map[Importance]int64, importances)
	for i, n := range l.omitted {
		omitted[Importance(i)] = n
	}
	return omitted
}

// Close writes what waits, for at most limit; later lines are not written.
func (l *Log) Close(limit time.Duration) {
	l.mutex.Lock()
	if l.closed.Swap(true) {
		l.mutex.Unlock()
		return
	}
	close(l.lines)
	l.mutex.Unlock()
	select {
	case <-l.done:
	case <-time.After(limit):
	}
}

func (l *Log) write() {
	defer close(l.done)
	for next := range l.lines {
		l.logger.WithTime(next.at).WithFields(next.fields).Info(next.event)
	}
}
