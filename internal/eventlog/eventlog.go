// Package eventlog writes one log line for each decision without blocking the deciding
// goroutine: lines wait in a bounded queue, and a separate goroutine writes them. When
// the reader of the log is blocked, the queue fills; further lines are omitted and
// counted. Routine and failure lines are also bounded per second, routine lines more
// strictly; state-change lines are not.
package eventlog

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Importance determines which lines are omitted first.
type Importance uint8

const (
	// Routine lines report expected events.
	Routine Importance = iota
	// Failure lines report requests that were not answered.
	Failure
	// StateChange lines report changes of the state that the process assumes.
	StateChange
	importances
)

func (i Importance) String() string { return [...]string{"routine", "failure", "belief"}[i] }

const (
	// routinePerSecond and failurePerSecond bound the lines per second. An entry with
	// a fifth of a core handles some tens of requests per second; at a few µs per line
	// the bound is under one part in a hundred of that core.
	routinePerSecond = 200
	failurePerSecond = 400
	// queueLength bounds the lines that wait to be written, some 500 bytes each.
	queueLength = 1024
)

// Fields are the fields of a line; see the event constants of each package.
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
	// unreported counts the lines omitted since the last line that reported omissions.
	unreported int64
}

type line struct {
	at     time.Time
	event  string
	fields Fields
}

// New starts the writer.
func New(logger *logrus.Logger, clock func() time.Time) *Log {
	l := &Log{logger: logger, clock: clock, lines: make(chan line, queueLength), done: make(chan struct{})}
	go l.write()
	return l
}

// Write enqueues a line, or counts it as omitted. It never blocks. The caller must not
// use fields afterwards.
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
	shorten(fields)
	if l.unreported > 0 {
		fields["omitted_before"] = l.unreported
	}
	select {
	case l.lines <- line{at: now, event: event, fields: fields}:
		l.written[importance]++
		l.unreported = 0
	default:
		delete(fields, "omitted_before")
		l.omit(importance)
	}
}

// maxText bounds a text of a line: callers choose some of them.
const maxText = 256

// shorten cuts texts that are too long. Of a list of texts it keeps as many as have room.
func shorten(fields Fields) {
	for name, value := range fields {
		switch value := value.(type) {
		case string:
			if len(value) > maxText {
				fields[name] = cut(value)
			}
		case []string:
			fields[name] = cutList(value)
		}
	}
}

func cut(text string) string { return strings.Clone(text[:maxText]) + "..." }

func cutList(texts []string) []string {
	left := 2 * maxText
	for i, text := range texts {
		if len(text) > maxText {
			return append(slices.Clone(texts[:i]), cut(text))
		}
		if left -= len(text); left < 0 {
			return append(slices.Clone(texts[:i]), "...")
		}
	}
	return texts
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
	l.unreported++
}

// Omitted returns the number of lines omitted so far, by importance.
func (l *Log) Omitted() map[Importance]int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	omitted := make(map[Importance]int64, importances)
	for i, n := range l.omitted {
		omitted[Importance(i)] = n
	}
	return omitted
}

// Close writes the waiting lines, for at most limit; later lines are not written.
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
