package ctl

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
)

func (a *app) resolveCommand() *cobra.Command {
	var zone, entry string
	cmd := &cobra.Command{
		Use:   "resolve",
		Short: "Show which entries a caller should use",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			address, err := a.callersAddress(entry)
			if err != nil {
				return err
			}
			answer, err := resolve(address, zone)
			if err != nil {
				return err
			}
			return a.print(answer, func(w io.Writer) { writeEntries(w, answer) })
		},
	}
	cmd.Flags().StringVar(&zone, "zone", "", "availability zone of the caller; its entries come first")
	cmd.Flags().StringVar(&entry, "entry", "", "callers' address of the entry to ask (default: the first listed that answers)")
	return cmd
}

func writeEntries(w io.Writer, answer entriesAnswer) {
	rows := make([][]string, len(answer.Entries))
	for i, e := range answer.Entries {
		rows[i] = []string{e.Name, e.Address, e.Zone}
	}
	columns(w, []string{"ENTRY", "ADDRESS", "ZONE"}, rows)
	good := time.Duration(answer.GoodForMS) * time.Millisecond
	fmt.Fprintf(w, "\ngood for %v; ids begin with %s\n", good, answer.IDPrefix)
}
