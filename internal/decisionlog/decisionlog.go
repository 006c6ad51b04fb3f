// Package decisionlog writes a log line for each decision of the entry's core without
// blocking the core.
package decisionlog

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/reasons"
)

const (
	// PerSecond bounds the lines per second. At full load an entry makes several
	// thousand decisions per second; logging must not cost more than making them.
	PerSecond = 200
	// queueLength bounds the lines that wait to be written.
	queueLength = 1024
)

// EventRefused is the event of a request that was refused before it reached the core.
const EventRefused = "refused"

// Log writes one line for each decision of the core, up to a bound per second. The
// first line after an omission reports the number of omitted lines.
//
// A separate goroutine writes. The core's goroutine decides for all callers; if it
// wrote the lines, each decision would wait for the lines of earlier ones, and a
// blocked reader of the log would stop the whole entry.
type Log struct {
	log      logrus.FieldLogger
	clock    func() time.Time
	limit    int
	tierName func(request.Tier) string
	lines    chan decisionLine
	stop     chan struct{}
	done     chan struct{}

	mutex   sync.Mutex
	second  int64
	written int
	omitted int
}

// decisionLine is a line to write, with the number of lines omitted before it.
type decisionLine struct {
	decision      entry.Decision
	organisation  string
	omittedBefore int
}

// New starts the writer; limit is in lines per second, tierName returns the name of
// a tier for the lines on requests.
func New(log logrus.FieldLogger, clock func() time.Time, limit int, tierName func(request.Tier) string) *Log {
	d := &Log{
		log: log, clock: clock, limit: limit, tierName: tierName,
		lines: make(chan decisionLine, queueLength),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go d.run()
	return d
}

// Decision enqueues a line on a decision, or counts it as omitted. It never blocks.
func (d *Log) Decision(e entry.Decision) { d.enqueue(decisionLine{decision: e}) }

// Refused enqueues a line on a request that was refused before it reached the core;
// id and organisation are empty if they are unknown. The line leaves out the
// refusal's detail, since that repeats texts of the caller.
func (d *Log) Refused(id ident.RequestID, organisation string, reason outcome.Reason) {
	d.enqueue(decisionLine{
		decision:     entry.Decision{ID: id, Event: EventRefused, Reason: reason, Detail: string(outcome.NotRun)},
		organisation: organisation,
	})
}

func (d *Log) enqueue(line decisionLine) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	second := d.clock().Unix()
	if second != d.second {
		d.second, d.written = second, 0
	}
	if d.written >= d.limit {
		d.omitted++
		return
	}
	line.omittedBefore = d.omitted
	select {
	case d.lines <- line:
		d.written++
		d.omitted = 0
	default:
		d.omitted++
	}
}

// Close writes the waiting lines and stops the writer; later decisions are not written.
func (d *Log) Close() {
	close(d.stop)
	<-d.done
}

func (d *Log) run() {
	defer close(d.done)
	for {
		select {
		case line := <-d.lines:
			d.write(&line)
		case <-d.stop:
			d.flush()
			return
		}
	}
}

func (d *Log) flush() {
	for {
		select {
		case line := <-d.lines:
			d.write(&line)
		default:
			return
		}
	}
}

func (d *Log) write(line *decisionLine) {
	e := &line.decision
	fields := logrus.Fields{"event": string(e.Event)}
	addText(fields, "id", string(e.ID))
	addText(fields, "organisation", line.organisation)
	addText(fields, "target", e.Target)
	addText(fields, "detail", e.Detail)
	if e.ID != "" && e.Event != EventRefused {
		addText(fields, "tier", d.tierName(e.Tier))
	}
	addText(fields, "reason", string(e.Reason))
	addText(fields, "why", reasons.Of(e.Reason).Meaning)
	if line.omittedBefore > 0 {
		fields["left_out"] = line.omittedBefore
	}
	d.log.WithFields(fields).Info("decision")
}

func addText(fields logrus.Fields, name, value string) {
	if value != "" {
		fields[name] = value
	}
}
