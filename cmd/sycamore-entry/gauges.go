package main

import (
	"context"
	"time"

	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/platform"
	"sycamoretrail/internal/telemetry"
)

const gaugeInterval = time.Second

// reportGauges sets the gauges of the links and the core's ring until the
// context ends. Those of the links count from the start of the process.
func (p *process) reportGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.reportOnce()
		}
	}
}

func (p *process) reportOnce() {
	m := p.metrics
	m.Gauge("core_inputs_waiting", float64(p.loop.Waiting()))
	view := p.views.Latest()
	m.Gauge("document_version", float64(view.Version))
	m.Gauge("ready", readiness(view.State))
	m.Gauge("entries_known", float64(len(view.Entries)))
	usage := telemetry.ReadProcessUsage()
	m.Gauge("process_cpu_seconds", usage.CPU.Seconds())
	m.Gauge("process_resident_bytes", float64(usage.Resident))
	m.Gauge("process_heap_bytes", float64(usage.Heap))
	m.Gauge("process_goroutines", float64(usage.Goroutines))
	m.Gauge("log_appends", float64(p.log.Appends()))
	p.reportTraffic("log", p.log.Traffic())
	p.reportTraffic("instances", p.instances.Traffic())
	stats := p.links.Stats()
	m.Gauge("peer_links", float64(stats.Links))
	m.Gauge("peer_sent_bytes", float64(stats.SentBytes))
	m.Gauge("peer_received_bytes", float64(stats.ReceivedBytes))
	m.Gauge("peer_sent_frames", float64(stats.FramesSent))
	m.Gauge("peer_received_frames", float64(stats.FramesReceived))
	m.Gauge("peer_no_link_messages", float64(stats.NoLink))
	for _, kind := range stats.Kinds {
		name := kind.Kind.String()
		m.GaugeOf("peer_sent_messages", "type", name, float64(kind.Sent))
		m.GaugeOf("peer_sent_message_bytes", "type", name, float64(kind.SentBytes))
		m.GaugeOf("peer_received_messages", "type", name, float64(kind.Received))
		m.GaugeOf("peer_received_message_bytes", "type", name, float64(kind.RBytes))
		m.GaugeOf("peer_dropped_messages", "type", name, float64(kind.Dropped))
	}
}

// reportTraffic sets the bytes exchanged with a part of the platform.
func (p *process) reportTraffic(part string, traffic *platform.Traffic) {
	p.metrics.GaugeOf("platform_sent_bytes", "part", part, float64(traffic.Sent()))
	p.metrics.GaugeOf("platform_received_bytes", "part", part, float64(traffic.Received()))
}

func readiness(state message.State) float64 {
	if state == message.Ready {
		return 1
	}
	return 0
}
