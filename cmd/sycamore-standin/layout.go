package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/standin/layout"
)

// layoutCommand returns the command that writes the settings files of a
// deployment on loopback.
func layoutCommand() *cobra.Command {
	var (
		path string
		dir  string
		o    layout.Options
	)
	command := &cobra.Command{
		Use:   "layout",
		Short: "Write settings for stand-ins, entries, client and console on loopback",
		Example: "  sycamore-standin layout --document examples/tanglaw.json --entries 6 --out out/tanglaw\n" +
			"  sycamore-standin run --settings out/tanglaw/standin.json",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			data, err := os.ReadFile(path)
			if err != nil {
				return fmt.Errorf("read document: %w", err)
			}
			doc, err := document.Parse(data)
			if err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
			o.Document = doc
			return layout.Write(dir, o)
		},
	}
	flags := command.Flags()
	flags.StringVar(&path, "document", "", "configuration document that names the targets")
	flags.StringVar(&dir, "out", "out/loopback", "folder for the settings files")
	flags.IntVar(&o.Entries, "entries", 6, "number of entries")
	flags.StringVar(&o.Policy, "policy", "", "entries' policy: scheduler, shares or alone")
	flags.StringVar(&o.TraceDir, "trace-dir", "", "folder in which entries record their traffic")
	flags.Float64Var(&o.EngineStepMS, "step-ms", 0, "time of an engine's step in ms (0: by its generation)")
	_ = command.MarkFlagRequired("document")
	return command
}
