// Package document defines the document that contains the complete configuration
// declared by the operators, and its checks. The console, the client and every
// entry use the same checks.
package document

import (
	"time"

	"sycamoretrail/internal/core/request"
)

// Schema is the version of the document's schema that this build supports.
const Schema = 1

// Document is the complete configuration. JSON names are those of the file.
type Document struct {
	// Schema must equal the constant Schema.
	Schema int `json:"schema"`
	// ID is unique for each publication. A second record with the same ID is
	// ignored.
	ID string `json:"id"`
	// Base is the version (log offset) that the author started from, 0 if none.
	Base int64 `json:"base"`
	// Comment is the author's note.
	Comment string `json:"comment,omitempty"`

	// Tiers are in order of importance, the highest first.
	Tiers         []Tier         `json:"tiers"`
	Organisations []Organisation `json:"organisations"`
	Pools         []Pool         `json:"pools"`
	Models        []Model        `json:"models"`
	Services      []Service      `json:"services,omitempty"`
	Classes       []Class        `json:"classes"`
	Targets       []Target       `json:"targets"`
	Limits        Limits         `json:"limits"`
	Refusal       Refusal        `json:"refusal"`
	Shutdown      Shutdown       `json:"shutdown"`
	Timing        Timing         `json:"timing"`
}

// Tier is a class of importance.
type Tier struct {
	Name string `json:"name"`
	// FirstTokenMS bounds the time to the first token, DeadlineMS the time to the
	// complete answer, in milliseconds, for requests without a deadline of their
	// own.
	FirstTokenMS int `json:"first_token_ms"`
	DeadlineMS   int `json:"deadline_ms"`
}

// Organisation is a customer.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are hex SHA-256 of the bearer tokens that identify it.
	KeyHashes []string `json:"key_hashes"`
	// Tiers are those that it may request. The first is used if a request names
	// none.
	Tiers []string `json:"tiers"`
	// Models and Services are those that it may use.
	Models   []string `json:"models"`
	Services []string `json:"services,omitempty"`
	// Weight is its relative share within a tier, typically 1.
	Weight float64 `json:"weight"`
	// MaxInFlight bounds its requests in flight at one entry; 0 means no bound.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// Pool is a set of interchangeable targets.
type Pool struct {
	Name string `json:"name"`
}

// Model is a model that a pool of engines serves.
type Model struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Version and Adapters are what the pool's targets are ordered to hold. If
	// Version is empty, the targets receive no orders.
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// ContextTokens bounds the tokens of prompt and answer together.
	ContextTokens int `json:"context_tokens"`
}

// Service is a plain service behind a pool.
type Service struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Repeatable lists methods whose calls are idempotent, such as GET.
	// A call of any other method runs at most once.
	Repeatable []string `json:"repeatable"`
}

// TargetKind is the kind of target that a class describes.
type TargetKind string

const (
	KindEngine  TargetKind = "engine"
	KindService TargetKind = "service"
)

// Class describes targets of one type.
type Class struct {
	Name string     `json:"name"`
	Kind TargetKind `json:"kind"`
	// MaxInFlight bounds the requests in flight at one target.
	MaxInFlight int `json:"max_in_flight"`
	// PrefillRate (tokens/s) and StepMS (ms between tokens) are the initial
	// estimates, used until they are measured from streams.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	StepMS      float64 `json:"step_ms,omitempty"`
	// ChecksFencing reports that targets reject an order with an old fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// ExportsKV reports that targets can export and import KV cache.
	ExportsKV bool `json:"exports_kv,omitempty"`
}

// Target is a back end.
type Target struct {
	Name  string `json:"name"`
	Pool  string `json:"pool"`
	Class string `json:"class"`
	Zone  string `json:"zone"`
	// Address is host:port, where host is an IP address.
	Address string `json:"address"`
	// Leaving reports that the operator drains the target, which gets no new
	// requests.
	Leaving bool `json:"leaving,omitempty"`
}

// Limits bound the requests of callers and the resources of an entry.
type Limits struct {
	BodyBytes      int `json:"body_bytes"`
	HeaderBytes    int `json:"header_bytes"`
	Connections    int `json:"connections"`
	InFlight       int `json:"in_flight"`        // requests accepted and not settled, per entry
	QueuePerTarget int `json:"queue_per_target"` // offers queued at one target's scheduler
	RememberedIDs  int `json:"remembered_ids"`   // per entry
	DeadlineMS     int `json:"deadline_ms"`      // longest deadline that a caller may request
	StreamBytes    int `json:"stream_bytes"`     // buffered answer per request, for re-reading
}

// Refusal configures admission control and load shedding.
type Refusal struct {
	RetryAfterMinMS int `json:"retry_after_min_ms"`
	RetryAfterMaxMS int `json:"retry_after_max_ms"`
	// Early enables refusing a request at once if it cannot meet its deadline
	// according to the estimate.
	Early bool `json:"early"`
	// Preempt enables cancelling idempotent runs of lower tiers in favour of a
	// higher tier.
	Preempt bool `json:"preempt"`
	// FloorMS is how long a tier floor, the lowest tier that a pool admits, is in
	// force.
	FloorMS int `json:"floor_ms"`
	// ShortPromptTokens is the largest prompt of a short request. ShortShare is
	// the part of each target's slots that is reserved for short requests.
	ShortPromptTokens int     `json:"short_prompt_tokens"`
	ShortShare        float64 `json:"short_share"`
	// PrefillBudget bounds the prompt tokens in flight per target; 0 means no bound.
	PrefillBudget int `json:"prefill_budget"`
}

// Shutdown configures planned stops.
type Shutdown struct {
	// DrainMS bounds a drain. After that time the entry reports its remaining
	// requests and continues to wait; no request in flight is aborted.
	DrainMS int `json:"drain_ms"`
	// EntriesTTLMS is how long an answer with the list of entries is valid.
	EntriesTTLMS int `json:"entries_ttl_ms"`
}

// Timing holds the intervals of the protocol between entries.
type Timing struct {
	HeartbeatMS int `json:"heartbeat_ms"`
	// SilenceMS is the failure-detection timeout: a peer without contact for so
	// long loses its targets.
	SilenceMS int `json:"silence_ms"`
	// GrantMS is how long a grant is valid after its offer was sent.
	GrantMS int `json:"grant_ms"`
	// ClaimHorizonMS is how long a claimed key is remembered. It must be below
	// the log's retention less a margin.
	ClaimHorizonMS int `json:"claim_horizon_ms"`
	// RetentionMS is how long the platform's log keeps a record.
	RetentionMS int `json:"retention_ms"`
}

// Milliseconds converts a field in milliseconds to a duration.
func Milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// TierRank returns the rank of the tier with the given name.
func (d *Document) TierRank(name string) (request.Tier, bool) {
	for i := range d.Tiers {
		if d.Tiers[i].Name == name {
			return request.Tier(i), true
		}
	}
	return 0, false
}
