package ctl

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/core/document"
)

func (a *app) documentCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "document",
		Short: "Print the document in force, ready to be edited and published again",
		Long: `Prints the document in force, with its base set to its own version, so that an edited copy
can be published with --id new. --output json prints the entry's answer as it is.`,
		Example: "  sycamorectl document > document.json\n  sycamorectl publish document.json --id new",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			current, err := loadInForce(client)
			if err != nil {
				return err
			}
			current.doc.Base = current.version
			text, err := document.EncodeIndent(current.doc)
			if err != nil {
				return err
			}
			return a.print(current.answer, func(w io.Writer) { fmt.Fprint(w, string(text)) })
		},
	}
}
