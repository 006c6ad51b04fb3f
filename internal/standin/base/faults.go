// Package base provides what all stand-ins share: listeners that can be crashed,
// faults set through the admin path, the ledger of runs, and lagged values.
package base

import (
	"bytes"
	"fmt"
	"time"
)

// Faults is the set of injected faults. An order changes only the fields that it
// contains.
type Faults struct {
	// Outage answers 503 to all calls except those of the admin path.
	Outage bool `json:"outage"`
	// SlowMS delays every call.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers lets calls take effect, but closes their connections without an
	// answer.
	LoseAnswers bool `json:"lose_answers"`
	// LagMS is the age of load reports, cache events and the instance list.
	LagMS int `json:"lag_ms"`
	// Gaps is the share of cache events that are never published, 0 to 1.
	Gaps float64 `json:"gaps"`
	// Straggle is the factor on step or service time; 0 means 1.
	Straggle float64 `json:"straggle"`
	// Refuse rejects requests with "not admitted: full",
	// Leaving with "not admitted: leaving".
	Refuse  bool `json:"refuse"`
	Leaving bool `json:"leaving"`
	// Crash is true while the process is down.
	Crash bool `json:"crash"`
	// CrashOn makes a request crash its target if the body contains this text.
	// If it is empty, no request does.
	CrashOn string `json:"crash_on"`
	// CheckFencing rejects orders with an old fencing number.
	CheckFencing bool `json:"check_fencing"`
	// Rate limits appends or fetches per second; 0 means no limit.
	Rate float64 `json:"rate"`
	// RetainMS is the retention time of log records; 0 means no limit.
	RetainMS int `json:"retain_ms"`
}

// Lag returns LagMS as a duration.
func (f Faults) Lag() time.Duration { return time.Duration(f.LagMS) * time.Millisecond }

// Slowdown returns Straggle, or 1 if it is not set.
func (f Faults) Slowdown() float64 {
	if f.Straggle <= 0 {
		return 1
	}
	return f.Straggle
}

// Merge returns f with the fields of the JSON order replaced.
func (f Faults) Merge(order []byte) (Faults, error) {
	if err := DecodeStrict(order, &f); err != nil {
		return Faults{}, fmt.Errorf("malformed fault order: %w", err)
	}
	return f, f.Validate()
}

// Validate returns an error if a value is out of range.
func (f Faults) Validate() error {
	if f.Gaps < 0 || f.Gaps > 1 {
		return fmt.Errorf("gaps must lie between 0 and 1, not %v", f.Gaps)
	}
	if f.SlowMS < 0 || f.LagMS < 0 || f.RetainMS < 0 || f.Rate < 0 || f.Straggle < 0 {
		return fmt.Errorf("slow_ms, lag_ms, retain_ms, rate and straggle must not be negative")
	}
	return nil
}

// CrashesOn reports whether a body crashes the target that runs it.
func (f Faults) CrashesOn(body []byte) bool {
	return f.CrashOn != "" && bytes.Contains(body, []byte(f.CrashOn))
}
