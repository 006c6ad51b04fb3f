// Package telemetry holds the logs and metrics of a process. Neither ever shows
// content of a request, a bearer token or a shared key.
package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/reasons"
)

// DecisionsPerSecond bounds the lines on decisions. At full load an entry takes
// several thousand decisions a second; the log must not cost more than they do.
const DecisionsPerSecond = 200

// NewLogger makes a logger that writes JSON lines at a level (debug, info, warn,
// error), with the process' name on each line.
func NewLogger(out io.Writer, level string) (*logrus.Logger, error) {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return logger, SetLevel(logger, level)
}

// SetLevel changes the level while the process runs.
func SetLevel(logger *logrus.Logger, level string) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	logger.SetLevel(parsed)
	return nil
}

// Decisions writes one line for each decision of the core, up to a bound for
// each second. What was left out is counted on the next second's first line.
type Decisions struct {
	log      logrus.FieldLogger
	clock    func() time.Time
	limit    int
	tierName func(request.Tier) string

	mutex   sync.Mutex
	second  int64
	written int
	left    int
}

// NewDecisions makes the writer; limit is in lines a second, tierName gives the
// name of a tier for the lines on requests.
func NewDecisions(log logrus.FieldLogger, clock func() time.Time, limit int, tierName func(request.Tier) string) *Decisions {
	return &Decisions{log: log, clock: clock, limit: limit, tierName: tierName}
}

// Decision writes a line, or counts it.
func (d *Decisions) Decision(e entry.Decision) {
	fields := logrus.Fields{"event": string(e.Event)}
	addText(fields, "id", string(e.ID))
	addText(fields, "target", e.Target)
	addText(fields, "detail", e.Detail)
	if e.ID != "" {
		addText(fields, "tier", d.tierName(e.Tier))
	}
	d.write(fields, e.Reason)
}

// EventRefused marks the line of a request that never reached the core.
const EventRefused = "refused"

// Refused writes a line on a request that was refused before it reached the core:
// id and organisation are empty where they were not known yet. It has no detail,
// since there the detail repeats what the caller wrote.
func (d *Decisions) Refused(id ident.RequestID, organisation string, reason outcome.Reason) {
	fields := logrus.Fields{"event": EventRefused, "detail": string(outcome.NotRun)}
	addText(fields, "id", string(id))
	addText(fields, "organisation", organisation)
	d.write(fields, reason)
}

// write adds the reason with its words, and writes the line or counts it.
func (d *Decisions) write(fields logrus.Fields, reason outcome.Reason) {
	left, ok := d.admit()
	if !ok {
		return
	}
	addText(fields, "reason", string(reason))
	addText(fields, "why", reasons.Of(reason).Meaning)
	if left > 0 {
		fields["left_out"] = left
	}
	d.log.WithFields(fields).Info("decision")
}

// admit returns how many lines were left out in the former seconds.
func (d *Decisions) admit() (int, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	second := d.clock().Unix()
	if second != d.second {
		d.second, d.written = second, 0
	}
	if d.written >= d.limit {
		d.left++
		return 0, false
	}
	d.written++
	left := d.left
	d.left = 0
	return left, true
}

func addText(fields logrus.Fields, name, value string) {
	if value != "" {
		fields[name] = value
	}
}
