package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operatorclient"
	"sycamoretrail/internal/operators/api"
)

// errNoneInForce reports that no document has been published yet.
var errNoneInForce = errors.New("no document is in force yet; publish one with base 0")

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE | diff A B",
		Short: "Show the changes from the document in force to FILE, or from A to B",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(_ *cobra.Command, args []string) error {
			before, after, err := a.twoDocuments(args)
			if err != nil {
				return err
			}
			changes := contentChanges(document.Diff(before, after))
			return a.print(changes, func(w io.Writer) { writeChanges(w, changes) })
		},
	}
}

func (a *app) twoDocuments(args []string) (before, after *document.Document, err error) {
	if len(args) == 2 {
		if before, err = a.readDocument(args[0]); err != nil {
			return nil, nil, err
		}
		after, err = a.readDocument(args[1])
		return before, after, err
	}
	if after, err = a.readDocument(args[0]); err != nil {
		return nil, nil, err
	}
	client, err := a.client()
	if err != nil {
		return nil, nil, err
	}
	current, err := loadInForce(client)
	return current.doc, after, err
}

// documentInForce is the document in force, parsed, with the entry's answer.
type documentInForce struct {
	doc     *document.Document
	version int64
	answer  api.Document
}

func loadInForce(client *operatorclient.Client) (documentInForce, error) {
	answer, err := client.Document()
	if err != nil {
		return documentInForce{}, err
	}
	if answer.Version == 0 || len(answer.Data) == 0 || string(answer.Data) == "null" {
		return documentInForce{}, exit(exitRefused, "%v", errNoneInForce)
	}
	doc, err := document.Parse(answer.Data)
	if err != nil {
		return documentInForce{}, exit(exitFault, "the document in force is of another version than this client (%v); use the sycamorectl of the entries' version", err)
	}
	return documentInForce{doc: doc, version: answer.Version, answer: answer}, nil
}

// contentChanges omits changes of the id and base, which differ between any two
// publications.
func contentChanges(changes []document.Change) []document.Change {
	out := make([]document.Change, 0, len(changes))
	for _, change := range changes {
		if change.Path != "id" && change.Path != "base" {
			out = append(out, change)
		}
	}
	return out
}

func writeChanges(w io.Writer, changes []document.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	for _, change := range changes {
		switch {
		case change.Before == "":
			fmt.Fprintf(w, "+ %s: %s\n", change.Path, change.After)
		case change.After == "":
			fmt.Fprintf(w, "- %s: %s\n", change.Path, change.Before)
		default:
			fmt.Fprintf(w, "~ %s: %s -> %s\n", change.Path, change.Before, change.After)
		}
	}
}
