package main

import (
	"errors"
	"os"
	"os/signal"
	"syscall"
)

// errCut: an operator ended the process before its drain was over.
var errCut = errors.New("stopped by SIGINT before the drain was over; requests in flight were cut")

// wait turns signals into a drain and returns once it is over. A second SIGTERM
// changes nothing, since a planned stop cuts no request; SIGINT during a drain is
// an operator's confirmation that what is left may be cut.
func (p *process) wait() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	draining := false
	for {
		select {
		case <-p.loop.Drained():
			p.logger.Info("drained")
			return nil
		case received := <-signals:
			if draining && received == syscall.SIGINT {
				return errCut
			}
			if draining {
				p.logger.Warn("still draining; SIGINT stops at once and cuts what is in flight")
				continue
			}
			draining = true
			p.logger.WithField("signal", received.String()).Info("draining")
			p.Drain()
		}
	}
}
