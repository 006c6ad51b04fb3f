package faults

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"sycamoretrail/internal/replay/report"
)

// Result is the result of a failure. Times are in milliseconds.
type Result struct {
	Name  string `json:"name"`
	About string `json:"about"`
	Pass  bool   `json:"pass"`
	// Problems are the violated guarantees.
	Problems []string `json:"problems,omitempty"`
	Load     float64  `json:"load"`
	Seconds  float64  `json:"seconds"`
	// Marks are the events of the run, with times from the start of the load.
	Marks []Mark `json:"marks"`
	// DetectedMS is the time from the begin of the failure until the entries reacted.
	// RecoveredMS is the time from its begin until the end of the last interval in
	// which the top tier's goodput was lower than before, or 0 if it never was.
	// RestoredMS is the time from the removal of its cause until normal operation.
	DetectedMS  *float64 `json:"detected_ms"`
	RecoveredMS *float64 `json:"recovered_ms"`
	RestoredMS  *float64 `json:"restored_ms"`
	// Before, During and After are the goodput of the calls that ended before the
	// failure began, were in flight during it, or were sent after it was over.
	Before Goodput `json:"goodput_before"`
	During Goodput `json:"goodput_during"`
	After  Goodput `json:"goodput_after"`
	// Callers counts the results of the calls in flight during the failure.
	Callers map[string]int `json:"callers_during"`
	// AttachedAgain counts the calls that attached to a stream by its token at
	// another entry.
	AttachedAgain int            `json:"attached_again"`
	Facts         []Fact         `json:"facts,omitempty"`
	Report        *report.Report `json:"report"`
	// NotGood lists the calls that were not answered completely and in time.
	NotGood []Call `json:"not_good,omitempty"`
}

// Call is one call and what its caller received.
type Call struct {
	ID      string  `json:"id"`
	Tier    string  `json:"tier"`
	Pool    string  `json:"pool"`
	SentMS  float64 `json:"sent_ms"`
	EndedMS float64 `json:"ended_ms"`
	Got     string  `json:"got"`
	Detail  string  `json:"detail,omitempty"`
	// Asked are the callers' addresses of the entries that were tried, Target is the
	// target that ran the call.
	Asked  []string `json:"asked"`
	Target string   `json:"target,omitempty"`
}

// Goodput is, by tier, the share of calls answered completely and in time.
type Goodput map[string]float64

// Mark is an event at a time from the start of the load.
type Mark struct {
	AtMS float64 `json:"at_ms"`
	What string  `json:"what"`
}

// Fact is a figure that is specific to one failure.
type Fact struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// problemsShown limits the problems in Line; the file has all of them.
const problemsShown = 5

// Line returns the result in one line, followed by the first problems.
func (r *Result) Line(tiers []string) string {
	var b strings.Builder
	verdict := "pass"
	if !r.Pass {
		verdict = "FAIL"
	}
	fmt.Fprintf(&b, "%s %-15s detected %s, recovered %s, restored %s; goodput during:",
		verdict, r.Name, seconds(r.DetectedMS), seconds(r.RecoveredMS), seconds(r.RestoredMS))
	for _, tier := range tiers {
		if value, known := r.During[tier]; known {
			fmt.Fprintf(&b, " %s %.3f", tier, value)
		}
	}
	b.WriteString("; callers:")
	for _, what := range slices.Sorted(maps.Keys(r.Callers)) {
		fmt.Fprintf(&b, " %d %s,", r.Callers[what], what)
	}
	fmt.Fprintf(&b, " %d attached again", r.AttachedAgain)
	for _, f := range r.Facts {
		fmt.Fprintf(&b, "; %s %.4g %s", f.Name, f.Value, f.Unit)
	}
	for _, problem := range r.Problems[:min(len(r.Problems), problemsShown)] {
		fmt.Fprintf(&b, "\n     %s", problem)
	}
	if more := len(r.Problems) - problemsShown; more > 0 {
		fmt.Fprintf(&b, "\n     and %d more", more)
	}
	return b.String()
}

func seconds(ms *float64) string {
	if ms == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f s", *ms/1000)
}

// WriteFile writes the result as indented JSON.
func (r *Result) WriteFile(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}
