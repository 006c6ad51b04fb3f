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
	log   logrus.FieldLogger
	clock func() time.Time
	limit int

	mutex   sync.Mutex
	second  int64
	written int
	left    int
}

// NewDecisions makes the writer; limit is in lines a second.
func NewDecisions(log logrus.FieldLogger, clock func() time.Time, limit int) *Decisions {
	return &Decisions{log: log, clock: clock, limit: limit}
}

// Decision writes a line, or counts it.
func (d *Decisions) Decision(e entry.Decision) {
	left, ok := d.admit()
	if !ok {
		return
	}
	fields := logrus.Fields{"event": string(e.Event)}
	addText(fields, "id", string(e.ID))
	addText(fields, "target", e.Target)
	addText(fields, "reason", string(e.Reason))
	addText(fields, "detail", e.Detail)
	if e.ID != "" {
		fields["tier"] = int(e.Tier)
	}
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
