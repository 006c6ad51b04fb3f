package gateway

import (
	"context"
	"maps"
	"math"
	"time"

	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/poolview"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/gossip"
)

// Load reports announce to the cell what this entry has in flight at targets, so that each
// entry has the load of each target of the cell.

const (
	// loadPause is the least time between two load reports: changes within it are reported
	// together. Requests arrive some milliseconds apart at each entry.
	loadPause = 10 * time.Millisecond
	// loadRepeat is the time after which an unchanged load is reported again; reports expire
	// after three seconds.
	loadRepeat = time.Second
	// totalsFor is how long a changed total is included in each report. Heartbeats contain all
	// totals; if each report did, unchanged totals would make up two thirds of what a report
	// costs its receivers. Two heartbeats make up for the loss of one.
	totalsFor = 2 * heartbeatEvery
	// releasePause is how long a change that takes no slot may wait for the next one that
	// does: reported at once, such changes took a tenth of the processor time of a fleet of
	// 195 entries at its typical load, without more answers in time.
	releasePause = 40 * time.Millisecond
)

// reportLoad reports this entry's load to the cell, soon after each change and, since reports
// expire, from time to time while there is none.
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
		l.send(l.loadReport(load, totals), l.cells.Load().Peers)
		time.Sleep(loadPause)
	}
}

// loadReport builds a report with as many limits and totals as fit.
func (l *links) loadReport(load dispatch.Load, totals map[string]quota.Total) *gossip.Message {
	m := l.message()
	load.Limits, _ = shareOf(&l.limitRotation, load.Limits, limitsBytes, limitBytes)
	m.Load = loadMessage(load)
	space := reportBytes - sizeOf(maps.Keys(load.Limits), limitBytes)
	share, complete := shareOf(&l.reportRotation, totals, space, totalBytes)
	m.Load.Totals, m.Load.Partial = mapValues(share, totalMessage), !complete || l.partial.Load()
	return m
}

// awaitChange waits until there is something to report; it returns false if the context has
// ended. Requests that have ended, or whose prompts have been read, are reported some time
// later, usually together with the next request that takes a slot.
func (l *links) awaitChange(ctx context.Context, idle bool) bool {
	repeat := time.NewTimer(loadRepeat)
	defer repeat.Stop()
	changed := l.gateway.state.loadChanged
	for {
		select {
		case <-ctx.Done():
			return false
		case <-l.gateway.state.loadUrgent:
			return true
		case <-changed:
			// The first change starts the timer; later ones are reported with it.
			changed, idle = nil, false
			repeat.Reset(releasePause)
		case <-repeat.C:
			if !idle {
				return true
			}
			repeat.Reset(loadRepeat)
		}
	}
}

// loadMessage and loadOf convert between the scheduler's load report and the datagram's.
func loadMessage(load dispatch.Load) *gossip.Load {
	samples := make([]gossip.Sample, 0, len(load.Samples))
	for _, s := range load.Samples {
		samples = append(samples, gossip.Sample{Target: s.Target, TokenTime: int64(s.TokenTime), Latency: int64(s.Latency), Longest: int64(s.LongestPause)})
	}
	return &gossip.Load{
		InFlight: load.InFlight, PendingPromptTokens: load.Reading, Samples: samples,
		Waiting:        mapValues(load.Waiting, func(u dispatch.Urgency) uint32 { return uint32(u) }),
		UnresponsiveMS: mapValues(load.Unresponsive, time.Duration.Milliseconds),
		Limits:         mapValues(load.Limits, limitMessage),
		Pools:          mapValues(load.Pools, demandMessage),
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
		samples = append(samples, dispatch.Sample{Target: s.Target, TokenTime: time.Duration(s.TokenTime), Latency: time.Duration(s.Latency), LongestPause: time.Duration(s.Longest)})
	}
	return dispatch.Load{
		InFlight: m.InFlight, Reading: m.PendingPromptTokens, Samples: samples,
		Waiting:      mapValues(m.Waiting, func(u uint32) dispatch.Urgency { return dispatch.Urgency(u) }),
		Unresponsive: mapValues(m.UnresponsiveMS, milliseconds),
		Limits:       mapValues(m.Limits, limitReportOf),
		Pools:        mapValues(m.Pools, demandOf),
	}
}

func demandMessage(d poolview.Demand) gossip.PoolLoad {
	return gossip.PoolLoad{Arriving: workMessage(d.Arriving), Backlog: workMessage(d.Backlog)}
}

// workMessage converts work to milliseconds by rank.
func workMessage(work poolview.Work) []uint32 {
	var message []uint32
	for rank, seconds := range work {
		if ms := uint32(min(math.MaxUint32, math.Ceil(seconds*1000))); ms > 0 {
			for len(message) < rank {
				message = append(message, 0)
			}
			message = append(message, ms)
		}
	}
	return message
}

func demandOf(m gossip.PoolLoad) poolview.Demand {
	return poolview.Demand{Arriving: workOf(m.Arriving), Backlog: workOf(m.Backlog)}
}

// workOf converts milliseconds by rank to work; further ranks count as the last.
func workOf(message []uint32) poolview.Work {
	var work poolview.Work
	for rank, ms := range message {
		work[poolview.RankOf(rank)] += float64(ms) / 1000
	}
	return work
}
