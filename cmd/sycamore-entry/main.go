// Command sycamore-entry is the daemon on an entry instance: it takes callers'
// requests, runs them at targets and agrees with the other entries on places.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/settings"
)

// version is set by the linker: -ldflags "-X main.version=...".
var version = "dev"

// Exit codes for scripts.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "sycamore-entry:", err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var faults settings.Faults
	if errors.As(err, &faults) || errors.Is(err, settings.ErrRead) {
		return exitSettings
	}
	return exitFailed
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "sycamore-entry",
		Short:         "Daemon of sycamoretrail on an entry instance",
		Long:          "Takes callers' requests and runs each at one target, in the order of tiers.\nWhat governs it is the document that operators publish; the settings file only says\nwho this process is and where it finds the platform. See docs/SETTINGS.md.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), checkCommand(), versionCommand())
	return root
}

func runCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "run --settings FILE",
		Short: "Run until drained (SIGTERM), then exit with 0",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := settings.LoadEntry(path)
			if err != nil {
				return err
			}
			return run(cmd.Context(), loaded)
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

func checkCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "check --settings FILE",
		Short: "Check a settings file and list every fault (exit code 2)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.LoadEntry(path); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return nil
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version) },
	}
}

func settingsFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "settings", "", "settings file (JSON)")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err) // the flag is defined on the line above
	}
}
