package telemetry

import "time"

// The gateway.
var (
	GatewaySettled = declare(KindCounter, "gateway_requests_total",
		"Requests that the gateway ended, by reason.", "reason")
	GatewayTries = declare(KindCounter, "gateway_tries_total",
		"Times that a request was sent to a target, by outcome.", "outcome")
	GatewayWaiting    = declare(KindGauge, "gateway_requests_waiting", "Requests that wait for a place at a target.")
	GatewayMembers    = declare(KindGauge, "gateway_members", "Entries that may be serving, this one included.")
	GatewayTargetsAge = declare(KindGauge, "gateway_targets_age_seconds",
		"Age of what is known of the targets.")
	GatewayConfigurationAge = declare(KindGauge, "gateway_configuration_age_seconds",
		"Age of what is known of the configuration.")
	GatewayStoreCalls = declare(KindCounter, "gateway_store_steps_total",
		"Steps of following the store, by topic and who read it: own or replicated.", "step")
	GatewayTargetConns      = declare(KindCounter, "gateway_target_connections_total", "Connections opened to targets.")
	GatewaySkippedAnswers   = declare(KindCounter, "gateway_skipped_answers_total", "Answers that were skipped because they belong to other requests.")
	GatewayBuffered         = declare(KindGauge, "gateway_buffered_bytes", "Memory of the bodies of requests, and of the answers that are buffered before they are passed on.")
	GatewayWaitingForMemory = declare(KindGauge, "gateway_requests_waiting_for_memory", "Requests whose body is not read for want of memory.")
	GatewayCallerConns      = declare(KindGauge, "gateway_caller_connections", "Open connections of callers and other entries.")
	GatewayEvictedConns     = declare(KindCounter, "gateway_evicted_connections_total", "Connections that were closed to make room for new ones.")
	GatewayRefusedConns     = declare(KindCounter, "gateway_refused_connections_total", "New connections that were closed because no other could be.")
	GatewayClosedClients    = declare(KindCounter, "gateway_closed_clients_total", "Connections that were closed for what their client did or did not do, by reason.", "reason")
	GatewayAcceptErrors     = declare(KindCounter, "gateway_accept_errors_total", "Errors of accepting connections, by listener.", "listener")
	GatewayHandoffs         = declare(KindCounter, "gateway_handoffs_total",
		"Requests handed off to another entry, by outcome.", "outcome")
	GatewayReconnects = declare(KindCounter, "gateway_stream_reconnects_total",
		"Streams to which callers reconnected, by how their version was determined.", "source")
	GatewayOriginRecords = declare(KindCounter, "gateway_stream_origin_records_total",
		"Appends of the origins of streams to the store, by outcome.", "outcome")
	GatewayContradictions = declare(KindCounter, "gateway_contradicted_promises_total",
		"Answers that promise that a request has not run, which a target may have run, by where they came from.", "source")
	GatewayOrigins           = declare(KindGauge, "gateway_stream_origins", "Streams whose version this entry remembers.")
	GatewayRefusedCauses     = declare(KindGauge, "gateway_refused_causes", "Parts of prompts and whole requests that are refused because targets crashed under them.")
	GatewaySuspectedCauses   = declare(KindGauge, "gateway_suspected_causes", "Parts of prompts and whole requests with evidence of crashes that are not refused.")
	GatewayIsolated          = declare(KindGauge, "gateway_isolated", "1 while this entry reaches no target, else 0.")
	GatewayDatagramsSent     = declare(KindCounter, "gateway_datagrams_sent_total", "Datagrams to other entries.")
	GatewayDatagramsReceived = declare(KindCounter, "gateway_datagrams_received_total", "Datagrams from other entries.")
	GatewayQuotaUsed         = declare(KindGauge, "gateway_quota_used_ratio",
		"Part of an organisation's quota that is used in the window, over all entries as known here.", "organisation")
	GatewayQuotaAssumed = declare(KindGauge, "gateway_quota_assumed_ratio",
		"Part of the quota that is taken for used though nobody has told so.", "organisation")
	GatewayInFlight = declare(KindGauge, "gateway_service_in_flight", "Requests of this entry at the targets of a service.", "service")
	GatewayLoad     = declare(KindGauge, "gateway_service_load",
		"Requests at the targets that this entry's cell uses, over all entries of the cell.", "service")
	GatewayLimit   = declare(KindGauge, "gateway_service_limit", "Requests that the cell may have at these targets at once.", "service")
	GatewayTargets = declare(KindGauge, "gateway_service_targets", "Targets that the cell uses.", "service")
	GatewayEjected = declare(KindGauge, "gateway_service_targets_ejected",
		"Of these, those that get nothing for now: not reached, broken off, unresponsive.", "service")
	GatewayLimited = declare(KindGauge, "gateway_service_targets_limited",
		"Of these, those that declare a limit on their requests a second.", "service")
	GatewayBrittle = declare(KindGauge, "gateway_service_targets_brittle",
		"Of these, those that declare how many rejections a second they bear.", "service")
	GatewayMalformed = declare(KindCounter, "gateway_malformed_declarations_total",
		"Answers whose declaration of the rejections that their target bears can't be read, and is ignored.", "service")
	GatewayInvalidAnswers = declare(KindCounter, "gateway_invalid_answers_total",
		"Answers of targets that violate the protocol.", "service")
	GatewayLateGrants = declare(KindCounter, "gateway_late_grants_total",
		"Requests that got a slot although they were expected to miss their objective.", "service")
	GatewayExcess = declare(KindCounter, "gateway_excess_requests_total",
		"Requests beyond their organisation's pace, by service.", "service")
	GatewayLeasesLent = declare(KindGauge, "gateway_leases_lent",
		"Targets of this entry's cell that it lends to other cells.", "service")
	GatewayLeasesBorrowed = declare(KindGauge, "gateway_leases_borrowed",
		"Targets of other cells that this entry's cell has borrowed.", "service")
	GatewayDroppedAnnouncements = declare(KindCounter, "gateway_dropped_announcements_total",
		"Announcements of leases that were not applied, by reason.", "reason")
	GatewayClosedRanks = declare(KindGauge, "gateway_closed_ranks",
		"Ranks of a service that this entry refuses at the door, as their requests would be late.", "service")
	GatewayPromisedReturns = declare(KindCounter, "gateway_promised_returns_total",
		"Refused callers that were told a time at which there is room for them.", "service")
	GatewayRepeatsLeft = declare(KindGauge, "gateway_retry_budget_left",
		"Repeats that this entry may make now.", "service")
	GatewayRolloutPhase = declare(KindGauge, "gateway_rollout_phase",
		"How far a service's roll-out is: 1 canary, 2 shifting, 3 completed, 4 rolled back; 0: not known.", "service")
	GatewayRolloutNew = declare(KindGauge, "gateway_rollout_new_requests",
		"Requests of this entry that have gone to the new version since the order.", "service")
	GatewayRolloutRequests = declare(KindGauge, "gateway_rollout_requests",
		"Requests of this entry for the service since the order.", "service")
	GatewayLinesOmitted = declare(KindCounter, "gateway_log_lines_omitted_total",
		"Log lines left out, by importance.", "importance")
)

