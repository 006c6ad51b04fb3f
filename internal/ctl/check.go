package ctl

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operators/api"
)

// maxDocument is the size limit of one record in the log, in bytes.
const maxDocument = 1 << 20

func (a *app) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a document without publishing it, and list every fault",
		Long:  "Checks FILE (- for standard input) by the same rules as the entries do. Needs no entry.",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			doc, err := a.readDocument(args[0])
			if err != nil {
				return err
			}
			faults := doc.Check()
			if len(faults) > 0 {
				return a.printFaults(args[0], apiFaults(faults))
			}
			return a.print(checkResult{ID: doc.ID, Faults: []api.Fault{}}, func(w io.Writer) {
				fmt.Fprintf(w, "%s: no faults; id %s, base %d, %d organisations, %d targets\n",
					args[0], doc.ID, doc.Base, len(doc.Organisations), len(doc.Targets))
			})
		},
	}
}

// checkResult is the JSON output of a check.
type checkResult struct {
	ID     string      `json:"id"`
	Faults []api.Fault `json:"faults"`
}

// readDocument reads a file, or standard input for "-", and parses it strictly.
func (a *app) readDocument(path string) (*document.Document, error) {
	data, err := a.readFile(path)
	if err != nil {
		return nil, err
	}
	doc, err := document.Parse(data)
	if err != nil {
		return nil, exit(exitFault, "%s: %v; the names are listed in docs/SETTINGS.md", path, err)
	}
	return doc, nil
}

func (a *app) readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(a.streams.In)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, exit(exitFault, "%v; name a file that you may read, or - for standard input", err)
	}
	return data, nil
}

// printFaults prints the faults and returns an error with code exitFault.
func (a *app) printFaults(what string, faults []api.Fault) error {
	err := a.print(checkResult{Faults: faults}, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %d faults\n", what, len(faults))
		for _, fault := range faults {
			fmt.Fprintf(w, "  %s: %s; %s\n", fault.Path, fault.Problem, fault.Remedy)
		}
	})
	if err != nil {
		return err
	}
	return exitQuietly(exitFault)
}

func apiFaults(faults document.Faults) []api.Fault {
	out := make([]api.Fault, len(faults))
	for i, fault := range faults {
		out[i] = api.Fault{Path: fault.Path, Problem: fault.Problem, Remedy: fault.Remedy}
	}
	return out
}
