// Package api defines the paths and the JSON types of the operators' interface of
// an entry, which the entry, sycamorectl and the console share. It is separate
// from the server so that clients do not depend on packages of the entry. Times
// are in milliseconds.
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
	// Version is the version of the document in force at this entry, or 0 if there
	// is none yet.
	Version    int64  `json:"version"`
	DocumentID string `json:"document_id"`
	InFlight   int    `json:"in_flight"`
	// LogAvailable reports whether recent reads of the document stream succeeded.
	LogAvailable bool   `json:"log_available"`
	Peers        []Peer `json:"peers"`
	// WaitingInputs is the number of inputs queued for the core.
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

// Peer is another entry, as reported to this one.
type Peer struct {
	Member
	State    string `json:"state"`
	Version  int64  `json:"version"`
	InFlight int    `json:"in_flight"`
	// Linked reports whether a link is open. SinceHeartbeatMS is the time since
	// the last heartbeat.
	Linked           bool  `json:"linked"`
	SinceHeartbeatMS int64 `json:"silent_ms"`
}

// Targets answers GET /admin/v1/targets.
type Targets struct {
	Targets []Target `json:"targets"`
}

// Target is the state of a target, as this entry has it.
type Target struct {
	Name  string `json:"name"`
	Pool  string `json:"pool"`
	Class string `json:"class"`
	Zone  string `json:"zone"`
	// Scheduler names the entry that grants the target's slots.
	Scheduler string `json:"scheduler"`
	// ScheduledHere is true if this entry is the scheduler, so that the fields below are
	// exact; otherwise they are from the scheduler's last heartbeat.
	ScheduledHere bool    `json:"here"`
	Available     bool    `json:"available"`
	Leaving       bool    `json:"leaving"`
	Straggler     bool    `json:"straggler"`
	Limit         int     `json:"limit"`
	InFlight      int     `json:"in_flight"`
	QueuedByTier  []int   `json:"queued_by_tier"`
	PrefillRate   float64 `json:"prefill_rate"`
	StepMS        float64 `json:"step_ms"`
	WaitMS        int64   `json:"wait_ms"`
	Suspects      int     `json:"suspects"`
}

// Floors answers GET /admin/v1/floors.
type Floors struct {
	Floors []Floor `json:"floors"`
}

// Floor is a tier floor: the lowest tier that a pool currently serves.
type Floor struct {
	Pool string       `json:"pool"`
	Tier request.Tier `json:"tier"`
	// RemainingMS is the time until the floor expires.
	RemainingMS int64 `json:"remaining_ms"`
	// RaisedBy names the entry whose request raised the floor.
	RaisedBy string `json:"asked_by"`
}

// Explanation answers GET /admin/v1/explain?id=. Known is false if this entry has
// no record of the request; Owner names the entry that may have one.
type Explanation struct {
	ID        string     `json:"id"`
	Known     bool       `json:"known"`
	Owner     string     `json:"owner"`
	State     string     `json:"standing"`
	Decisions []Decision `json:"decisions"`
}

// Decision is one decision on a request.
type Decision struct {
	// AgeMS is the time since the decision.
	AgeMS  int64        `json:"age_ms"`
	Event  string       `json:"event"`
	Target string       `json:"target,omitempty"`
	Tier   request.Tier `json:"tier"`
	// TierName is the tier's name in the document in force.
	TierName string `json:"tier_name,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Document answers GET /admin/v1/document. Data is the document's JSON as
// published, or null if none is in force.
type Document struct {
	Version int64           `json:"version"`
	ID      string          `json:"id"`
	Data    json.RawMessage `json:"document"`
}

// Result is the result of a publication.
type Result string

const (
	// ResultAccepted means that the document came into force as Version.
	ResultAccepted Result = "accepted"
	// ResultSuperseded means that another document was accepted first; Winner is its id.
	ResultSuperseded Result = "beaten"
	// ResultUnknown means that the log is unavailable or its answer was lost. The
	// document may still come into force; publishing it again with the same id is
	// harmless.
	ResultUnknown Result = "unknown"
	// ResultInvalid means that the check failed; nothing was published.
	ResultInvalid Result = "invalid"
	// ResultNotPublished means that the log refused the record; nothing was
	// published.
	ResultNotPublished Result = "not_published"
)

// Published answers POST /admin/v1/document.
type Published struct {
	ID      string `json:"id"`
	Result  Result `json:"result"`
	Version int64  `json:"version,omitempty"`
	Winner  string `json:"winner,omitempty"`
	// WinnerVersion is the version of the document that superseded this one.
	WinnerVersion int64   `json:"winner_version,omitempty"`
	Faults        []Fault `json:"faults,omitempty"`
	Detail        string  `json:"detail,omitempty"`
}

// Fault is one fault of a document.
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
