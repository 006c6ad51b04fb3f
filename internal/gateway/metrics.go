package gateway

import (
	"strconv"
	"time"

	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/telemetry"
)

// observe records a request that has ended in the histograms.
func (g *Gateway) observe(c *call, reason string, now time.Time) {
	first := time.Duration(0)
	if !c.firstAt.IsZero() {
		first = c.firstAt.Sub(c.arrived)
	}
	g.metrics.Routed(telemetry.RoutedRequest{
		Organisation: c.organisation, Tier: strconv.Itoa(c.priority), Reason: reason, First: first, Total: now.Sub(c.arrived),
	})
}

// reportGauges updates the gauges.
func (g *Gateway) reportGauges() {
	version := int64(0)
	if c := g.configuration.Load(); c != nil {
		version = c.Version
	}
	g.state.mutex.Lock()
	waiting := g.state.sched.Waiting()
	members := g.state.peers.Size()
	serving := len(g.state.peers.Serving(time.Now()))
	now := time.Now()
	quotas := g.state.quota.Usage(now)
	services := g.state.sched.Services(now)
	admissions := g.state.sched.AdmissionLoads(now)
	g.reportRollouts()
	refused, suspected := g.state.causes.Quarantined(), g.state.causes.Suspected()
	repeats := make(map[string]float64)
	for _, service := range g.state.budget.Services() {
		repeats[service] = g.state.budget.Left(now, service)
	}
	g.state.mutex.Unlock()
	g.reportShares(quotas, services, repeats)
	g.reportAdmissions(admissions)
	m := g.metrics
	ready := 0.0
	if g.ready() {
		ready = 1
	}
	m.Set(telemetry.Ready, ready)
	isolated := 0.0
	if g.isolation.isolated() {
		isolated = 1
	}
	m.Set(telemetry.GatewayIsolated, isolated)
	m.Set(telemetry.DocumentVersion, float64(version))
	m.Set(telemetry.InFlight, float64(g.running.Load()))
	m.Set(telemetry.EntriesKnown, float64(serving+1))
	m.Set(telemetry.GatewayMembers, float64(members))
	m.Set(telemetry.GatewayWaiting, float64(waiting))
	m.Set(telemetry.GatewayTargetsAge, time.Since(g.targetsAsOf()).Seconds())
	m.Set(telemetry.GatewayConfigurationAge, time.Since(g.feeds.operators.AsOf()).Seconds())
	m.SetTotal(telemetry.GatewayTargetConns, g.pool.Opened())
	m.SetTotal(telemetry.GatewaySkippedAnswers, g.pool.Skipped()+g.handoffs.pool.Skipped())
	m.Set(telemetry.GatewayCallerConns, float64(g.gates.open()))
	evicted, refusedConns := g.gates.closed()
	m.SetTotal(telemetry.GatewayEvictedConns, evicted)
	m.SetTotal(telemetry.GatewayRefusedConns, refusedConns)
	g.closedClients.byReason.each(func(key string, n int64) { m.SetTotal(telemetry.GatewayClosedClients, n, key) })
	g.counters.acceptErrors.each(func(key string, n int64) { m.SetTotal(telemetry.GatewayAcceptErrors, n, key) })
	held, waitingForMemory := g.held.used()
	m.Set(telemetry.GatewayBuffered, float64(held))
	m.Set(telemetry.GatewayWaitingForMemory, float64(waitingForMemory))
	m.SetTotal(telemetry.GatewayDatagramsSent, g.links.conn.Sent.Load())
	m.SetTotal(telemetry.GatewayDatagramsReceived, g.links.conn.Received.Load())
	g.counters.tries.each(func(key string, n int64) { m.SetTotal(telemetry.GatewayTries, n, key) })
	g.counters.handoffs.each(func(key string, n int64) { m.SetTotal(telemetry.GatewayHandoffs, n, key) })
	g.counters.reconnects.each(func(key string, n int64) { m.SetTotal(telemetry.GatewayReconnects, n, key) })
	g.counters.originRecords.each(func(key string, n int64) { m.SetTotal(telemetry.GatewayOriginRecords, n, key) })
	g.counters.malformed.each(func(key string, n int64) { m.SetTotal(telemetry.GatewayMalformed, n, key) })
	g.counters.invalidAnswers.each(func(key string, n int64) { m.SetTotal(telemetry.GatewayInvalidAnswers, n, key) })
	g.counters.contradictions.each(func(key string, n int64) { m.SetTotal(telemetry.GatewayContradictions, n, key) })
	m.Set(telemetry.GatewayRefusedCauses, float64(refused))
	m.Set(telemetry.GatewaySuspectedCauses, float64(suspected))
	m.Set(telemetry.GatewayOrigins, float64(g.origins.size()))
	g.counters.excess.each(func(key string, n int64) { m.SetTotal(telemetry.GatewayExcess, n, key) })
	g.counters.late.each(func(key string, n int64) { m.SetTotal(telemetry.GatewayLateGrants, n, key) })
	g.counters.updates.each(func(key string, n int64) { m.SetTotal(telemetry.GatewayStoreCalls, n, key) })
	g.counters.droppedAnnouncements.each(func(key string, n int64) { m.SetTotal(telemetry.GatewayDroppedAnnouncements, n, key) })
	for importance, n := range g.log.Omitted() {
		m.SetTotal(telemetry.GatewayLinesOmitted, n, importance.String())
	}
}

// reportRollouts updates the gauges of roll-outs. The caller holds the state's mutex.
func (g *Gateway) reportRollouts() {
	for service, known := range g.state.rollouts.services {
		all, onNew := known.tracker.Requests()
		g.metrics.Set(telemetry.GatewayRolloutPhase, float64(known.tracker.Phase()), service)
		g.metrics.Set(telemetry.GatewayRolloutRequests, float64(all), service)
		g.metrics.Set(telemetry.GatewayRolloutNew, float64(onNew), service)
	}
}

// reportAdmissions updates the metrics of admission control.
func (g *Gateway) reportAdmissions(admissions []dispatch.AdmissionLoad) {
	for _, a := range admissions {
		g.metrics.Set(telemetry.GatewayClosedRanks, float64(a.Closed), a.Service)
		g.metrics.SetTotal(telemetry.GatewayPromisedReturns, a.Promises, a.Service)
	}
}

// reportShares updates the gauges of what all entries share: quotas, services and retry
// budgets.
func (g *Gateway) reportShares(quotas map[string]quota.Result, services []dispatch.ServiceLoad, repeats map[string]float64) {
	m := g.metrics
	for organisation, usage := range quotas {
		m.QuotaUsed(organisation, usage.Used/usage.Limit, usage.Assumed/usage.Limit)
	}
	for _, s := range services {
		m.Set(telemetry.GatewayInFlight, float64(s.InFlight), s.Service)
		m.Set(telemetry.GatewayLoad, float64(s.Load), s.Service)
		m.Set(telemetry.GatewayLimit, float64(s.Limit), s.Service)
		m.Set(telemetry.GatewayTargets, float64(s.Targets), s.Service)
		m.Set(telemetry.GatewayEjected, float64(s.Ejected), s.Service)
		m.Set(telemetry.GatewayLimited, float64(s.Limited), s.Service)
		m.Set(telemetry.GatewayBrittle, float64(s.Brittle), s.Service)
		m.Set(telemetry.GatewayLeasesLent, float64(s.Lent), s.Service)
		m.Set(telemetry.GatewayLeasesBorrowed, float64(s.Borrowed), s.Service)
	}
	for service, left := range repeats {
		m.Set(telemetry.GatewayRepeatsLeft, left, service)
	}
}
