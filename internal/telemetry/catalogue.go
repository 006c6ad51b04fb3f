package telemetry

// Kind is the Prometheus type of a metric.
type Kind string

const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Metric declares a metric. At /metrics its name has the prefix sycamoretrail_ and
// its series also have the rootLabels.
type Metric struct {
	Name   string
	Kind   Kind
	Help   string
	Labels []string
}

// rootLabels are on each series of an entry.
var rootLabels = []string{"entry", "zone"}

// catalogue lists all metrics in the order of their declaration.
var catalogue []Metric

func declare(kind Kind, name, help string, labels ...string) Metric {
	m := Metric{Name: name, Kind: kind, Help: help, Labels: labels}
	catalogue = append(catalogue, m)
	return m
}

// Requests.
var (
	Requests = declare(KindCounter, "requests_total",
		"Requests that ended, by tier, outcome and reason.", "tier", "outcome", "reason")
	TierAnswer = declare(KindHistogram, "by_tier_answer_seconds",
		"Time from arrival to the end of a whole answer.", "tier")
	TierFirst = declare(KindHistogram, "by_tier_first_token_seconds",
		"Time from arrival to the first chunk.", "tier")
	TierNotAnswered = declare(KindCounter, "by_tier_not_answered_total",
		"Requests that ended without a whole answer.", "tier")
	OrganisationAnswer = declare(KindHistogram, "by_organisation_answer_seconds",
		"Time from arrival to the end of a whole answer.", "organisation")
	OrganisationFirst = declare(KindHistogram, "by_organisation_first_token_seconds",
		"Time from arrival to the first chunk.", "organisation")
	OrganisationNotAnswered = declare(KindCounter, "by_organisation_not_answered_total",
		"Requests that ended without a whole answer.", "organisation")
)

// The state of the entry.
var (
	Ready           = declare(KindGauge, "ready", "1 while the entry takes requests, else 0.")
	DocumentVersion = declare(KindGauge, "document_version", "Version of the document in force here; 0: none.")
	LogAvailable    = declare(KindGauge, "log_available", "1 while the stream of documents can be read, else 0.")
	InputsWaiting   = declare(KindGauge, "core_inputs_waiting", "Inputs in the core's ring of 16,384.")
	InFlight        = declare(KindGauge, "requests_in_flight", "Requests that this entry owns or waits for.")
	IDsRemembered   = declare(KindGauge, "request_ids_remembered", "Request ids in the bounded memory.")
	KeysClaimed     = declare(KindGauge, "claims_held", "Claims of idempotency keys known here.")
	EntriesKnown    = declare(KindGauge, "entries_known", "Entries that callers are told of.")
	PeersNotLinked  = declare(KindGauge, "peers_not_linked", "Known peers without a link.")
	InvalidAnswers  = declare(KindCounter, "invalid_answers_total", "Answers of targets that violate the protocol.")
	RefusedPrefixes = declare(KindGauge, "refused_prompt_beginnings", "Beginnings of prompts that are refused because engines crashed under them.")
	TraceLines      = declare(KindCounter, "trace_lines", "Requests written to trace_file.")
	TraceDropped    = declare(KindCounter, "trace_dropped", "Requests left out of trace_file: its ring or the file was full.")
)

// Targets that this entry schedules, summed over each pool.
var (
	PoolTargets    = declare(KindGauge, "scheduled_targets", "Targets scheduled here.", "pool")
	PoolAvailable  = declare(KindGauge, "scheduled_targets_available", "Of these, those that take requests.", "pool")
	PoolStragglers = declare(KindGauge, "scheduled_targets_straggling", "Of these, those far slower than their peers.", "pool")
	PoolLimit      = declare(KindGauge, "scheduled_limit", "Requests that may be in flight at these targets.", "pool")
	PoolInFlight   = declare(KindGauge, "scheduled_in_flight", "Requests in flight at these targets.", "pool")
	PoolSuspects   = declare(KindGauge, "scheduled_suspects", "Requests held for a trial alone.", "pool")
	PoolQueued     = declare(KindGauge, "scheduled_queued", "Offers that wait.", "pool", "tier")
	PoolFloor      = declare(KindGauge, "floor_tier", "Rank of the lowest tier admitted in the pool, 0 the highest; -1: no floor.", "pool")
)

// Resources of the process, and its traffic with the platform.
var (
	ProcessCPU            = declare(KindGauge, "process_cpu_seconds", "Processor time since the start, user and system.")
	ProcessResident       = declare(KindGauge, "process_resident_bytes", "Memory held, as the system counts it.")
	ProcessHeap           = declare(KindGauge, "process_heap_bytes", "Memory of live and not yet collected objects.")
	ProcessGoroutines     = declare(KindGauge, "process_goroutines", "Goroutines.")
	LogAppends            = declare(KindGauge, "log_appends", "Appends sent to the log since the start.")
	PlatformSentBytes     = declare(KindGauge, "platform_sent_bytes", "Bytes sent to a part of the platform: log, instances.", "part")
	PlatformReceivedBytes = declare(KindGauge, "platform_received_bytes", "Bytes received from it.", "part")
)

// Links to other entries, counted since the start of the process.
var (
	PeerLinks            = declare(KindGauge, "peer_links", "Links that stand.")
	PeerSentBytes        = declare(KindCounter, "peer_sent_bytes", "Bytes of frames sent.")
	PeerReceivedBytes    = declare(KindCounter, "peer_received_bytes", "Bytes of frames received.")
	PeerSentFrames       = declare(KindCounter, "peer_sent_frames", "Frames sent.")
	PeerReceivedFrames   = declare(KindCounter, "peer_received_frames", "Frames received.")
	PeerNoLink           = declare(KindCounter, "peer_no_link_messages", "Messages to peers without a link.")
	PeerSent             = declare(KindCounter, "peer_sent_messages", "Messages sent.", "type")
	PeerSentMessageBytes = declare(KindCounter, "peer_sent_message_bytes", "Bytes of messages sent.", "type")
	PeerReceived         = declare(KindCounter, "peer_received_messages", "Messages received.", "type")
	PeerReceivedMsgBytes = declare(KindCounter, "peer_received_message_bytes", "Bytes of messages received.", "type")
	PeerDropped          = declare(KindCounter, "peer_dropped_messages", "Messages that a full queue left out.", "type")
)
