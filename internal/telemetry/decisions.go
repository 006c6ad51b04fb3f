package telemetry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/entry"
)

const (
	// DecisionsPerSecond bounds the lines on decisions. At full load an entry takes
	// several thousand decisions a second; the log must not cost more than they do.
	DecisionsPerSecond = 200
	// decisionsWaiting bounds the lines that wait to be written.
	decisionsWaiting = 1024
)

// Decisions writes one line for each decision of the core, up to a bound for
// each second. What was left out is counted on the next second's first line.
//
// A goroutine of its own writes. The core's goroutine decides for all callers;
// were it to write, each decision would wait for the lines of those before it,
// and a reader of the log that stands still would stop the whole entry.
type Decisions struct {
	log   logrus.FieldLogger
	clock func() time.Time
	limit int
	lines chan decisionLine
	stop  chan struct{}
	done  chan struct{}

	mutex   sync.Mutex
	second  int64
	written int
	left    int
}

// decisionLine is a decision to write, and how many were left out before it.
type decisionLine struct {
	decision entry.Decision
	left     int
}

// NewDecisions starts the writer; limit is in lines a second.
func NewDecisions(log logrus.FieldLogger, clock func() time.Time, limit int) *Decisions {
	d := &Decisions{
		log: log, clock: clock, limit: limit,
		lines: make(chan decisionLine, decisionsWaiting),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go d.run()
	return d
}

// Decision hands a line over, or counts it. It never waits.
func (d *Decisions) Decision(e entry.Decision) {
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
	select {
	case d.lines <- decisionLine{decision: e, left: d.left}:
		d.written++
		d.left = 0
	default:
		d.left++
	}
}

// Close writes what waits and ends the writer; later decisions are not written.
func (d *Decisions) Close() {
	close(d.stop)
	<-d.done
}

func (d *Decisions) run() {
	defer close(d.done)
	for {
		select {
		case line := <-d.lines:
			d.write(line)
		case <-d.stop:
			d.flush()
			return
		}
	}
}

func (d *Decisions) flush() {
	for {
		select {
		case line := <-d.lines:
			d.write(line)
		default:
			return
		}
	}
}

func (d *Decisions) write(line decisionLine) {
	e := &line.decision
	fields := logrus.Fields{"event": string(e.Event)}
	addText(fields, "id", string(e.ID))
	addText(fields, "target", e.Target)
	addText(fields, "reason", string(e.Reason))
	addText(fields, "detail", e.Detail)
	if e.ID != "" {
		fields["tier"] = int(e.Tier)
	}
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
