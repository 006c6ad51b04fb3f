package main

import (
	"fmt"
	"time"

	"github.com/spf13/pflag"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
	"sycamoretrail/internal/replay/virtual"
)

// allFaults is the schedule that --faults all stands for.
const allFaults = "traces/faults.json"

// virtualFlags are the flags of the virtual mode.
type virtualFlags struct {
	policy, faults string
	entries        int
	seed           uint64
	reportAge      time.Duration
}

func (v *virtualFlags) register(flags *pflag.FlagSet) {
	flags.StringVar(&v.policy, "policy", string(entry.PolicyScheduler), "virtual: scheduler, shares or alone")
	flags.IntVar(&v.entries, "entry-count", 6, "virtual: number of entries")
	flags.StringVar(&v.faults, "faults", "", `virtual: schedule of failures; "all" is `+allFaults)
	flags.Uint64Var(&v.seed, "seed", 1, "virtual: seed of the entries' choices")
	flags.DurationVar(&v.reportAge, "report-age", time.Second, "virtual: age of the engines' load reports")
}

func (v *virtualFlags) options(t *trace.Trace, doc *document.Document) (virtual.Options, error) {
	options := virtual.Options{
		Trace: t, Document: doc, Policy: entry.Policy(v.policy), Entries: v.entries, Seed: v.seed, ReportAge: v.reportAge,
	}
	if err := checkPolicy(options.Policy); err != nil {
		return options, err
	}
	if v.faults == "" {
		return options, nil
	}
	path := v.faults
	if path == "all" {
		path = allFaults
	}
	var err error
	options.Faults, err = virtual.ReadFaults(path)
	return options, err
}

func checkPolicy(policy entry.Policy) error {
	switch policy {
	case entry.PolicyScheduler, entry.PolicyShares, entry.PolicyAlone:
		return nil
	}
	return fmt.Errorf("unknown policy %q: scheduler, shares or alone", policy)
}

func (f *runFlags) runVirtual(t *trace.Trace, doc *document.Document) (report.Input, error) {
	options, err := f.virtual.options(t, doc)
	if err != nil {
		return report.Input{}, err
	}
	options.Tolerance = f.tolerance(0)
	return virtual.Run(options)
}
