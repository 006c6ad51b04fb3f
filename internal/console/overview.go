package console

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/operatorclient"
)

// current is the document in force, or an empty one before the first.
type current struct {
	doc     *document.Document
	version int64
	id      string
}

// errForeign: the entries hold what this build cannot read.
var errForeign = errors.New("the document in force is of another version than this console; run the console of the entries' version")

// load reads what is in force from the first entry that answers.
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
		return current{}, fmt.Errorf("%w (%w)", errForeign, err)
	}
	return current{doc: doc, version: answer.Version, id: answer.ID}, nil
}

// overviewData is what the first page shows.
type overviewData struct {
	Version int64
	ID      string
	Comment string
	Counts  []count
	Entries entriesData
	// LogAnswers is "yes", "no" or empty where it was not asked.
	LogAnswers string
}

type count struct {
	ID, Title string
	Number    int
}

// entriesData is the table of the entries.
type entriesData struct {
	Rows []entryRow
	// InForce of Answered entries hold the version, of Listed in all.
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
	for _, one := range statuses {
		row := entryRow{Address: one.Address}
		if one.Err != nil {
			row.Error = one.Err.Error()
			data.Rows = append(data.Rows, row)
			continue
		}
		s := one.Status
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
