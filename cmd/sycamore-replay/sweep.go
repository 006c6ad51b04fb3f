package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/replay/sweep"
	"sycamoretrail/internal/replay/trace"
)

// sweepFlags are the flags of the sweep command.
type sweepFlags struct {
	options                                          sweep.Options
	deployment, scenario, document, faults, out, csv string
	policies                                         []string
	seeds                                            int
	replays                                          int
}

func sweepCommand() *cobra.Command {
	f := &sweepFlags{}
	command := &cobra.Command{
		Use:   "sweep",
		Short: "Run virtual replays over loads, policies and seeds",
		Long: `sweep generates a trace for each load and seed, replays it on the virtual clock
under each policy, and writes goodput by tier with its spread over the seeds,
wasted prefill and latencies, beside the bounds of an oracle: "bound" with the
higher tiers served first, "ceiling" for any policy (docs/design/13-replay.md).`,
		Example: `  sycamore-replay sweep --deployment quebracho --loads 0.5,1,1.3,2,4 --seeds 5 --out out/quebracho.json --csv out/quebracho.csv
  sycamore-replay plot --sweep out/quebracho.json --out docs/plots`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return f.run() },
	}
	flags := command.Flags()
	flags.StringVar(&f.deployment, "deployment", "tanglaw", "tanglaw or quebracho")
	flags.StringVar(&f.scenario, "scenario", "usual", "usual, flood, shift or call")
	flags.StringVar(&f.document, "document", "", "document (default: examples/<deployment>.json)")
	flags.Float64SliceVar(&f.options.Loads, "loads", []float64{0.5, 0.8, 1, 1.3, 2, 4}, "loads, as multiples of capacity")
	flags.StringSliceVar(&f.policies, "policies", []string{"scheduler", "shares", "alone"}, "policies to compare")
	flags.IntVar(&f.seeds, "seeds", 3, "number of seeds, from 1")
	flags.Float64Var(&f.options.Seconds, "seconds", 20, "time over which requests arrive")
	flags.IntVar(&f.options.Entries, "entries", defaultEntries, "number of entries")
	flags.DurationVar(&f.options.ReportAge, "report-age", time.Second, "age of the engines' load reports")
	flags.StringVar(&f.faults, "faults", "", faultsHelp)
	flags.StringVar(&f.options.Name, "name", "", "name of the sweep (default: the scenario and the faults)")
	flags.IntVar(&f.replays, "parallel", 2, "replays under way at once")
	flags.StringVar(&f.out, "out", "", "file for the result as JSON, which plot reads")
	flags.StringVar(&f.csv, "csv", "", "file for the summary as CSV (default: standard output)")
	return command
}

func (f *sweepFlags) run() error {
	var err error
	if f.document == "" {
		f.document = "examples/" + f.deployment + ".json"
	}
	if f.options.Document, err = readDocument(f.document); err != nil {
		return err
	}
	if f.options.Faults, err = readFaults(f.faults); err != nil {
		return err
	}
	f.options.Deployment, f.options.Scenario = trace.Deployment(f.deployment), trace.Scenario(f.scenario)
	f.options.Workers = f.replays
	f.nameSweep()
	for _, name := range f.policies {
		policy := entry.Policy(name)
		if err := checkPolicy(policy); err != nil {
			return err
		}
		f.options.Policies = append(f.options.Policies, policy)
	}
	for seed := range f.seeds {
		f.options.Seeds = append(f.options.Seeds, uint64(seed+1))
	}
	result, err := sweep.Run(f.options)
	if err != nil {
		return err
	}
	return f.write(result)
}

// nameSweep names a sweep without a name by its scenario and faults.
func (f *sweepFlags) nameSweep() {
	if f.options.Name != "" {
		return
	}
	f.options.Name = f.scenario
	if f.faults != "" {
		f.options.Name += "-" + strings.TrimSuffix(filepath.Base(f.faults), ".json")
	}
}

func (f *sweepFlags) write(result *sweep.Result) error {
	if f.out != "" {
		if err := result.WriteFile(f.out); err != nil {
			return err
		}
	}
	if f.csv == "" {
		return result.WriteCSV(os.Stdout)
	}
	file, err := os.Create(f.csv)
	if err != nil {
		return fmt.Errorf("write sweep: %w", err)
	}
	if err := result.WriteCSV(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
