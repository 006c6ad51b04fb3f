// Command sycamore-replay sends recorded traces, live or on a virtual clock,
// and holds the result against stated outcomes.
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

func root() *cobra.Command {
	command := &cobra.Command{
		Use:   "sycamore-replay",
		Short: "Replay recorded traffic against stated outcomes",
		Long: `sycamore-replay sends a trace of requests and reports what became of each: to
running entries (run --mode live), or to the same core on a virtual clock
(run --mode virtual). It exits with 1 when a stated outcome does not hold.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(generateCommand(), runCommand())
	return command
}
