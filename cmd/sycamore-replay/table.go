package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/replay/sweep"
)

func tableCommand() *cobra.Command {
	var organisations, latencies bool
	command := &cobra.Command{
		Use:     "table SWEEP...",
		Short:   "Print sweeps as Markdown tables",
		Example: `  sycamore-replay table out/tanglaw.json out/tanglaw-flood.json`,
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error {
			for _, path := range paths {
				result, err := sweep.ReadFile(path)
				if err != nil {
					return err
				}
				fmt.Printf("\n**%s, %s**\n\n", result.Deployment, result.Name)
				write := result.WriteTable
				switch {
				case organisations:
					write = result.WriteOrganisations
				case latencies:
					write = result.WriteLatencies
				}
				if err := write(os.Stdout); err != nil {
					return err
				}
			}
			return nil
		},
	}
	command.Flags().BoolVar(&latencies, "latencies", false, "first-token and inter-token times instead of goodput")
	command.Flags().BoolVar(&organisations, "organisations", false, "goodput of each organisation instead")
	return command
}
