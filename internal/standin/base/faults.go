// Package base is what all stand-ins share: listeners that can crash, faults
// ordered on the admin path, the ledger of what ran, and lagging views.
package base

import (
	"bytes"
	"fmt"
	"time"
)

// Faults are the orders in force. A field that an order leaves out stays.
type Faults struct {
	// Outage answers 503 to all but the admin path.
	Outage bool `json:"outage"`
	// SlowMS delays every call.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers lets calls take effect and drops their connection unanswered.
	LoseAnswers bool `json:"lose_answers"`
	// LagMS is the age of load reports, cache events and the instance list.
	LagMS int `json:"lag_ms"`
	// Gaps is the share of cache events that are never published, 0 to 1.
	Gaps float64 `json:"gaps"`
	// Straggle multiplies step or service time; 0 means 1.
	Straggle float64 `json:"straggle"`
	// Refuse answers "not admitted: full", Leaving "not admitted: leaving".
	Refuse  bool `json:"refuse"`
	Leaving bool `json:"leaving"`
	// Crash holds while the process is down.
	Crash bool `json:"crash"`
	// CrashOn crashes the target that runs a body with this text; empty: none.
	CrashOn string `json:"crash_on"`
	// CheckFencing refuses orders that carry an old fencing number.
	CheckFencing bool `json:"check_fencing"`
	// Rate bounds appends or fetches a second; 0: no bound.
	Rate float64 `json:"rate"`
	// RetainMS is how long the log keeps records; 0: for ever.
	RetainMS int `json:"retain_ms"`
}

// Lag is LagMS as a duration.
func (f Faults) Lag() time.Duration { return time.Duration(f.LagMS) * time.Millisecond }

// Slowdown is Straggle with its default.
func (f Faults) Slowdown() float64 {
	if f.Straggle <= 0 {
		return 1
	}
	return f.Straggle
}

// Merge returns f with the fields that the JSON order names.
func (f Faults) Merge(order []byte) (Faults, error) {
	if err := DecodeStrict(order, &f); err != nil {
		return Faults{}, fmt.Errorf("malformed fault order: %w", err)
	}
	return f, f.Validate()
}

// Validate tells the first value that is out of range.
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
