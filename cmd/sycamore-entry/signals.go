package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
)

// drainLogInterval is the time between two log lines on the progress of a drain.
const drainLogInterval = 10 * time.Second

// errDrainAborted is returned if SIGINT ends the process before its drain is complete.
var errDrainAborted = errors.New("stopped by SIGINT before the drain was complete; requests in flight were aborted")

// wait starts a drain on SIGTERM or SIGINT and returns when it is complete. A second
// SIGTERM has no effect, since a planned stop aborts no requests; SIGINT during a drain
// is an operator's confirmation that the remaining requests may be aborted. A listener that has ended starts a
// drain too, after which wait returns its error.
func (p *process) wait() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ticker := time.NewTicker(drainLogInterval)
	defer ticker.Stop()
	draining := false
	var failed error
	for {
		select {
		case <-p.loop.Drained():
			p.logger.Info("drained")
			return failed
		case failed = <-p.listenerEnded:
			if !draining {
				draining = true
				p.Drain()
			}
		case <-ticker.C:
			if p.views.Latest().State == message.Draining {
				p.logDrainProgress()
			}
		case received := <-signals:
			if draining && received == syscall.SIGINT {
				return errDrainAborted
			}
			if draining {
				p.logger.Warn("still draining; SIGINT stops at once and aborts requests in flight")
				continue
			}
			draining = true
			p.logger.WithField("signal", received.String()).Info("stop was asked for")
			p.Drain()
		}
	}
}

// logDrainProgress logs the number of requests that a drain waits for, so that an operator
// can distinguish a long answer from a process that hangs.
func (p *process) logDrainProgress() {
	inFlight := 0
	read := func(e *entry.Entry) { inFlight = e.Status().InFlight }
	if err := p.loop.Do(context.Background(), read); err == nil {
		p.logger.WithField("in_flight", inFlight).Info("still draining")
	}
}
