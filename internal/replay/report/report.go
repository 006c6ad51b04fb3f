package report

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// Input is a finished replay.
type Input struct {
	Trace  string
	Mode   string
	Policy string
	Seed   uint64
	Load   float64
	// Start is the time from which the times of a live replay count.
	Start time.Time
	// Tiers are the names of the tiers by rank.
	Tiers []string
	Calls []Call
	Runs  []Run
	// Tolerance is the uncertainty when times of callers and ledgers are compared.
	// An inversion counts only if it exceeds the tolerance.
	Tolerance time.Duration
	// LostLedgers names the targets whose ledger could not be read. If there are
	// any, the counts from ledgers are lower bounds.
	LostLedgers []string
}

// Report is the result of a replay. Times are in milliseconds.
type Report struct {
	Trace  string  `json:"trace"`
	Mode   string  `json:"mode"`
	Policy string  `json:"policy,omitempty"`
	Seed   uint64  `json:"seed"`
	Load   float64 `json:"load,omitempty"`

	Requests      int `json:"requests"`
	Answered      int `json:"answered"`
	RefusedNotRun int `json:"refused_not_run"`
	RanInPart     int `json:"ran_in_part"`
	Unknown       int `json:"unknown"`
	// Unanswered counts calls without a final outcome.
	Unanswered int `json:"unanswered"`
	// IncompleteAnswers counts answers that were declared complete but were not, or
	// belonged to another request.
	IncompleteAnswers int `json:"incomplete_answers"`
	// DispatchedTwice counts request ids that ran more than once.
	DispatchedTwice int `json:"dispatched_twice"`
	// NonIdempotentRanTwice counts non-idempotent calls, by key or else by id, that
	// ran more than once.
	NonIdempotentRanTwice int `json:"non_idempotent_ran_twice"`
	// FalseNotRun counts requests that ran although the outcome was "not run".
	FalseNotRun int `json:"false_not_run"`
	// TierInversions counts refusals for load while a lower tier was served.
	TierInversions int `json:"tier_inversions"`
	// PreemptedAboveLower counts requests that were preempted while an idempotent
	// engine request of a lower tier continued to run in the pool.
	PreemptedAboveLower int `json:"preempted_above_lower"`

	// Goodput is, by tier, the share of requests answered completely and in time.
	Goodput map[string]float64 `json:"goodput"`
	Sent    map[string]int     `json:"sent"`
	// Organisations holds the same for each organisation, by tier.
	Organisations map[string]map[string]Share `json:"organisations"`
	// WastedPrefillTokens were computed for runs whose answer no caller received
	// completely.
	WastedPrefillTokens int `json:"wasted_prefill_tokens"`
	// LatePrefillTokens were computed for complete answers that were too late. They
	// do not count as wasted.
	LatePrefillTokens int `json:"late_prefill_tokens"`
	PrefillTokens     int `json:"prefill_tokens"`
	CachedTokens      int `json:"cached_tokens"`

	FirstToken map[string]Percentiles `json:"ttft_ms"`
	InterToken map[string]Percentiles `json:"itl_ms"`

	// Refusals are counted by tier and reason. RetryAfter summarises their
	// retry-after times.
	Refusals   map[string]map[outcome.Reason]int `json:"refusals"`
	RetryAfter Percentiles                       `json:"retry_after_ms"`
	// AnswerFaults counts faulty answers by fault.
	AnswerFaults map[string]int `json:"answer_faults,omitempty"`
	// EntryFaults counts attempts without a final outcome by reason.
	EntryFaults map[string]int `json:"entry_faults,omitempty"`
	// Resent counts requests that were sent to more than one entry.
	Resent int `json:"resent"`
	// RunsByTarget counts the runs in each ledger.
	RunsByTarget map[string]int `json:"runs_by_target"`
	LostLedgers  []string       `json:"lost_ledgers,omitempty"`
	// ToleranceMS is the tolerance used for tier_inversions.
	ToleranceMS float64 `json:"tolerance_ms"`
	// Violations holds the first few request ids behind each count that should be
	// zero.
	Violations map[string][]string `json:"violations,omitempty"`
}

// Share counts the good requests among those sent.
type Share struct {
	Good int `json:"good"`
	Sent int `json:"sent"`
}

// Goodput returns the share of good requests.
func (s Share) Goodput() float64 { return float64(s.Good) / float64(max(s.Sent, 1)) }

// violationsKept limits the examples kept of each kind of violation.
const violationsKept = 10

