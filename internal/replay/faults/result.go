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

// Result is what became of a failure. Times are milliseconds.
type Result struct {
	Name  string `json:"name"`
	About string `json:"about"`
	Pass  bool   `json:"pass"`
	// Problems say what does not hold.
	Problems []string `json:"problems,omitempty"`
	Load     float64  `json:"load"`
	Seconds  float64  `json:"seconds"`
	// Marks are the instants of the play, from the load's start.
	Marks []Mark `json:"marks"`
	// DetectedMS: from the failure's begin until the entries acted on it.
	// RecoveredMS: from its begin until the end of the last interval in which the
	// top tier's goodput was below that of before; 0: it never was.
	// RestoredMS: from the end of its cause until all was as before.
	DetectedMS  *float64 `json:"detected_ms"`
	RecoveredMS *float64 `json:"recovered_ms"`
	RestoredMS  *float64 `json:"restored_ms"`
	// Goodput by tier of the calls that ended before the failure began, that were
	// under way during it, and that were sent after it was over.
	Before Goodput `json:"goodput_before"`
	During Goodput `json:"goodput_during"`
	After  Goodput `json:"goodput_after"`
	// Callers counts what the calls under way during the failure got.
	Callers map[string]int `json:"callers_during"`
	// AttachedAgain counts the calls that got the rest of a stream by its token
	// at another entry.
	AttachedAgain int            `json:"attached_again"`
	Facts         []Fact         `json:"facts,omitempty"`
	Report        *report.Report `json:"report"`
	// NotGood lists each call that was not answered whole and in time.
	NotGood []Call `json:"not_good,omitempty"`
}

// Call is what one caller saw.
type Call struct {
	ID      string  `json:"id"`
	Tier    string  `json:"tier"`
	Pool    string  `json:"pool"`
	SentMS  float64 `json:"sent_ms"`
	EndedMS float64 `json:"ended_ms"`
	Got     string  `json:"got"`
	Detail  string  `json:"detail,omitempty"`
	// Asked are the entries' callers' addresses, Target where it ran.
	Asked  []string `json:"asked"`
	Target string   `json:"target,omitempty"`
}

// Goodput is answered whole and in time / sent, by tier.
type Goodput map[string]float64

// Mark is an instant of a play.
type Mark struct {
	AtMS float64 `json:"at_ms"`
	What string  `json:"what"`
}

// Fact is a figure that only one failure has.
type Fact struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// problemsShown are told on the output; the file has all.
const problemsShown = 5

// Line tells the result in one line.
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
