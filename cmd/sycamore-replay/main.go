// Command sycamore-replay replays recorded traces, live or on a virtual clock, and
// checks the result against stated outcomes.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sycamore-replay:", err)
		os.Exit(1)
	}
}

// root returns the root command, which runs a replay if no subcommand is given.
func root() *cobra.Command {
	command := runCommand()
	command.Use = "sycamore-replay"
	command.Short = "Replay recorded traffic against stated outcomes"
	command.Long = `sycamore-replay sends a trace of requests and reports what became of each: to
running entries (--mode live), or to the same core on a virtual clock
(--mode virtual). It exits with 1 when a stated outcome does not hold.`
	command.SilenceUsage = true
	command.SilenceErrors = true
	command.AddCommand(
		generateCommand(), generateDocumentCommand(), runCommand(), faultCommand(),
		sweepCommand(), tableCommand(), plotCommand(), hopCommand(), streamsCommand(), slopesCommand(),
	)
	return command
}
