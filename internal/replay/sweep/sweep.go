// Package sweep runs the virtual replay over loads, policies and seeds, and
// sets the results beside the bound of an oracle.
package sweep

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/alitto/pond/v2"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
	"sycamoretrail/internal/replay/virtual"
)

// Options of a sweep.
type Options struct {
	Document   *document.Document
	Deployment trace.Deployment
	Scenario   trace.Scenario
	Loads      []float64
	Policies   []entry.Policy
	Seeds      []uint64
	Seconds    float64
	Entries    int
	ReportAge  time.Duration
	Faults     []virtual.Fault
	// Workers bounds the replays under way at once.
	Workers int
	// NewCore is as in virtual.Options.
	NewCore func(cfg entry.Config, now time.Time) virtual.Core
}

// Row is one replay.
type Row struct {
	Load   float64            `json:"load"`
	Policy entry.Policy       `json:"policy"`
	Seed   uint64             `json:"seed"`
	Bound  map[string]float64 `json:"bound"`
	Report *report.Report     `json:"report"`
}

// Result is a whole sweep, its rows in order of load, policy and seed.
type Result struct {
	Deployment trace.Deployment `json:"deployment"`
	Scenario   trace.Scenario   `json:"scenario"`
	Tiers      []string         `json:"tiers"`
	Rows       []Row            `json:"rows"`
}

// Run does all replays of a sweep. A failure of one fails the sweep.
func Run(options Options) (*Result, error) {
	result := &Result{Deployment: options.Deployment, Scenario: options.Scenario}
	for i := range options.Document.Tiers {
		result.Tiers = append(result.Tiers, options.Document.Tiers[i].Name)
	}
	for _, load := range options.Loads {
		for _, policy := range options.Policies {
			for _, seed := range options.Seeds {
				result.Rows = append(result.Rows, Row{Load: load, Policy: policy, Seed: seed})
			}
		}
	}
	pool := pond.NewPool(max(options.Workers, 1))
	defer pool.StopAndWait()
	group := pool.NewGroup()
	for i := range result.Rows {
		group.SubmitErr(func() error { return options.fill(&result.Rows[i]) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return result, nil
}

// fill does one replay.
func (o *Options) fill(row *Row) error {
	t, err := trace.Generate(o.Document, trace.Options{
		Deployment: o.Deployment, Scenario: o.Scenario, Seed: row.Seed, Load: row.Load, Seconds: o.Seconds,
	})
	if err != nil {
		return err
	}
	in, err := virtual.Run(virtual.Options{
		Trace: t, Document: o.Document, Policy: row.Policy, Entries: o.Entries, Seed: row.Seed,
		Faults: o.Faults, ReportAge: o.ReportAge, NewCore: o.NewCore,
	})
	if err != nil {
		return fmt.Errorf("load %g, policy %s, seed %d: %w", row.Load, row.Policy, row.Seed, err)
	}
	row.Report = report.Compute(in)
	row.Bound = Bound(o.Document, t)
	return nil
}

// WriteFile writes the result as JSON.
func (r *Result) WriteFile(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encode sweep: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write sweep: %w", err)
	}
	return nil
}

// ReadFile reads a result.
func ReadFile(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read sweep: %w", err)
	}
	r := &Result{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("read sweep %s: %w", path, err)
	}
	return r, nil
}

// WriteCSV writes one line for each load, policy and tier, with the spread over
// the seeds.
func (r *Result) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{"load", "policy", "tier", "seeds", "goodput", "goodput_min", "goodput_max", "bound",
		"wasted_prefill", "ttft_p50_ms", "ttft_p95_ms", "ttft_p99_ms", "itl_p50_ms", "itl_p95_ms", "itl_p99_ms"})
	for _, s := range r.Summaries() {
		_ = out.Write([]string{number(s.Load), string(s.Policy), s.Tier, strconv.Itoa(s.Seeds),
			number(s.Goodput.Mean), number(s.Goodput.Min), number(s.Goodput.Max), number(s.Bound), number(s.WastedPrefill.Mean),
			number(s.FirstToken.P50), number(s.FirstToken.P95), number(s.FirstToken.P99),
			number(s.InterToken.P50), number(s.InterToken.P95), number(s.InterToken.P99)})
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return fmt.Errorf("write sweep: %w", err)
	}
	return nil
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', 4, 64) }
