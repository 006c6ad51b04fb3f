// Package decisionlog writes a line for each decision of the entry's core, without ever
// holding the core up.
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
	// PerSecond bounds the lines on decisions. At full load an entry takes
	// several thousand decisions a second; the log must not cost more than they do.
	PerSecond = 200
	// decisionsWaiting bounds the lines that wait to be written.
	decisionsWaiting = 1024
)

// EventRefused marks the line of a request that never reached the core.
const EventRefused = "refused"

// Log writes one line for each decision of the core, up to a bound for
// each second. What was left out is counted on the next second's first line.
//
// A goroutine of its own writes. The core's goroutine decides for all callers;
// were it to write, each decision would wait for the lines of those before it,
// and a reader of the log that stands still would stop the whole entry.
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
	left    int
}

// decisionLine is what to write, and how many lines were left out before it.
type decisionLine struct {
	decision     entry.Decision
	organisation string
	left         int
}

// New starts the writer; limit is in lines a second, tierName gives the
// name of a tier for the lines on requests.
func New(log logrus.FieldLogger, clock func() time.Time, limit int, tierName func(request.Tier) string) *Log {
	d := &Log{
		log: log, clock: clock, limit: limit, tierName: tierName,
		lines: make(chan decisionLine, decisionsWaiting),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go d.run()
	return d
}

// Decision hands a line over, or counts it. It never waits.
func (d *Log) Decision(e entry.Decision) { d.hand(decisionLine{decision: e}) }

// Refused hands over a line on a request that was refused before it reached the
// core: id and organisation are empty where they were not known yet. It has no
// detail of the caller's, since there the detail repeats what the caller wrote.
func (d *Log) Refused(id ident.RequestID, organisation string, reason outcome.Reason) {
	d.hand(decisionLine{
		decision:     entry.Decision{ID: id, Event: EventRefused, Reason: reason, Detail: string(outcome.NotRun)},
		organisation: organisation,
	})
}

func (d *Log) hand(line decisionLine) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	second := d.clock().Unix()
	if second != d.second {
		d.second, d.written = second, 0
	}
	if d.written >= d.limit {
		d.left++
		return
	}
	line.left = d.left
	select {
	case d.lines <- line:
		d.written++
		d.left = 0
	default:
		d.left++
	}
}

// Close writes what waits and ends the writer; later decisions are not written.
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
	if line.left > 0 {
		fields["left_out"] = line.left
	}
	d.log.WithFields(fields).Info("decision")
}

func addText(fields logrus.Fields, name, value string) {
	if value != "" {
		fields[name] = value
	}
}
