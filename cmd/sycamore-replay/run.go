package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/replay/live"
	"sycamoretrail/internal/replay/outcomes"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
)

// errOutcomes is returned if stated outcomes do not hold.
var errOutcomes = errors.New("stated outcomes do not hold")

// runFlags are the flags of the run command.
type runFlags struct {
	mode, trace, document, outcomes, report, tokens string
	live                                            live.Options
	entries                                         []string
	toleranceMS                                     int
	virtual                                         virtualFlags
}

// runCommand returns the run command. The root command is another instance of it, so
// that the name of the command may be omitted.
func runCommand() *cobra.Command {
	f := &runFlags{}
	command := &cobra.Command{
		Use:   "run",
		Short: "Replay a trace and report what became of each request",
		Example: `  sycamore-replay run --mode live --trace traces/tanglaw.jsonl --document examples/tanglaw.json \
      --tokens examples/tanglaw-tokens.json --entries 127.0.0.1:8001,127.0.0.1:8002 \
      --outcomes traces/outcomes.json --report out/run.json
  sycamore-replay run --mode virtual --trace traces/quebracho.jsonl --document examples/quebracho.json \
      --policy scheduler --faults all`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return f.run(command.Context()) },
	}
	flags := command.Flags()
	flags.StringVar(&f.mode, "mode", "live", "live or virtual")
	flags.StringVar(&f.trace, "trace", "", "trace to send")
	flags.StringVar(&f.document, "document", "", "document in force (default: examples/<deployment of the trace>.json)")
	flags.StringVar(&f.outcomes, "outcomes", "", "outcomes that must hold; exit 1 when one does not")
	flags.StringVar(&f.report, "report", "", "file for the report as JSON")
	flags.IntVar(&f.toleranceMS, "tolerance-ms", -1, "uncertainty of a caller's against a ledger's times, "+
		"for tier inversions (default: 25 live, 0 virtual)")
	flags.StringVar(&f.tokens, "tokens", "", "live: JSON file with the bearer token of each organisation (default: examples/<deployment>-tokens.json)")
	flags.StringSliceVar(&f.entries, "entries", nil, "live: addresses of some entries, callers learn the rest; virtual: how many entries (6)")
	flags.IntVar(&f.live.AdminOffset, "admin-offset", live.DefaultAdminOffset, "live: added to a target's port to reach its ledger")
	flags.IntVar(&f.live.Callers, "callers", live.DefaultCallers, "live: independent callers that share the trace")
	flags.IntVar(&f.live.Concurrency, "concurrency", live.DefaultConcurrency, "live: bound on requests under way")
	flags.DurationVar(&f.live.WaitLimit, "patience", live.DefaultWaitLimit, "live: wait past the deadline before another entry is asked")
	flags.DurationVar(&f.live.GiveUp, "give-up", live.DefaultGiveUp, "live: wait past the deadline before a caller stops")
	flags.BoolVar(&f.live.Ledgers, "ledgers", true, "live: count runs from the targets' ledgers")
	f.virtual.register(flags)
	mustMarkRequired(command, "trace")
	return command
}

func (f *runFlags) run(ctx context.Context) error {
	t, err := trace.ReadFile(f.trace)
	if err != nil {
		return err
	}
	f.applyDefaults(t.Header.Deployment)
	doc, err := readDocument(f.document)
	if err != nil {
		return err
	}
	// The outcomes are read first, so that a mistake in them is found before the run.
	var stated outcomes.Stated
	if f.outcomes != "" {
		if stated, err = outcomes.Read(f.outcomes); err != nil {
			return err
		}
	}
	var in report.Input
	switch f.mode {
	case "live":
		in, err = f.runLive(ctx, live.Options{Trace: t, Document: doc})
	case "virtual":
		in, err = f.runVirtual(t, doc)
	default:
		err = fmt.Errorf("unknown mode %q: live or virtual", f.mode)
	}
	if err != nil {
		return err
	}
	return f.conclude(report.Compute(in), stated)
}

// applyDefaults sets the paths of the example files of the trace's deployment.
func (f *runFlags) applyDefaults(deployment string) {
	if f.document == "" {
		f.document = filepath.Join("examples", deployment+".json")
	}
	if f.tokens == "" {
		f.tokens = filepath.Join("examples", deployment+"-tokens.json")
	}
}

func (f *runFlags) runLive(ctx context.Context, options live.Options) (report.Input, error) {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	tokens, err := readTokens(f.tokens)
	if err != nil {
		return report.Input{}, err
	}
	options.Tokens = tokens
	options.Entries, options.Callers, options.Concurrency = f.entries, f.live.Callers, f.live.Concurrency
	options.WaitLimit, options.GiveUp = f.live.WaitLimit, f.live.GiveUp
	options.Ledgers, options.AdminOffset = f.live.Ledgers, f.live.AdminOffset
	options.Tolerance = f.tolerance(live.DefaultTolerance)
	return live.Run(ctx, options)
}

func (f *runFlags) tolerance(usual time.Duration) time.Duration {
	if f.toleranceMS < 0 {
		return usual
	}
	return time.Duration(f.toleranceMS) * time.Millisecond
}

// conclude prints and writes the report and checks the stated outcomes.
func (f *runFlags) conclude(r *report.Report, stated outcomes.Stated) error {
	if err := r.Table(os.Stdout); err != nil {
		return err
	}
	if f.report != "" {
		if err := os.MkdirAll(filepath.Dir(f.report), 0o755); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		if err := r.WriteFile(f.report); err != nil {
			return err
		}
	}
	if stated == nil {
		return nil
	}
	failures, err := stated.Check(r)
	if err != nil {
		return err
	}
	for _, failure := range failures {
		fmt.Println("FAILED", failure)
	}
	if len(failures) > 0 {
		return fmt.Errorf("%w: %d of %d", errOutcomes, len(failures), len(stated))
	}
	fmt.Printf("all %d stated outcomes hold\n", len(stated))
	return nil
}

func readTokens(path string) (map[string]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read tokens: %w", err)
	}
	tokens := map[string]string{}
	if err := json.Unmarshal(data, &tokens); err != nil {
		return nil, fmt.Errorf("read tokens %s: %w", path, err)
	}
	return tokens, nil
}
