package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/replay/trace"
)

func generateCommand() *cobra.Command {
	var options trace.Options
	var deployment, scenario, documentPath, out string
	command := &cobra.Command{
		Use:   "generate",
		Short: "Generate a trace with a fixed seed",
		Example: `  sycamore-replay generate --deployment tanglaw --document examples/tanglaw.json \
      --seed 1 --load 0.8 --seconds 30 --out traces/tanglaw.jsonl`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			doc, err := readDocument(documentPath)
			if err != nil {
				return err
			}
			options.Deployment, options.Scenario = trace.Deployment(deployment), trace.Scenario(scenario)
			t, err := trace.Generate(doc, options)
			if err != nil {
				return err
			}
			if err := t.WriteFile(out); err != nil {
				return err
			}
			fmt.Printf("%s: %d requests; %s\n", out, len(t.Lines), t.Header.Capacity)
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&deployment, "deployment", "tanglaw", "tanglaw or quebracho")
	flags.StringVar(&scenario, "scenario", "usual", "usual, flood, shift or call")
	flags.StringVar(&documentPath, "document", "", "document that names tiers, organisations and targets")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed; the same seed gives the same trace")
	flags.Float64Var(&options.Load, "load", 0.8, "mean engine demand as a multiple of capacity")
	flags.Float64Var(&options.Seconds, "seconds", 30, "time over which requests arrive")
	flags.StringVar(&out, "out", "", "file to write")
	mustMarkRequired(command, "document", "out")
	return command
}

// mustMarkRequired marks flags as required. It panics if a flag does not exist.
func mustMarkRequired(command *cobra.Command, names ...string) {
	for _, name := range names {
		if err := command.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
}

func readDocument(path string) (*document.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	doc := &document.Document{}
	if err := json.Unmarshal(data, doc); err != nil {
		return nil, fmt.Errorf("read document %s: %w", path, err)
	}
	return doc, nil
}
