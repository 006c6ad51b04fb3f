package ctl

import (
	"crypto/rand"
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operatorclient"
	"sycamoretrail/internal/operators/api"
)

const (
	baseCurrent = "current"
	idNew       = "new"
)

type publishFlags struct {
	base, id string
}

func (a *app) publishCommand() *cobra.Command {
	var flags publishFlags
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Check a document, publish it and tell what became of it",
		Long: `Publishes FILE (- for standard input). The document is accepted only if its base is the
version in force; so of two operators who start from the same version one is beaten, and sees
by whom and what differs.

Exit codes: 0 accepted, 1 faults (nothing was published), 2 beaten or not published,
3 unknown: publish the same FILE again with the same id, which is harmless.`,
		Example: `  sycamorectl publish document.json --base current --id new`,
		Args:    cobra.ExactArgs(1),
		RunE:    func(_ *cobra.Command, args []string) error { return a.publish(args[0], flags) },
	}
	cmd.Flags().StringVar(&flags.base, "base", "", "version that the change started from: a number or current (default: the file's own base)")
	cmd.Flags().StringVar(&flags.id, "id", "", "id of this publication, or new to draw one (default: the file's own id)")
	return cmd
}

func (a *app) publish(path string, flags publishFlags) error {
	doc, err := a.readDocument(path)
	if err != nil {
		return err
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	if err := setBase(doc, flags.base, client); err != nil {
		return err
	}
	setID(doc, flags.id)
	if faults := doc.Check(); len(faults) > 0 {
		return a.printFaults(path, apiFaults(faults))
	}
	if err := checkID(client, doc); err != nil {
		return err
	}
	data, err := encode(doc)
	if err != nil {
		return err
	}
	published, err := client.Publish(doc.ID, data)
	if err != nil {
		return err
	}
	return a.tell(path, client, doc, published)
}

func setBase(doc *document.Document, base string, client *operatorclient.Client) error {
	switch base {
	case "":
		return nil
	case baseCurrent:
		current, err := client.Document()
		if err != nil {
			return fmt.Errorf("find the version in force: %w", err)
		}
		doc.Base = current.Version
		return nil
	}
	version, err := strconv.ParseInt(base, 10, 64)
	if err != nil {
		return exit(exitFault, "--base %q: write a version number or current", base)
	}
	doc.Base = version
	return nil
}

func setID(doc *document.Document, id string) {
	switch id {
	case "":
	case idNew:
		doc.ID = rand.Text()
	default:
		doc.ID = id
	}
}

// checkID refuses an id that the document in force has, if the documents differ.
// The entries would ignore the second record of the id and report the first
// one's acceptance, so an edited file that kept its id would seem published.
func checkID(client *operatorclient.Client, doc *document.Document) error {
	current, err := inForce(client)
	if err != nil || current.doc.ID != doc.ID || len(document.Diff(current.doc, doc)) == 0 {
		return nil // without an answer the publication itself will tell
	}
	return exit(exitFault, "id %q is that of the document in force, version %d; give this publication its own with --id new", doc.ID, current.version)
}

// encode refuses here what the log would refuse, so that the operator learns the
// reason.
func encode(doc *document.Document) ([]byte, error) {
	data, err := document.Encode(doc)
	if err != nil {
		return nil, err
	}
	if len(data) > maxDocument {
		return nil, exit(exitFault, "the document has %d bytes, and the log takes %d; make it smaller", len(data), maxDocument)
	}
	return data, nil
}

// verdict is the JSON of a publication.
type verdict struct {
	api.Published
	// Difference lists what the document in force and this one differ in, where
	// this one was beaten.
	Difference []document.Change `json:"difference,omitempty"`
	// Base is what the document was published with.
	Base int64 `json:"base"`
}

// exitOf is the exit code for each result.
var exitOf = map[api.Result]int{
	api.ResultAccepted:     exitDone,
	api.ResultInvalid:      exitFault,
	api.ResultBeaten:       exitRefused,
	api.ResultNotPublished: exitRefused,
	api.ResultUnknown:      exitUnknown,
}

func (a *app) tell(path string, client *operatorclient.Client, doc *document.Document, published api.Published) error {
	if published.Result == api.ResultInvalid {
		return a.printFaults(path, published.Faults)
	}
	said := verdict{Published: published, Base: doc.Base}
	if published.Result == api.ResultBeaten {
		said.Difference = differenceToForce(client, doc)
	}
	if err := a.print(said, func(w io.Writer) { writeVerdict(w, said) }); err != nil {
		return err
	}
	if published.Result == api.ResultAccepted {
		return sameContent(client, doc)
	}
	code, known := exitOf[published.Result]
	if !known {
		return exit(exitUnknown, "the entry answers %q, which this version does not know; use the sycamorectl of the entry's version", published.Result)
	}
	return silent(code)
}

// sameContent tells a second publication of an id with other content: the entries
// keep the first record of an id, and report that one's acceptance.
func sameContent(client *operatorclient.Client, doc *document.Document) error {
	current, err := inForce(client)
	if err != nil || current.doc.ID != doc.ID || len(document.Diff(current.doc, doc)) == 0 {
		return nil // followed by another, or nobody to ask: the verdict stands
	}
	return exit(exitRefused, "id %q was accepted with other content than this file's; publish the file with --base current --id new", doc.ID)
}

// differenceToForce is empty where the winner cannot be read; the verdict counts
// all the same.
func differenceToForce(client *operatorclient.Client, doc *document.Document) []document.Change {
	current, err := inForce(client)
	if err != nil {
		return nil
	}
	return meaningful(document.Diff(current.doc, doc))
}

func writeVerdict(w io.Writer, said verdict) {
	switch said.Result {
	case api.ResultAccepted:
		fmt.Fprintf(w, "accepted: %s is in force as version %d\n", said.ID, said.Version)
	case api.ResultBeaten:
		fmt.Fprintf(w, "beaten: %s came first as version %d; %s is not in force and will not be\n", orDash(said.Winner), said.WinnerVersion, said.ID)
		if len(said.Difference) > 0 {
			fmt.Fprintln(w, "\nwhat your document would change in the one in force:")
			writeChanges(w, said.Difference)
		}
		fmt.Fprintln(w, "\ntake their change into your file, then: sycamorectl publish FILE --base current --id new")
	case api.ResultUnknown:
		fmt.Fprintf(w, "unknown: %s may yet come in force. %s\n", said.ID, said.Detail)
		fmt.Fprintf(w, "to learn what became of it, publish it again as it was, which is harmless: sycamorectl publish FILE --base %d --id %s\n", said.Base, said.ID)
	case api.ResultNotPublished:
		fmt.Fprintf(w, "not published: nothing was changed. %s\n", said.Detail)
	}
}
