package main

import (
	"context"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/logclient"
	"sycamoretrail/internal/telemetry"
)

const (
	gaugeInterval = time.Second
	// coreReadTicks is the number of gauge intervals between two reads of the core,
	// which block its loop while all targets are listed.
	coreReadTicks = 5
	noFloor       = -1
)

// reportGauges sets the gauges until the context ends.
func (p *process) reportGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.reportEdges()
			if tick%coreReadTicks == 0 {
				p.reportCore(ctx)
			}
		}
	}
}

// reportEdges sets the gauges that can be read without blocking the core's loop.
func (p *process) reportEdges() {
	m := p.metrics
	m.Set(telemetry.InputsWaiting, float64(p.loop.Waiting()))
	view := p.views.Latest()
	m.Set(telemetry.DocumentVersion, float64(view.Version))
	m.Set(telemetry.Ready, boolGauge(view.State == message.Ready))
	m.Set(telemetry.EntriesKnown, float64(len(view.Entries)))
	if p.recording != nil {
		m.SetTotal(telemetry.TraceLines, p.recording.Written())
		m.SetTotal(telemetry.TraceDropped, p.recording.Dropped())
	}
	m.SetTotal(telemetry.InvalidAnswers, p.data.InvalidAnswers())
	p.reportUsage()
	p.reportLinks()
}

func (p *process) reportUsage() {
	m, usage := p.metrics, telemetry.ReadProcessUsage()
	m.Set(telemetry.ProcessCPU, usage.CPU.Seconds())
	m.Set(telemetry.ProcessResident, float64(usage.Resident))
	m.Set(telemetry.ProcessHeap, float64(usage.Heap))
	m.Set(telemetry.ProcessGoroutines, float64(usage.Goroutines))
	m.Set(telemetry.LogAppends, float64(p.log.Appends()))
	p.reportTraffic("log", p.log.Traffic())
	p.reportTraffic("instances", p.instances.Traffic())
}

// reportTraffic sets the bytes exchanged with a part of the platform.
func (p *process) reportTraffic(part string, traffic *logclient.Traffic) {
	p.metrics.Set(telemetry.PlatformSentBytes, float64(traffic.Sent()), part)
	p.metrics.Set(telemetry.PlatformReceivedBytes, float64(traffic.Received()), part)
}

func (p *process) reportLinks() {
	m, stats := p.metrics, p.links.Stats()
	m.Set(telemetry.PeerLinks, float64(stats.Links))
	m.SetTotal(telemetry.PeerSentBytes, stats.SentBytes)
	m.SetTotal(telemetry.PeerReceivedBytes, stats.ReceivedBytes)
	m.SetTotal(telemetry.PeerSentFrames, stats.FramesSent)
	m.SetTotal(telemetry.PeerReceivedFrames, stats.FramesReceived)
	m.SetTotal(telemetry.PeerNoLink, stats.NoLink)
	for _, kind := range stats.Kinds {
		name := kind.Kind.String()
		m.SetTotal(telemetry.PeerSent, kind.Sent, name)
		m.SetTotal(telemetry.PeerSentMessageBytes, kind.SentBytes, name)
		m.SetTotal(telemetry.PeerReceived, kind.Received, name)
		m.SetTotal(telemetry.PeerReceivedMsgBytes, kind.ReceivedBytes, name)
		m.SetTotal(telemetry.PeerDropped, kind.Dropped, name)
	}
}

// reportCore sets the gauges that are read on the core's loop.
func (p *process) reportCore(ctx context.Context) {
	var status entry.Status
	var targets []entry.TargetStatus
	var floors []entry.FloorStatus
	read := func(e *entry.Entry) { status, targets, floors = e.Status(), e.Targets(), e.Floors() }
	if err := p.loop.Do(ctx, read); err != nil {
		return // the loop has stopped
	}
	m := p.metrics
	m.Set(telemetry.LogAvailable, boolGauge(status.LogUp))
	m.Set(telemetry.InFlight, float64(status.InFlight))
	m.Set(telemetry.IDsRemembered, float64(status.RememberedIDs))
	m.Set(telemetry.KeysClaimed, float64(status.ClaimedKeys))
	m.Set(telemetry.RefusedPrefixes, float64(status.RefusedPrefixes))
	unlinked := 0
	for i := range status.Peers {
		if !status.Peers[i].Linked {
			unlinked++
		}
	}
	m.Set(telemetry.PeersNotLinked, float64(unlinked))
	p.reportPools(targets, floors)
}

// poolSums holds sums over the targets of a pool that this entry schedules.
type poolSums struct {
	targets, available, straggling, limit, inFlight, suspects int

	queued []int
}

// reportPools sets gauges per pool: a series for each target would remain at its last
// value whenever the target's scheduler changes.
func (p *process) reportPools(targets []entry.TargetStatus, floors []entry.FloorStatus) {
	doc := p.views.Latest().Document
	if doc == nil {
		return
	}
	sums := make(map[string]*poolSums, len(doc.Pools))
	for i := range doc.Pools {
		sums[doc.Pools[i].Name] = &poolSums{queued: make([]int, len(doc.Tiers))}
	}
	for i := range targets {
		if sum := sums[targets[i].Pool]; sum != nil && targets[i].Here {
			sum.add(&targets[i])
		}
	}
	tiers := make([]string, len(doc.Tiers))
	for i := range doc.Tiers {
		tiers[i] = doc.Tiers[i].Name
	}
	for pool, sum := range sums {
		p.reportPool(pool, sum, tiers)
		p.metrics.Set(telemetry.PoolFloor, noFloor, pool)
	}
	for _, floor := range floors {
		p.metrics.Set(telemetry.PoolFloor, float64(floor.Tier), floor.Pool)
	}
}

func (s *poolSums) add(t *entry.TargetStatus) {
	s.targets++
	s.limit += t.View.Limit
	s.inFlight += t.View.InFlight
	s.suspects += t.View.Suspects
	if t.View.Available {
		s.available++
	}
	if t.View.Straggler {
		s.straggling++
	}
	for tier, waiting := range t.View.Queued {
		if tier < len(s.queued) {
			s.queued[tier] += waiting
		}
	}
}

func (p *process) reportPool(pool string, sum *poolSums, tiers []string) {
	m := p.metrics
	m.Set(telemetry.PoolTargets, float64(sum.targets), pool)
	m.Set(telemetry.PoolAvailable, float64(sum.available), pool)
	m.Set(telemetry.PoolStragglers, float64(sum.straggling), pool)
	m.Set(telemetry.PoolLimit, float64(sum.limit), pool)
	m.Set(telemetry.PoolInFlight, float64(sum.inFlight), pool)
	m.Set(telemetry.PoolSuspects, float64(sum.suspects), pool)
	for i, waiting := range sum.queued {
		m.Set(telemetry.PoolQueued, float64(waiting), pool, tiers[i])
	}
}

func boolGauge(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