// QuotaUsed sets the parts of an organisation's quota that are used and assumed used.
func (m *Metrics) QuotaUsed(organisation string, used, assumed float64) {
	label := m.organisations.label(organisation)
	m.Set(GatewayQuotaUsed, used, label)
	m.Set(GatewayQuotaAssumed, assumed, label)
}

// RoutedRequest holds what the metrics record of a request that the gateway ended.
type RoutedRequest struct {
	Organisation string
	// Tier is the request's priority.
	Tier string
	// Reason is the reason of its end; ReasonAnswered for a complete answer.
	Reason string
	// First is the time to the first byte of an answer, or 0 if there was none.
	First, Total time.Duration
}

// ReasonAnswered is the reason of requests with a complete answer.
const ReasonAnswered = "answered"

// Routed records a request, by tier and by organisation separately.
func (m *Metrics) Routed(r RoutedRequest) {
	m.scopeFor(GatewaySettled, r.Reason).Counter(GatewaySettled.Name).Inc(1)
	m.group(m.tiers.label(r.Tier), TierAnswer, TierFirst, TierNotAnswered).routed(r)
	m.group(m.organisations.label(r.Organisation), OrganisationAnswer, OrganisationFirst, OrganisationNotAnswered).routed(r)
}

func (g *group) routed(r RoutedRequest) {
	if r.Reason == ReasonAnswered {
		g.answer.RecordDuration(min(r.Total, maxDuration))
	} else {
		g.notAnswered.Inc(1)
	}
	if r.First > 0 {
		g.first.RecordDuration(min(r.First, maxDuration))
	}
}
