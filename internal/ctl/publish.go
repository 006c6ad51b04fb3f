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
		Short: "Check a document, publish it and report the result",
		Long: `Publishes FILE (- for standard input). The document is accepted only if its base is the
version in force. If two operators start from the same version, the second is beaten, and the
command shows which document came first and the difference to it.

Exit codes: 0 accepted, 1 faults (nothing was published), 2 beaten or not published,
3 unknown: publish the same FILE again with the same id, which is harmless.`,
		Example: `  sycamorectl publish document.json --base current --id new`,
		Args:    cobra.ExactArgs(1),
		RunE:    func(_ *cobra.Command, args []string) error { return a.publish(args[0], flags) },
	}
	cmd.Flags().StringVar(&flags.base, "base", "", "version that the change started from: a number or current (default: the file's own base)")
	cmd.Flags().StringVar(&flags.id, "id", "", "id of this publication, or new to generate one (default: the file's own id)")
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
	return a.reportPublished(path, client, doc, published)
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

// checkID rejects the id of the document in force if the documents differ.
// Entries ignore a second record with the same id and report the acceptance of
// the first, so an edited file that kept its id would appear to be published.
func checkID(client *operatorclient.Client, doc *document.Document) error {
	current, err := loadInForce(client)
	if err != nil || current.doc.ID != doc.ID || len(document.Diff(current.doc, doc)) == 0 {
		return nil // if no entry answered, the publication reports the error
	}
	return exit(exitFault, "id %q is that of the document in force, version %d; give this publication its own with --id new", doc.ID, current.version)
}

// encode encodes the document. It checks the log's size limit here, so that the
// operator receives the reason.
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

// publishResult is the JSON output of a publication.
type publishResult struct {
	api.Published
	// Difference lists the changes from the document in force to this one, if this
	// one was superseded.
	Difference []document.Change `json:"difference,omitempty"`
	// Base is the base with which the document was published.
	Base int64 `json:"base"`
}

// publishExitCodes maps each result to its exit code.
var publishExitCodes = map[api.Result]int{
	api.ResultAccepted:     exitDone,
	api.ResultInvalid:      exitFault,
	api.ResultSuperseded:   exitRefused,
	api.ResultNotPublished: exitRefused,
	api.ResultUnknown:      exitUnknown,
}

func (a *app) reportPublished(path string, client *operatorclient.Client, doc *document.Document, published api.Published) error {
	if published.Result == api.ResultInvalid {
		return a.printFaults(path, published.Faults)
	}
	result := publishResult{Published: published, Base: doc.Base}
	if published.Result == api.ResultSuperseded {
		result.Difference = differenceInForce(client, doc)
	}
	if err := a.print(result, func(w io.Writer) { writePublishResult(w, result) }); err != nil {
		return err
	}
	if published.Result == api.ResultAccepted {
		return checkSameContent(client, doc)
	}
	code, known := publishExitCodes[published.Result]
	if !known {
		return exit(exitUnknown, "the entry answers %q, which this version does not support; use the sycamorectl of the entry's version", published.Result)
	}
	return exitQuietly(code)
}

// checkSameContent detects that the id was accepted with other content: entries
// keep the first record of an id and report its acceptance for later ones.
func checkSameContent(client *operatorclient.Client, doc *document.Document) error {
	current, err := loadInForce(client)
	if err != nil || current.doc.ID != doc.ID || len(document.Diff(current.doc, doc)) == 0 {
		return nil // another document followed, or no entry answered: the result is valid
	}
	return exit(exitRefused, "id %q was accepted with other content than this file's; publish the file with --base current --id new", doc.ID)
}

// differenceInForce returns the changes from the document in force to doc. It
// returns nil if the document in force cannot be read; the result is still valid.
func differenceInForce(client *operatorclient.Client, doc *document.Document) []document.Change {
	current, err := loadInForce(client)
	if err != nil {
		return nil
	}
	return contentChanges(document.Diff(current.doc, doc))
}

func writePublishResult(w io.Writer, result publishResult) {
	switch result.Result {
	case api.ResultAccepted:
		fmt.Fprintf(w, "accepted: %s is in force as version %d\n", result.ID, result.Version)
	case api.ResultSuperseded:
		fmt.Fprintf(w, "beaten: %s came first as version %d; %s is not in force and will not be\n", orDash(result.Winner), result.WinnerVersion, result.ID)
		if len(result.Difference) > 0 {
			fmt.Fprintln(w, "\nwhat your document would change in the one in force:")
			writeChanges(w, result.Difference)
		}
		fmt.Fprintln(w, "\ntake their change into your file, then: sycamorectl publish FILE --base current --id new")
	case api.ResultUnknown:
		fmt.Fprintf(w, "unknown: %s may yet come in force. %s\n", result.ID, result.Detail)
		fmt.Fprintf(w, "to learn what became of it, publish it again as it was, which is harmless: sycamorectl publish FILE --base %d --id %s\n", result.Base, result.ID)
	case api.ResultNotPublished:
		fmt.Fprintf(w, "not published: nothing was changed. %s\n", result.Detail)
	}
}
