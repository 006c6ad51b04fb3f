// Package ctl implements the commands of sycamorectl. Each command parses its
// arguments, queries entries through package operatorclient and prints a table
// or JSON.
package ctl

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/operatorclient"
	"sycamoretrail/internal/settings"
)

// Streams are the process's standard streams.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

const about = `Checks and publishes the document that governs sycamoretrail, and shows what the
entries do and why.

Exit codes:
  0  done; published documents are in force, submitted requests answered
  1  wrong usage, or faults in the document or the settings
  2  refused, or beaten by another operator's document
  3  unknown: it may have taken effect, or the entries differ
  4  no entry can be reached

The settings file lists the entries and the operator token:
  {"entries": ["10.0.0.1:7002"], "token_file": "operator.token"}`

// app holds the state that the commands share.
type app struct {
	streams      Streams
	settingsPath string
	output       string
}

// Run executes one command line and returns the exit code.
func Run(version string, args []string, streams Streams) int {
	a := &app{streams: streams}
	root := a.root(version)
	root.SetArgs(args)
	root.SetIn(streams.In)
	root.SetOut(streams.Out)
	root.SetErr(streams.Err)
	err := root.Execute()
	if err != nil && err.Error() != "" {
		fmt.Fprintln(streams.Err, "sycamorectl:", err)
	}
	return exitCode(err)
}

func (a *app) root(version string) *cobra.Command {
	root := &cobra.Command{
		Use:               "sycamorectl",
		Short:             "Operators' client of sycamoretrail",
		Long:              about,
		Version:           version,
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return a.checkOutput() },
	}
	flags := root.PersistentFlags()
	flags.StringVar(&a.settingsPath, "settings", "sycamorectl.json", "settings file (JSON); see docs/SETTINGS.md")
	flags.StringVarP(&a.output, "output", "o", outputTable, "table or json")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(
		a.checkCommand(), a.publishCommand(), a.diffCommand(), a.documentCommand(),
		a.statusCommand(), a.targetsCommand(), a.floorsCommand(), a.explainCommand(),
		a.drainCommand(), a.logLevelCommand(), a.resolveCommand(), a.submitCommand(),
		a.followCommand(), a.rolloutsCommand(),
	)
	return root
}

// client returns a client configured from the settings file.
func (a *app) client() (*operatorclient.Client, error) {
	loaded, err := settings.LoadCtl(a.settingsPath)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w; give --settings FILE", a.settingsPath, err)
	}
	return operatorclient.New(operatorclient.Options{
		Entries: loaded.Entries,
		Token:   loaded.Token,
		Timeout: time.Duration(loaded.TimeoutMS) * time.Millisecond,
	}), nil
}
