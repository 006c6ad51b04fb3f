package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/duty"
	"sycamoretrail/internal/platform"
	"sycamoretrail/internal/settings"
)

// process is one running entry: the core loop and the edges round it.
type process struct {
	settings settings.Entry
	loop     *duty.Loop[*entry.Entry]
	log      *platform.Log
}

func newProcess(s settings.Entry, cfg entry.Config) (*process, error) {
	p := &process{settings: s}
	p.loop = duty.NewLoop(entry.New(cfg, time.Now()), time.Now)
	p.log = platform.NewLog(s.Platform.Log, p.loop.Deliver, time.Now)
	return p, nil
}

// run returns nil once drained, and an error when it was told not to wait.
func (p *process) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.loop.Run(ctx)
	return p.wait()
}

// wait turns signals into a drain. A second SIGTERM changes nothing, since a
// planned stop cuts no request; SIGINT after it is the operator's word to stop
// at once.
func (p *process) wait() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	draining := false
	for {
		select {
		case <-p.loop.Drained():
			return nil
		case sig := <-signals:
			if draining && sig == syscall.SIGINT {
				return fmt.Errorf("stopped by %v before the drain was over", sig)
			}
			draining = true
			p.loop.Deliver(entry.DrainStart{})
		}
	}
}
