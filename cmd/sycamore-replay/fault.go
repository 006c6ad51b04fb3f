package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/replay/faults"
)

// errFault is returned if a guarantee was violated in a failure.
var errFault = errors.New("a failure was not stood")

// faultFlags are the flags of the fault command.
type faultFlags struct {
	dir, document, tokens, out string
	list                       bool
}

func faultCommand() *cobra.Command {
	f := &faultFlags{}
	command := &cobra.Command{
		Use:   "fault NAME",
		Short: "Bring one failure about on a running deployment and judge what callers got",
		Long: `fault sends traffic to the deployment that scripts/faults.sh started, brings one
failure about meanwhile (signals to entries, orders to stand-ins), and prints in
one line what callers got and how long detection and recovery took. It exits with
1 when something does not hold.`,
		Example: `  sycamore-replay fault --list
  sycamore-replay fault entry-killed --dir out/faults/entry-killed --out out/faults/entry-killed.json`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if f.list {
				listFaults()
				return nil
			}
			if len(args) == 0 {
				return errors.New("name a failure; --list shows them")
			}
			return f.run(command.Context(), args[0])
		},
	}
	flags := command.Flags()
	flags.BoolVar(&f.list, "list", false, "print the names of the failures")
	flags.StringVar(&f.dir, "dir", "", "folder of the deployment's settings and process ids")
	flags.StringVar(&f.document, "document", "examples/tanglaw.json", "document that the deployment was made from")
	flags.StringVar(&f.tokens, "tokens", "examples/tanglaw-tokens.json", "JSON file with the bearer token of each organisation")
	flags.StringVar(&f.out, "out", "", "file for the result as JSON")
	return command
}

func listFaults() {
	for _, f := range faults.All() {
		fmt.Println(f.Name)
	}
}

func (f *faultFlags) run(ctx context.Context, name string) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	failure, err := faults.Find(name)
	if err != nil {
		return err
	}
	doc, err := readDocument(f.document)
	if err != nil {
		return err
	}
	tokens, err := readTokens(f.tokens)
	if err != nil {
		return err
	}
	stage, err := faults.Open(f.dir, doc, tokens)
	if err != nil {
		return err
	}
	result, err := faults.Run(ctx, stage, failure)
	if err != nil {
		return err
	}
	var tiers []string
	for i := range doc.Tiers {
		tiers = append(tiers, doc.Tiers[i].Name)
	}
	fmt.Println(result.Line(tiers))
	if f.out != "" {
		if err := os.MkdirAll(filepath.Dir(f.out), 0o755); err != nil {
			return fmt.Errorf("write result: %w", err)
		}
		if err := result.WriteFile(f.out); err != nil {
			return err
		}
	}
	if !result.Pass {
		return fmt.Errorf("%w: %s", errFault, name)
	}
	return nil
}
