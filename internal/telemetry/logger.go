// Package telemetry provides the log and the metrics of a process. Neither ever
// contains content of a request, a bearer token or a shared key.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes JSON lines from a level (debug, info, warn,
// error) on.
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
