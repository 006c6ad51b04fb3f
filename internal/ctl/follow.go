package ctl

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"
)

// errFollow is wrapped by all errors of the follow command.
var errFollow = errors.New("cannot follow the request")

func (a *app) followCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "follow ID [LOG...]",
		Short: "Show the lines of the entries' logs about one request, in order of time",
		Long: `Reads JSON lines of one or more entries from files, or from standard input, and
shows those that carry the id. Lines that are not JSON are skipped; text before
the object, such as a collector's prefix, is ignored. See docs/OPERATIONS.md.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLines(cmd.InOrStdin(), args[1:], hasID(args[0]))
			if err != nil {
				return fmt.Errorf("%w: %w", errFollow, err)
			}
			if len(lines) == 0 {
				return fmt.Errorf("%w: no line carries the id %s", errFollow, args[0])
			}
			for _, line := range lines {
				fmt.Fprintln(cmd.OutOrStdout(), line)
			}
			return nil
		},
	}
}

// hasID returns a filter that matches the lines of one request.
func hasID(id string) func(logLine) bool {
	return func(line logLine) bool { return line.fields["id"] == id }
}