// Compute computes the report of a replay.
func Compute(in Input) *Report {
	r := &Report{
		Trace: in.Trace, Mode: in.Mode, Policy: in.Policy, Seed: in.Seed, Load: in.Load,
		Requests: len(in.Calls), Goodput: map[string]float64{}, Sent: map[string]int{},
		Organisations: map[string]map[string]Share{},
		FirstToken:    map[string]Percentiles{}, InterToken: map[string]Percentiles{},
		Refusals: map[string]map[outcome.Reason]int{}, AnswerFaults: map[string]int{}, EntryFaults: map[string]int{},
		RunsByTarget: map[string]int{}, LostLedgers: in.LostLedgers,
		ToleranceMS: milliseconds(in.Tolerance), Violations: map[string][]string{},
	}
	r.countCalls(&in)
	r.countTiers(&in)
	index := newLedgerIndex(&in)
	r.countRuns(index)
	r.countInversions(index, in.Tolerance)
	return r
}

func (r *Report) countCalls(in *Input) {
	var advice []time.Duration
	for i := range in.Calls {
		c := &in.Calls[i]
		if c.Attempts > 1 {
			r.Resent++
			r.violation("resent", c.ID)
		}
		for _, fault := range c.EntryFaults {
			r.EntryFaults[fault]++
		}
		if !c.Settled {
			r.Unanswered++
			r.violation("unanswered", c.ID)
			continue
		}
		if c.Status.RetryAfter > 0 {
			advice = append(advice, c.Status.RetryAfter)
		}
		r.countOutcome(c, tierName(in.Tiers, c.Tier))
	}
	r.RetryAfter = percentiles(advice)
}

func (r *Report) countOutcome(c *Call, tier string) {
	switch c.Status.Outcome {
	case outcome.Answered:
		if c.Fault != "" {
			r.IncompleteAnswers++
			r.AnswerFaults[c.Fault]++
			r.violation("incomplete_answers", c.ID)
			return
		}
		r.Answered++
		return
	case outcome.NotRun:
		r.RefusedNotRun++
	case outcome.RanInPart:
		r.RanInPart++
	default:
		r.Unknown++
	}
	if r.Refusals[tier] == nil {
		r.Refusals[tier] = map[outcome.Reason]int{}
	}
	r.Refusals[tier][c.Status.Reason]++
}

func (r *Report) countTiers(in *Input) {
	for rank, name := range in.Tiers {
		sent, good := 0, 0
		var first, gaps []time.Duration
		for i := range in.Calls {
			c := &in.Calls[i]
			if c.Tier != request.Tier(rank) {
				continue
			}
			sent++
			if c.Good() {
				good++
			}
			if c.Answered() && c.Kind == request.Engine {
				first = append(first, c.First-c.Sent)
				gaps = append(gaps, c.Gaps...)
			}
		}
		if sent == 0 {
			continue
		}
		r.Sent[name] = sent
		r.Goodput[name] = float64(good) / float64(sent)
		r.FirstToken[name] = percentiles(first)
		r.InterToken[name] = percentiles(gaps)
		r.Organisations[name] = byOrganisation(in.Calls, request.Tier(rank))
	}
}

func byOrganisation(calls []Call, tier request.Tier) map[string]Share {
	shares := map[string]Share{}
	for i := range calls {
		c := &calls[i]
		if c.Tier != tier {
			continue
		}
		s := shares[c.Organisation]
		s.Sent++
		if c.Good() {
			s.Good++
		}
		shares[c.Organisation] = s
	}
	return shares
}

func (r *Report) violation(kind, id string) {
	if len(r.Violations[kind]) < violationsKept {
		r.Violations[kind] = append(r.Violations[kind], id)
	}
}

// WriteFile writes the report as indented JSON. Equal reports give equal bytes.
func (r *Report) WriteFile(path string) error {
	data, err := r.Bytes()
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// Bytes returns the report as indented JSON.
func (r *Report) Bytes() ([]byte, error) {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode report: %w", err)
	}
	return append(data, '\n'), nil
}

// ReadFile reads a report from a file.
func ReadFile(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read report: %w", err)
	}
	r := &Report{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("read report %s: %w", path, err)
	}
	return r, nil
}

func tierName(tiers []string, rank request.Tier) string {
	if int(rank) < len(tiers) {
		return tiers[rank]
	}
	return fmt.Sprintf("tier-%d", rank)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
