package gateway

import (
	"context"
	"maps"
	"time"

	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/gossip"
)

// Reports tell the cell what this entry has at targets, so that each entry knows the load
// of each target of the cell.

const (
	// loadPause is the least time between two reports of load: changes within it
	// go together. Callers' requests come some milliseconds apart at each entry.
	loadPause = 10 * time.Millisecond
	// loadAgain is the time after which an unchanged load is told again; reports
	// count for three seconds.
	loadAgain = time.Second
	// totalsFor is how long a changed total is told with each report. Heartbeats tell all
	// totals; told with each report, those that have not changed made two thirds of what a
	// report costs its receivers. Two heartbeats cover a lost one.
	totalsFor = 2 * heartbeat
	// settledPause is how long a change that takes no place may wait for the next that does:
	// told at once, such changes took a tenth of the processor time of a fleet of 195 entries
	// at its usual load, and answers were no more often in time.
	settledPause = 40 * time.Millisecond
)

// reportLoad tells the cell what this entry has at targets, soon after it changed,
// and now and then while it does not change, since reports lapse.
func (l *links) reportLoad(ctx context.Context) {
	idle := true
	for {
		if !l.awaitChange(ctx, idle) {
			return
		}
		l.gateway.state.mutex.Lock()
		load := l.gateway.state.sched.OwnLoad(time.Now())
		totals := l.gateway.state.quota.TotalsSince(time.Now().Add(-totalsFor))
		l.gateway.state.mutex.Unlock()
		idle = len(load.InFlight) == 0 && len(load.Unresponsive) == 0 && len(load.Limits) == 0
		l.send(l.loadReport(load, totals), l.cells.Load().Mates)
		time.Sleep(loadPause)
	}
}

// loadReport forms a report: of the limits and totals, as many as have room.
func (l *links) loadReport(load dispatch.Load, totals map[string]quota.Total) *gossip.Message {
	m := l.message()
	load.Limits, _ = shareOf(&l.toldLimits, load.Limits, limitsBytes, limitBytes)
	m.Load = loadMessage(load)
	room := reportBytes - sizeOf(maps.Keys(load.Limits), limitBytes)
	share, whole := shareOf(&l.toldInReports, totals, room, totalBytes)
	m.Load.Totals, m.Load.Partial = mapValues(share, totalMessage), !whole || l.partial.Load()
	return m
}

// awaitChange waits until there is something to report; false: the context has ended.
// Requests that ended, or whose prompts have been read, are reported some time later,
// most often together with the next request that takes a place.
func (l *links) awaitChange(ctx context.Context, idle bool) bool {
	again := time.NewTimer(loadAgain)
	defer again.Stop()
	settled := l.gateway.state.loadSettled
	for {
		select {
		case <-ctx.Done():
			return false
		case <-l.gateway.state.loadTaken:
			return true
		case <-settled:
			// The first change sets the time; those that follow go with it.
			settled, idle = nil, false
			again.Reset(settledPause)
		case <-again.C:
			if !idle {
				return true
			}
			again.Reset(loadAgain)
		}
	}
}

// loadMessage and loadOf translate between the scheduler's report and the datagram's.
func loadMessage(load dispatch.Load) *gossip.Load {
	samples := make([]gossip.Sample, 0, len(load.Samples))
	for _, s := range load.Samples {
		samples = append(samples, gossip.Sample{Target: s.Target, TokenTime: int64(s.TokenTime), Latency: int64(s.Latency), Longest: int64(s.Longest)})
	}
	return &gossip.Load{
		InFlight: load.InFlight, Reading: load.Reading, Samples: samples,
		Waiting:        mapValues(load.Waiting, func(u dispatch.Urgency) uint32 { return uint32(u) }),
		UnresponsiveMS: mapValues(load.Unresponsive, time.Duration.Milliseconds),
		Limits:         mapValues(load.Limits, limitMessage),
	}
}

func limitMessage(r dispatch.LimitReport) gossip.Limit {
	return gossip.Limit{Declared: r.Declared, PerSecond: r.PerSecond, AgeMS: r.Age.Milliseconds(), Sent: r.Sent}
}

func limitReportOf(m gossip.Limit) dispatch.LimitReport {
	return dispatch.LimitReport{
		Limit: dispatch.Limit{Declared: m.Declared, PerSecond: m.PerSecond}, Age: milliseconds(m.AgeMS), Sent: m.Sent,
	}
}

func loadOf(m *gossip.Load) dispatch.Load {
	samples := make([]dispatch.Sample, 0, len(m.Samples))
	for _, s := range m.Samples {
		samples = append(samples, dispatch.Sample{Target: s.Target, TokenTime: time.Duration(s.TokenTime), Latency: time.Duration(s.Latency), Longest: time.Duration(s.Longest)})
	}
	return dispatch.Load{
		InFlight: m.InFlight, Reading: m.Reading, Samples: samples,
		Waiting:      mapValues(m.Waiting, func(u uint32) dispatch.Urgency { return dispatch.Urgency(u) }),
		Unresponsive: mapValues(m.UnresponsiveMS, milliseconds),
		Limits:       mapValues(m.Limits, limitReportOf),
	}
}
