package main

import (
	"net"
	"time"

	"sycamoretrail/internal/callers"
	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/coreloop"
	"sycamoretrail/internal/inflight"
	"sycamoretrail/internal/recording"
	"sycamoretrail/internal/targets"
	"sycamoretrail/internal/telemetry"
)

// Bounds of the data plane that the document does not set.
const (
	// maxOpenFlights exceeds any document's limit of requests in flight, which the
	// core enforces by tier; this one only bounds memory.
	maxOpenFlights = 20_000
	// retainAnswers is how long a completed answer can be read again here.
	retainAnswers = 30 * time.Second
	retainBytes   = 64 << 20
	sweepInterval = time.Second
)

// dataPlane holds the components that requests pass through: callers, flights, targets.
type dataPlane struct {
	*targets.Targets
	*inflight.Registry
	callers *callers.Server
	rereads *inflight.Registry
	stop    chan struct{}
}

// coreInputs passes the inputs of the I/O components to the core. Starts and ends of runs,
// departures of callers and completed orders must not be lost; all other inputs are refused
// or dropped when the ring is full.
type coreInputs struct {
	loop    *coreloop.Loop[*entry.Entry]
	targets *targetLog
}

// Submit passes an input to the core. It returns false if the ring is full.
func (c coreInputs) Submit(in entry.Input) bool {
	switch in := in.(type) {
	case entry.TargetState:
		c.targets.note(in)
	case entry.RunEnded, entry.RunStarted, entry.CallerLeft, entry.OrderDone:
		c.loop.Deliver(in)
		return true
	}
	return c.loop.Submit(in)
}

func newDataPlane(p *process) *dataPlane {
	registry := inflight.Config{MaxOpen: maxOpenFlights, Retain: retainAnswers, RetainBytes: retainBytes}
	d := &dataPlane{
		Registry: inflight.NewRegistry(registry),
		rereads:  inflight.NewRegistry(registry),
		stop:     make(chan struct{}),
	}
	core := coreInputs{loop: p.loop, targets: newTargetLog(p.logger.WithField("duty", "targets"))}
	d.Targets = targets.New(targets.Config{Core: core, Flights: d.Registry, Log: p.logger})
	d.callers = callers.New(callers.Config{
		Core: core, View: p.views.current.Load, Flights: d.Registry, Rereads: d.rereads, Follower: d.Targets,
		TokenKey: []byte(p.settings.SharedKey), AcceptedTokenKey: []byte(p.settings.AcceptedKey), Metrics: p.metrics.Handler, Observe: p.observe, Arrived: p.record, Log: p.logger,
	})
	go d.Targets.Watch(d.stop, p.views.current.Load, p.views.probed)
	go d.sweep()
	return d
}

// Serve accepts callers until Close.
func (d *dataPlane) Serve(listener net.Listener) error { return d.callers.Serve(listener) }

// Close shuts down the callers' server first, so that no new requests arrive.
func (d *dataPlane) Close() error {
	close(d.stop)
	err := d.callers.Shutdown()
	d.Targets.Close()
	return err
}

func (d *dataPlane) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
			d.Registry.Sweep()
			d.rereads.Sweep()
		}
	}
}

// observe counts an answered or refused request, and logs a refusal that was decided
// outside the core.
func (p *process) observe(o callers.Observation) {
	if o.Refused {
		p.decisions.Refused(o.ID, o.Organisation, o.Status.Reason)
	}
	p.metrics.Settled(telemetry.Settled{
		Organisation: o.Organisation, Tier: o.Tier, Status: o.Status, FirstToken: o.FirstByte, Total: o.Total,
	})
}

// record adds a request to the trace, if one is written.
func (p *process) record(req *request.Request, tier, method, path string) {
	if p.recording != nil {
		p.recording.Arrived(recording.Arrival{Request: *req, Tier: tier, Method: method, Path: path})
	}
}

// probed reports whether this entry probes a target. It probes those that it schedules.
func (v *views) probed(t *document.Target) bool {
	for i := range v.Latest().Probes {
		if v.Latest().Probes[i].Name == t.Name {
			return true
		}
	}
	return false
}
