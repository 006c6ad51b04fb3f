// Package cli implements the command line that the daemons share: the commands run,
// check and version, the settings flag, and exit codes for scripts.
package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/settings"
)

// Exit codes for scripts.
const (
	ExitFailed   = 1
	ExitSettings = 2
)

// Daemon describes the command line of one daemon. S is its settings.
type Daemon[S any] struct {
	// Name, Short and Long describe the root command, RunShort the command run.
	Name, Short, Long, RunShort string
	Version                     string
	// Load reads and checks a settings file; an error is settings.Faults or wraps
	// settings.ErrRead.
	Load func(path string) (S, error)
	// Run serves until the process is ordered to stop.
	Run func(ctx context.Context, loaded S) error
}

// Main runs the command line; it exits the process with an exit code on an error.
func (d Daemon[S]) Main() {
	err := d.Command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, d.Name+":", err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var faults settings.Faults
	if errors.As(err, &faults) || errors.Is(err, settings.ErrRead) {
		return ExitSettings
	}
	return ExitFailed
}

// Command returns the root command.
func (d Daemon[S]) Command() *cobra.Command {
	root := &cobra.Command{
		Use: d.Name, Short: d.Short, Long: d.Long, Version: d.Version,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(d.run(), d.check(), d.version())
	return root
}

func (d Daemon[S]) run() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "run --settings FILE",
		Short: d.RunShort,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := d.Load(path)
			if err != nil {
				return err
			}
			return d.Run(cmd.Context(), loaded)
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

func (d Daemon[S]) check() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "check --settings FILE",
		Short: "Check a settings file and list every fault (exit code 2)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := d.Load(path); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return nil
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

func (d Daemon[S]) version() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), d.Version) },
	}
}

func settingsFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "settings", "", "settings file (JSON); see docs/SETTINGS.md")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err) // the flag is defined on the line above
	}
}
