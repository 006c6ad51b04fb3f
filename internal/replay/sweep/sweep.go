// Package sweep runs the virtual replay over loads, policies and seeds, and
// compares the results with the bound of an oracle.
package sweep

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alitto/pond/v2"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
	"sycamoretrail/internal/replay/virtual"
)

// Options are the parameters of a sweep.
type Options struct {
	Document   *document.Document
	Deployment trace.Deployment
	Scenario   trace.Scenario
	// Name distinguishes the sweep from others of the deployment.
	Name      string
	Loads     []float64
	Policies  []entry.Policy
	Seeds     []uint64
	Seconds   float64
	Entries   int
	ReportAge time.Duration
	Faults    []virtual.Fault
	// Workers limits the replays that run concurrently.
	Workers int
	// NewCore is as in virtual.Options.
	NewCore func(cfg entry.Config, now time.Time) virtual.Core
}

// Row is one replay.
type Row struct {
	Load   float64        `json:"load"`
	Policy entry.Policy   `json:"policy"`
	Seed   uint64         `json:"seed"`
	Bounds *Bounds        `json:"bounds"`
	Report *report.Report `json:"report"`
}

// Result is the result of a sweep, its rows in order of load, policy and seed.
type Result struct {
	Deployment trace.Deployment `json:"deployment"`
	Scenario   trace.Scenario   `json:"scenario"`
	Name       string           `json:"name"`
	Tiers      []string         `json:"tiers"`
	Rows       []Row            `json:"rows"`
}

// sample is the traffic of one load and seed, used for all policies.
type sample struct {
	load   float64
	seed   uint64
	trace  *trace.Trace
	bounds Bounds
}

// Run runs all replays of a sweep. If one fails, the sweep fails.
func Run(options Options) (*Result, error) {
	result := &Result{Deployment: options.Deployment, Scenario: options.Scenario, Name: options.Name}
	for i := range options.Document.Tiers {
		result.Tiers = append(result.Tiers, options.Document.Tiers[i].Name)
	}
	pool := pond.NewPool(max(options.Workers, 1))
	defer pool.StopAndWait()
	samples, err := options.samples(pool)
	if err != nil {
		return nil, err
	}
	for i := range samples {
		for _, policy := range options.Policies {
			result.Rows = append(result.Rows, Row{Load: samples[i].load, Policy: policy, Seed: samples[i].seed, Bounds: &samples[i].bounds})
		}
	}
	group := pool.NewGroup()
	for i := range result.Rows {
		group.SubmitErr(func() error { return options.fill(&result.Rows[i], samples[i/len(options.Policies)].trace) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	slices.SortStableFunc(result.Rows, options.compare)
	return result, nil
}

// compare orders rows by load, then by policy, each in the order of the options.
func (o *Options) compare(a, b Row) int {
	return cmp.Or(
		cmp.Compare(slices.Index(o.Loads, a.Load), slices.Index(o.Loads, b.Load)),
		cmp.Compare(slices.Index(o.Policies, a.Policy), slices.Index(o.Policies, b.Policy)),
	)
}

// samples generates the traces and computes their bounds.
func (o *Options) samples(pool pond.Pool) ([]sample, error) {
	var samples []sample
	for _, load := range o.Loads {
		for _, seed := range o.Seeds {
			samples = append(samples, sample{load: load, seed: seed})
		}
	}
	group := pool.NewGroup()
	for i := range samples {
		s := &samples[i]
		group.SubmitErr(func() (err error) {
			s.trace, err = trace.Generate(o.Document, trace.Options{
				Deployment: o.Deployment, Scenario: o.Scenario, Seed: s.seed, Load: s.load, Seconds: o.Seconds,
			})
			if err == nil {
				s.bounds = Bound(o.Document, s.trace, o.Faults)
			}
			return err
		})
	}
	return samples, group.Wait()
}

// fill runs one replay and sets the report of its row.
func (o *Options) fill(row *Row, t *trace.Trace) error {
	in, err := virtual.Run(virtual.Options{
		Trace: t, Document: o.Document, Policy: row.Policy, Entries: o.Entries, Seed: row.Seed,
		Faults: o.Faults, ReportAge: o.ReportAge, NewCore: o.NewCore,
	})
	if err != nil {
		return fmt.Errorf("load %g, policy %s, seed %d: %w", row.Load, row.Policy, row.Seed, err)
	}
	row.Report = report.Compute(in)
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

// ReadFile reads a result from a file.
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
