package console

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operatorclient"
)

// current is the document in force, or an empty document if there is none yet.
type current struct {
	doc     *document.Document
	version int64
	id      string
}

// errIncompatible reports a document in force that this build cannot parse.
var errIncompatible = errors.New("the document in force is of another version than this console; run the console of the entries' version")

// load reads the document in force from the first entry that answers.
func load(client *operatorclient.Client) (current, error) {
	answer, err := client.Document()
	if err != nil {
		return current{}, err
	}
	data := []byte(answer.Data)
	if answer.Version == 0 || len(data) == 0 || string(data) == "null" {
		data = fmt.Appendf(nil, `{"schema":%d}`, document.Schema)
	}
	doc, err := document.Parse(data)
	if err != nil {
		return current{}, fmt.Errorf("%w (%w)", errIncompatible, err)
	}
	return current{doc: doc, version: answer.Version, id: answer.ID}, nil
}

// overviewData is the content of the overview page.
type overviewData struct {
	Version int64
	ID      string
	Comment string
	Counts  []count
	Entries entriesData
	// LogAnswers is "yes", "no" or, if the log was not checked, empty.
	LogAnswers string
}

type count struct {
	ID, Title string
	Number    int
}

// entriesData is the table of the entries.
type entriesData struct {
	Rows []entryRow
	// Listed is the number of entries, Answered that of the entries that answered,
	// and InForce that of the entries at Version or later.
	Version                   int64
	InForce, Answered, Listed int
}

type entryRow struct {
	Address, Name, Zone, State, Error string
	Version                           int64
	InFlight                          int
	LogAvailable, Behind              bool
}

func entriesOf(statuses []operatorclient.EntryStatus, version int64) entriesData {
	data := entriesData{Version: version, Listed: len(statuses)}
	data.InForce, data.Answered = operatorclient.CountInForce(statuses, version)
	for _, entry := range statuses {
		row := entryRow{Address: entry.Address}
		if entry.Err != nil {
			row.Error = entry.Err.Error()
			data.Rows = append(data.Rows, row)
			continue
		}
		s := entry.Status
		row.Name, row.Zone, row.State = s.Entry.Name, s.Entry.Zone, s.State
		row.Version, row.InFlight, row.LogAvailable = s.Version, s.InFlight, s.LogAvailable
		row.Behind = s.Version < version
		data.Rows = append(data.Rows, row)
	}
	return data
}

func (c *Console) overview(v *visit) {
	now, err := load(v.client)
	if err != nil {
		c.fail(v, err)
		return
	}
	data := overviewData{
		Version:    now.version,
		ID:         now.id,
		Comment:    now.doc.Comment,
		Counts:     countsOf(now.doc),
		Entries:    entriesOf(v.client.Statuses(), now.version),
		LogAnswers: c.logAnswers(),
	}
	c.answer(v, fasthttp.StatusOK, pageOverview, page{Title: "Overview", Body: data})
}

func (c *Console) logAnswers() string {
	if c.options.LogAvailable == nil {
		return ""
	}
	if c.options.LogAvailable() {
		return "yes"
	}
	return "no"
}

func countsOf(d *document.Document) []count {
	var out []count
	for _, s := range sections {
		if !s.List() {
			continue
		}
		list, _ := fieldNamed(reflect.ValueOf(d).Elem(), s.ID)
		out = append(out, count{ID: s.ID, Title: s.Title, Number: list.Len()})
	}
	return out
}
