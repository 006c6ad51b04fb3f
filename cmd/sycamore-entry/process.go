package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/coreloop"
	"sycamoretrail/internal/decisionlog"
	"sycamoretrail/internal/ingress"
	"sycamoretrail/internal/logclient"
	"sycamoretrail/internal/operators"
	"sycamoretrail/internal/peers"
	"sycamoretrail/internal/recording"
	"sycamoretrail/internal/settings"
	"sycamoretrail/internal/telemetry"
)

// errListen is wrapped by errors of opening the process' addresses.
var errListen = errors.New("cannot listen")

// errListenerEnded is wrapped by the error with which a process ends whose listener has ended by itself.
var errListenerEnded = errors.New("a listener ended")

// roleEntry is the role of entries in the instance list.
const roleEntry = "entry"

// process is one running entry: the core loop and the I/O components connected to it.
type process struct {
	settings  settings.Entry
	logger    *logrus.Logger
	metrics   *telemetry.Metrics
	decisions *decisionlog.Log
	loop      *coreloop.Loop[*entry.Entry]
	log       *logclient.Log
	instances *logclient.Instances
	links     *peers.Links
	data      *dataPlane
	operators *operators.Server
	views     *views
	// recording is nil if the settings have no trace_file.
	recording *recording.Recorder
	// listenerEnded receives the error of the first listener that has ended by itself.
	listenerEnded chan error
}

// newProcess creates all components; none of them listens or connects yet.
func newProcess(s settings.Entry, cfg entry.Config) (*process, error) {
	logger, err := telemetry.NewLogger(os.Stdout, s.LogLevel)
	if err != nil {
		return nil, err
	}
	tls, err := s.TLS.Config()
	if err != nil {
		return nil, err
	}
	p := &process{
		settings: s,
		logger:   logger,

		listenerEnded: make(chan error, 1),
		metrics:       telemetry.NewMetrics(s.Name, s.Zone),
		loop:          coreloop.NewLoop(entry.New(cfg, time.Now()), time.Now),
		views:         newViews(),
	}
	p.decisions = decisionlog.New(logger, time.Now, decisionlog.PerSecond, p.views.tierName)
	p.log = logclient.NewLog(s.Platform.Log, p.loop.Deliver, time.Now, p.logger.WithField("duty", "platform"))
	p.instances = logclient.NewInstances(s.Platform.Instances)
	p.links = peers.New(peers.Options{
		Self: cfg.Self,
		Key:  []byte(s.SharedKey),

		AcceptedKey: []byte(s.AcceptedKey),
		TLS:         tls,
		Seeds:       s.Peers,
		Deliver:     p.loop.Deliver,
		Log:         p.logger.WithField("duty", "peers"),
		ServeFailed: func(err error) { p.noteListenerEnded("peers", err) },
	})
	if s.TraceFile != "" {
		if p.recording, err = recording.Open(s.TraceFile, s.Name, []byte(s.SharedKey), time.Now()); err != nil {
			return nil, err
		}
	}
	p.data = newDataPlane(p)
	if p.operators, err = p.newOperators(); err != nil {
		return nil, err
	}
	p.loop.Connect(coreloop.Edges{
		Targets:   p.data,
		Flights:   p.data,
		Peers:     p.links,
		Platform:  p.log,
		Publisher: p.views,
		Telemetry: p.decisions,
	})
	return p, nil
}

func (p *process) newOperators() (*operators.Server, error) {
	return operators.New(operators.Options{
		TokenSHA256: p.settings.OperatorTokenSHA256,
		Inspector:   &inspector{loop: p.loop, views: p.views},
		Controls:    p,
		Check:       checkDocument,
		Log:         p.log,
		Metrics:     p.metrics.Handler,
		Logger:      p.logger.WithField("duty", "operators"),
	})
}

// run serves until the drain has completed.
func (p *process) run(ctx context.Context) error {
	listeners, err := listen(p.settings, p.logger)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.loop.Run(ctx)
	p.links.Start(listeners.peers)
	go p.serve("operators", func() error { return p.operators.Serve(listeners.operators) })
	go p.serve("callers", func() error { return p.data.Serve(listeners.callers) })
	go p.instances.Poll(ctx, p.listed, p.listFailed)
	go p.reportGauges(ctx)
	p.logger.WithField("version", version).Info("entry started")
	err = p.wait()
	p.close()
	return err
}

func (p *process) serve(name string, serve func() error) {
	if err := serve(); err != nil {
		p.noteListenerEnded(name, err)
	}
}

// noteListenerEnded records that a listener has ended by itself. The process then drains, so that it is no
// longer ready and another one takes its place.
func (p *process) noteListenerEnded(name string, err error) {
	p.logger.WithError(err).WithField("listener", name).Error("listener ended")
	select {
	case p.listenerEnded <- fmt.Errorf("%w: %s: %w", errListenerEnded, name, err):
	default:
	}
}

// listed passes the instance list to the core, which decides on membership, and
// to the links, which connect to every entry in the list.
func (p *process) listed(list entry.InstanceList) {
	addresses := make([]string, 0, len(list.Instances))
	for _, instance := range list.Instances {
		if instance.Role == roleEntry {
			addresses = append(addresses, instance.Address)
		}
	}
	p.links.SetListed(addresses)
	p.loop.Submit(list)
}

func (p *process) listFailed(err error) {
	p.logger.WithError(err).Warn("instance list cannot be read")
}

// Drain begins a planned stop, on SIGTERM or an operator's request.
func (p *process) Drain() {
	p.logger.Info("draining")
	p.loop.Deliver(entry.DrainStart{})
}

// SetLogLevel changes the level while the process runs.
func (p *process) SetLogLevel(level string) error { return telemetry.SetLevel(p.logger, level) }

// close shuts down the I/O components while the core still accepts their inputs.
func (p *process) close() {
	if err := p.data.Close(); err != nil {
		p.logger.WithError(err).Warn("callers' listener did not close")
	}
	p.links.Close()
	p.log.Close()
	if err := p.operators.Close(); err != nil {
		p.logger.WithError(err).Warn("operators' listener did not close")
	}
	if p.recording != nil {
		if err := p.recording.Close(); err != nil {
			p.logger.WithError(err).Warn("trace file did not close")
		}
	}
	if err := p.metrics.Close(); err != nil {
		p.logger.WithError(err).Warn("metrics did not close")
	}
	p.decisions.Close()
}

type listeners struct {
	callers, peers, operators net.Listener
}

// listen opens listeners on all addresses, which go on after errors that pass. The error names every
// address that fails.
func listen(s settings.Entry, logger *logrus.Logger) (listeners, error) {
	var opened listeners
	var faults []error
	for _, opening := range []struct {
		address string
		into    *net.Listener
	}{
		{s.CallersAddress, &opened.callers},
		{s.PeersAddress, &opened.peers},
		{s.OperatorsAddress, &opened.operators},
	} {
		listener, err := net.Listen("tcp", opening.address)
		if err != nil {
			faults = append(faults, fmt.Errorf("%w: %w", errListen, err))
			continue
		}
		log := logger.WithField("address", opening.address)
		*opening.into = &ingress.RetryingListener{
			Listener: listener, OnError: func(err error) { log.WithError(err).Warn("cannot accept a connection") },
		}
	}
	return opened, errors.Join(faults...)
}
