//go:build dataplane

package main

import (
	"context"
	"net"
	"slices"
	"time"

	"sycamoretrail/internal/callers"
	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/flight"
	"sycamoretrail/internal/targets"
	"sycamoretrail/internal/telemetry"
)

const (
	// maxFlights bounds requests held; the document's limit is below it.
	maxFlights = 8192
	// maxRereads bounds streams of other entries that are read here by token.
	maxRereads = 1024
	// retain is as long as engines hold an ended stream.
	retain      = 30 * time.Second
	retainBytes = 16 << 20
)

// httpDataPlane joins the registry, the targets and the callers.
type httpDataPlane struct {
	*targets.Targets
	*flight.Registry
	callers *callers.Server
	process *process
}

func newDataPlane(p *process) (dataPlane, error) {
	d := &httpDataPlane{process: p}
	d.Registry = flight.NewRegistry(flight.Config{MaxOpen: maxFlights, Retain: retain, RetainBytes: retainBytes})
	d.Targets = targets.New(targets.Config{Core: p.loop, Flights: d.Registry, Log: p.logger, MaxRuns: maxFlights})
	d.callers = callers.New(callers.Config{
		Core:     p.loop,
		View:     p.views.Latest,
		Flights:  d.Registry,
		Rereads:  flight.NewRegistry(flight.Config{MaxOpen: maxRereads, Retain: retain, RetainBytes: retainBytes}),
		Follower: d.Targets,
		TokenKey: []byte(p.settings.SharedKey),
		Metrics:  p.metrics.Handler,
		Observe:  d.observe,
		Log:      p.logger,
	})
	return d, nil
}

// Serve answers callers until Close.
func (d *httpDataPlane) Serve(listener net.Listener) error { return d.callers.Serve(listener) }

// Watch probes the targets that the core wants watched here.
func (d *httpDataPlane) Watch(ctx context.Context) {
	d.Targets.Watch(ctx.Done(), d.process.views.Latest, d.wanted)
}

func (d *httpDataPlane) wanted(target *document.Target) bool {
	return slices.ContainsFunc(d.process.views.Latest().Probes, func(probe document.Target) bool {
		return probe.Name == target.Name
	})
}

// Close ends callers first, since they wait for targets.
func (d *httpDataPlane) Close() {
	if err := d.callers.Shutdown(); err != nil {
		d.process.logger.WithError(err).Warn("callers' listener did not close")
	}
	d.Targets.Close()
}

func (d *httpDataPlane) observe(o callers.Observation) {
	d.process.metrics.Settled(telemetry.Settled{
		Organisation: o.Organisation,
		Tier:         o.Tier,
		Status:       o.Status,
		FirstToken:   o.FirstByte,
		Total:        o.Total,
	})
}
