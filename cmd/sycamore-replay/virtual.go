package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
	"sycamoretrail/internal/replay/virtual"
)

// Paths of the named schedules of faults.
const (
	// allFaults is the path of the schedule for --faults all.
	allFaults = "traces/faults.json"
	// namedFaults is the path of the schedule for any other name.
	namedFaults = "traces/faults-%s.json"
)

const faultsHelp = `schedule of failures: a file, or a name: "all" is ` + allFaults +
	`, "straggle" one engine at a fifth of its speed, "half-zone" half a zone gone (traces/faults-NAME.json)`

// virtualFlags are the flags of the virtual mode.
type virtualFlags struct {
	policy, faults string
	seed           uint64
	reportAge      time.Duration
}

func (v *virtualFlags) register(flags *pflag.FlagSet) {
	flags.StringVar(&v.policy, "policy", string(entry.PolicyScheduler), "virtual: scheduler, shares or alone")
	flags.StringVar(&v.faults, "faults", "", "virtual: "+faultsHelp)
	flags.Uint64Var(&v.seed, "seed", 1, "virtual: seed of the entries' choices")
	flags.DurationVar(&v.reportAge, "report-age", time.Second, "virtual: age of the engines' load reports")
}

func (v *virtualFlags) options(t *trace.Trace, doc *document.Document) (virtual.Options, error) {
	options := virtual.Options{
		Trace: t, Document: doc, Policy: entry.Policy(v.policy), Seed: v.seed, ReportAge: v.reportAge,
	}
	if err := checkPolicy(options.Policy); err != nil {
		return options, err
	}
	var err error
	options.Faults, err = readFaults(v.faults)
	return options, err
}

// readFaults reads a schedule by its name or path. An empty name means no faults.
func readFaults(name string) ([]virtual.Fault, error) {
	switch {
	case name == "":
		return nil, nil
	case name == "all":
		name = allFaults
	case !strings.ContainsAny(name, "./"):
		name = fmt.Sprintf(namedFaults, name)
	}
	return virtual.ReadFaults(name)
}

// defaultEntries is the number of entries of the current deployments.
const defaultEntries = 6

// entryCount returns the number given by --entries in virtual mode.
func (f *runFlags) entryCount() (int, error) {
	if len(f.entries) == 0 {
		return defaultEntries, nil
	}
	n, err := strconv.Atoi(f.entries[0])
	if err != nil || n <= 0 || len(f.entries) > 1 {
		return 0, fmt.Errorf("--entries in virtual mode must be a number, not %v", f.entries)
	}
	return n, nil
}

func checkPolicy(policy entry.Policy) error {
	switch policy {
	case entry.PolicyScheduler, entry.PolicyShares, entry.PolicyIndependent:
		return nil
	}
	return fmt.Errorf("unknown policy %q: scheduler, shares or alone", policy)
}

func (f *runFlags) runVirtual(t *trace.Trace, doc *document.Document) (report.Input, error) {
	options, err := f.virtual.options(t, doc)
	if err != nil {
		return report.Input{}, err
	}
	if options.Entries, err = f.entryCount(); err != nil {
		return report.Input{}, err
	}
	options.Tolerance = f.tolerance(0)
	return virtual.Run(options)
}
