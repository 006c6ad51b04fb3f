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

// drainLineEvery is the time between two lines about a drain that goes on.
const drainLineEvery = 10 * time.Second

// errCut: an operator ended the process before its drain was over.
var errCut = errors.New("stopped by SIGINT before the drain was over; requests in flight were cut")

// wait turns signals into a drain and returns once it is over. A second SIGTERM
// changes nothing, since a planned stop cuts no request; SIGINT during a drain is
// an operator's confirmation that what is left may be cut.
func (p *process) wait() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ticker := time.NewTicker(drainLineEvery)
	defer ticker.Stop()
	draining := false
	for {
		select {
		case <-p.loop.Drained():
			p.logger.Info("drained")
			return nil
		case <-ticker.C:
			if p.views.Latest().State == message.Draining {
				p.tellDrain()
			}
		case received := <-signals:
			if draining && received == syscall.SIGINT {
				return errCut
			}
			if draining {
				p.logger.Warn("still draining; SIGINT stops at once and cuts what is in flight")
				continue
			}
			draining = true
			p.logger.WithField("signal", received.String()).Info("stop was asked for")
			p.Drain()
		}
	}
}

// tellDrain says what a drain waits for, so that an operator can tell a long
// answer from a process that hangs.
func (p *process) tellDrain() {
	inFlight := 0
	read := func(e *entry.Entry) { inFlight = e.Status().InFlight }
	if err := p.loop.Do(context.Background(), read); err == nil {
		p.logger.WithField("in_flight", inFlight).Info("still draining")
	}
}
