// Package outcomes checks the report of a replay against stated outcomes.
package outcomes

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"sycamoretrail/internal/replay/report"
)

// ErrMalformed is wrapped by every error of Read.
var ErrMalformed = errors.New("malformed outcomes file")

// Bound is the allowed range of one figure. A nil side is unbounded.
type Bound struct {
	Min *float64 `json:"min,omitempty"`
	Max *float64 `json:"max,omitempty"`
}

// Stated maps figures to their bounds. A figure is a key of the report's JSON,
// with dots for nested keys: "unanswered", "goodput.rider", "ttft_ms.rider.p99".
// "wasted_prefill_share" is wasted_prefill_tokens / prefill_tokens.
type Stated map[string]Bound

// wastedShare is the only figure that is computed here instead of read from the
// report.
const wastedShare = "wasted_prefill_share"

// Failure is a stated outcome that does not hold.
type Failure struct {
	Figure string
	Detail string
}

func (f Failure) String() string { return f.Figure + ": " + f.Detail }

// Read reads and validates an outcomes file.
func Read(path string) (Stated, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read outcomes: %w", err)
	}
	return Parse(data)
}

// Parse parses and validates outcomes in JSON. A bound with neither side is
// rejected, since it has no effect.
func Parse(data []byte) (Stated, error) {
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	var stated Stated
	if err := decoder.Decode(&stated); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	for figure, bound := range stated {
		if bound.Min == nil && bound.Max == nil {
			return nil, fmt.Errorf("%w: %q has neither min nor max", ErrMalformed, figure)
		}
	}
	if len(stated) == 0 {
		return nil, fmt.Errorf("%w: no outcomes stated", ErrMalformed)
	}
	return stated, nil
}

// Check returns the stated outcomes that do not hold, ordered by figure. A figure
// that is missing from the report fails.
func (s Stated) Check(r *report.Report) ([]Failure, error) {
	data, err := r.Bytes()
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, fmt.Errorf("read report: %w", err)
	}
	if r.PrefillTokens > 0 {
		tree[wastedShare] = float64(r.WastedPrefillTokens) / float64(r.PrefillTokens)
	}
	var failures []Failure
	for _, figure := range slices.Sorted(maps.Keys(s)) {
		value, found := lookUp(tree, figure)
		if !found {
			failures = append(failures, Failure{figure, "not in the report"})
			continue
		}
		if detail := s[figure].violation(value); detail != "" {
			failures = append(failures, Failure{figure, detail})
		}
	}
	return failures, nil
}

func (b Bound) violation(value float64) string {
	if b.Min != nil && value < *b.Min {
		return fmt.Sprintf("%g is below %g", value, *b.Min)
	}
	if b.Max != nil && value > *b.Max {
		return fmt.Sprintf("%g is above %g", value, *b.Max)
	}
	return ""
}

func lookUp(tree map[string]any, figure string) (float64, bool) {
	var node any = tree
	for _, key := range strings.Split(figure, ".") {
		branch, isBranch := node.(map[string]any)
		if !isBranch {
			return 0, false
		}
		node = branch[key]
	}
	value, isNumber := node.(float64)
	return value, isNumber
}
