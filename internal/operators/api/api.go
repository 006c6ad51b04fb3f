// Package api defines the paths and the JSON of the operators' interface of an
// entry, which the entry, sycamorectl and the console share. It stands apart
// from the server so that the clients need nothing of an entry. Times are
// milliseconds.
package api

import (
	"encoding/json"

	"sycamoretrail/internal/core/request"
)

// Paths of the interface.
const (
	PathStatus   = "/admin/v1/status"
	PathTargets  = "/admin/v1/targets"
	PathFloors   = "/admin/v1/floors"
	PathExplain  = "/admin/v1/explain"
	PathDocument = "/admin/v1/document"
	PathDrain    = "/admin/v1/drain"
	PathLogLevel = "/admin/v1/log-level"
)

// Status answers GET /admin/v1/status.
type Status struct {
	Entry Member `json:"entry"`
	State string `json:"state"`
	// Version is the document in force here; 0: none yet.
	Version    int64  `json:"version"`
	DocumentID string `json:"document_id"`
	InFlight   int    `json:"in_flight"`
	// LogAvailable: the stream of documents could be read lately.
	LogAvailable bool   `json:"log_available"`
	Peers        []Peer `json:"peers"`
	// WaitingInputs is the length of the core's ring.
	WaitingInputs int `json:"waiting_inputs"`
}

// Member describes an entry.
type Member struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	Zone          string `json:"zone"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
}

// Peer is another entry as this one sees it.
type Peer struct {
	Member
	State    string `json:"state"`
	Version  int64  `json:"version"`
	InFlight int    `json:"in_flight"`
	// Linked: a link stands. SilentMS is the time since its last heartbeat.
	Linked   bool  `json:"linked"`
	SilentMS int64 `json:"silent_ms"`
}

// Targets answers GET /admin/v1/targets.
type Targets struct {
	Targets []Target `json:"targets"`
}

// Target is a target as this entry sees it.
type Target struct {
	Name  string `json:"name"`
	Pool  string `json:"pool"`
	Class string `json:"class"`
	Zone  string `json:"zone"`
	// Scheduler names the entry that gives out its places.
	Scheduler string `json:"scheduler"`
	// Here: the scheduler is this entry, so that the fields below are exact;
	// else they are from its last heartbeat.
	Here         bool    `json:"here"`
	Available    bool    `json:"available"`
	Leaving      bool    `json:"leaving"`
	Straggler    bool    `json:"straggler"`
	Limit        int     `json:"limit"`
	InFlight     int     `json:"in_flight"`
	QueuedByTier []int   `json:"queued_by_tier"`
	PrefillRate  float64 `json:"prefill_rate"`
	StepMS       float64 `json:"step_ms"`
	WaitMS       int64   `json:"wait_ms"`
	Suspects     int     `json:"suspects"`
}

// Floors answers GET /admin/v1/floors.
type Floors struct {
	Floors []Floor `json:"floors"`
}

// Floor says that nothing below a tier is served in a pool for now.
type Floor struct {
	Pool string       `json:"pool"`
	Tier request.Tier `json:"tier"`
	// RemainingMS is how long it stands yet.
	RemainingMS int64 `json:"remaining_ms"`
	// AskedBy names the entry whose request raised it.
	AskedBy string `json:"asked_by"`
}

// Explanation answers GET /admin/v1/explain?id=. Known is false where this entry
// remembers nothing of the request; Owner says which entry may.
type Explanation struct {
	ID        string     `json:"id"`
	Known     bool       `json:"known"`
	Owner     string     `json:"owner"`
	Standing  string     `json:"standing"`
	Decisions []Decision `json:"decisions"`
}

// Decision is one thing that was decided on a request.
type Decision struct {
	// AgeMS is how long ago.
	AgeMS  int64        `json:"age_ms"`
	Event  string       `json:"event"`
	Target string       `json:"target,omitempty"`
	Tier   request.Tier `json:"tier"`
	// TierName is the tier's name in the document in force.
	TierName string `json:"tier_name,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Document answers GET /admin/v1/document. Data is the document's JSON as it
// was published; null: none is in force.
type Document struct {
	Version int64           `json:"version"`
	ID      string          `json:"id"`
	Data    json.RawMessage `json:"document"`
}

// Result is what became of a publication.
type Result string

const (
	// ResultAccepted: in force; Version says as which.
	ResultAccepted Result = "accepted"
	// ResultBeaten: another document came first; Winner is its id.
	ResultBeaten Result = "beaten"
	// ResultUnknown: the log is out or the answer was lost. It may yet come in
	// force; asking again with the same id is harmless.
	ResultUnknown Result = "unknown"
	// ResultInvalid: refused by the check; nothing was published.
	ResultInvalid Result = "invalid"
	// ResultNotPublished: the log said no; nothing was published.
	ResultNotPublished Result = "not_published"
)

// Published answers POST /admin/v1/document.
type Published struct {
	ID      string `json:"id"`
	Result  Result `json:"result"`
	Version int64  `json:"version,omitempty"`
	Winner  string `json:"winner,omitempty"`
	// WinnerVersion is the version of the document that beat this one.
	WinnerVersion int64   `json:"winner_version,omitempty"`
	Faults        []Fault `json:"faults,omitempty"`
	Detail        string  `json:"detail,omitempty"`
}

// Fault is one thing wrong with a document.
type Fault struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// LogLevel is the body of POST /admin/v1/log-level.
type LogLevel struct {
	Level string `json:"level"`
}

// Drain answers POST /admin/v1/drain.
type Drain struct {
	State string `json:"state"`
}

// Failure is the body of every other answer.
type Failure struct {
	Error string `json:"error"`
}
