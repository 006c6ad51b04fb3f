// Package document defines the one document in which operators declare their
// whole intent, and checks it. It is the only place where a document is judged:
// the console, the client and every entry use the same check.
package document

import (
	"time"

	"sycamoretrail/internal/core/request"
)

// Schema is the version of the document's form that this build understands.
const Schema = 1

// Document is the operators' whole intent. JSON names are those of the file.
type Document struct {
	// Schema must equal the constant Schema.
	Schema int `json:"schema"`
	// ID is unique for each publication; a second record with it is ignored.
	ID string `json:"id"`
	// Base is the version (log offset) that the author started from; 0: none.
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
	// FirstToken bounds the time to the first token, Deadline the whole answer,
	// for requests that bring no deadline of their own. Milliseconds.
	FirstTokenMS int `json:"first_token_ms"`
	DeadlineMS   int `json:"deadline_ms"`
}

// Organisation is a customer.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are hex SHA-256 of the bearer tokens that identify it.
	KeyHashes []string `json:"key_hashes"`
	// Tiers it may ask for; the first is used when a request names none.
	Tiers []string `json:"tiers"`
	// Models and Services it may use.
	Models   []string `json:"models"`
	Services []string `json:"services,omitempty"`
	// Weight is its share within a tier; 1 is usual.
	Weight float64 `json:"weight"`
	// MaxInFlight bounds its requests at one entry; 0: no bound.
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
	// Version and Adapters are what the pool's targets are ordered to hold;
	// an empty version leaves the targets as they are.
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// ContextTokens bounds prompt and answer together.
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

// TargetKind is what sort of back end a class describes.
type TargetKind string

const (
	KindEngine  TargetKind = "engine"
	KindService TargetKind = "service"
)

// Class describes targets of one make.
type Class struct {
	Name string     `json:"name"`
	Kind TargetKind `json:"kind"`
	// MaxInFlight bounds what is dispatched to one target at a time.
	MaxInFlight int `json:"max_in_flight"`
	// PrefillRate (tokens/s) and StepMS (ms between tokens) are the first
	// estimate, until streams have shown better.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	StepMS      float64 `json:"step_ms,omitempty"`
	// ChecksFencing: the target refuses an order with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// ExportsKV: the target can export and import KV cache.
	ExportsKV bool `json:"exports_kv,omitempty"`
}

// Target is a back end.
type Target struct {
	Name  string `json:"name"`
	Pool  string `json:"pool"`
	Class string `json:"class"`
	Zone  string `json:"zone"`
	// Address is host:port, by IP number.
	Address string `json:"address"`
	// Leaving: the operator wants it emptied; it gets nothing new.
	Leaving bool `json:"leaving,omitempty"`
}

// Limits bound what callers may bring and what an entry holds.
type Limits struct {
	BodyBytes      int `json:"body_bytes"`
	HeaderBytes    int `json:"header_bytes"`
	Connections    int `json:"connections"`
	InFlight       int `json:"in_flight"`        // per entry, requests accepted and not settled
	QueuePerTarget int `json:"queue_per_target"` // offers waiting at one target's scheduler
	RememberedIDs  int `json:"remembered_ids"`   // per entry
	DeadlineMS     int `json:"deadline_ms"`      // the longest that a caller may ask for
	StreamBytes    int `json:"stream_bytes"`     // answer held per request for re-reading
}

// Refusal holds the rules of refusing.
type Refusal struct {
	RetryAfterMinMS int `json:"retry_after_min_ms"`
	RetryAfterMaxMS int `json:"retry_after_max_ms"`
	// Early: refuse at once what the estimate says cannot be in time.
	Early bool `json:"early"`
	// Preempt: cancel lower repeatable work for a higher tier's sake.
	Preempt bool `json:"preempt"`
	// FloorMS is how long a floor stands.
	FloorMS int `json:"floor_ms"`
	// ShortPromptTokens: requests up to this size are short; ShortShare is the
	// part of each target's places kept for them.
	ShortPromptTokens int     `json:"short_prompt_tokens"`
	ShortShare        float64 `json:"short_share"`
	// PrefillBudget bounds prompt tokens in flight per target; 0: no bound.
	PrefillBudget int `json:"prefill_budget"`
}

// Shutdown holds the rules of planned stops.
type Shutdown struct {
	// DrainMS bounds a drain; past it the entry reports what it still holds
	// and goes on waiting (nothing in flight is cut).
	DrainMS int `json:"drain_ms"`
	// EntriesTTLMS is how long an answer to "which entry" is good.
	EntriesTTLMS int `json:"entries_ttl_ms"`
}

// Timing holds the intervals of the protocol between entries.
type Timing struct {
	HeartbeatMS int `json:"heartbeat_ms"`
	// SilenceMS: a peer not heard from for so long loses its targets.
	SilenceMS int `json:"silence_ms"`
	// GrantMS: a grant is void this long after its ask was sent.
	GrantMS int `json:"grant_ms"`
	// ClaimHorizonMS: how long a claimed key is remembered; must stay below
	// the log's retention less a margin.
	ClaimHorizonMS int `json:"claim_horizon_ms"`
	// RetentionMS is how long the platform's log keeps a record.
	RetentionMS int `json:"retention_ms"`
}

// Milliseconds turns a field in milliseconds into a duration.
func Milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// TierRank finds a tier's rank by its name.
func (d *Document) TierRank(name string) (request.Tier, bool) {
	for i := range d.Tiers {
		if d.Tiers[i].Name == name {
			return request.Tier(i), true
		}
	}
	return 0, false
}
