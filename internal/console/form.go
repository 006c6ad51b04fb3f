package console

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"sycamoretrail/internal/core/document"
)

const (
	// pageRecords is how many records of a list one page shows.
	pageRecords = 25
	prefixPart  = "v."
	prefixNew   = "new."
	// Names of a row's own controls, after its prefix.
	suffixRecord   = "record"
	suffixRemove   = "remove"
	suffixPosition = "position"
)

// form is the page of one section.
type form struct {
	Section section
	Rows    []row
	// New is the empty row for a record to be added; nil for no list.
	New *row
	// Query is what was searched for, Page the page shown of Pages, from 1.
	Query       string
	Page, Pages int
	// Matches of Total records fit the query.
	Matches, Total int
	// Faults that belong to no control on this page.
	Faults []string
}

// Before and Next are the numbers of the pages beside this one.
func (f form) Before() int { return f.Page - 1 }
func (f form) Next() int   { return f.Page + 1 }

// row is one record, or the one part of a section that is no list.
type row struct {
	// Name is the record's name; Prefix begins the names of its controls.
	Name, Prefix string
	Fields       []field
	// Position is shown in ordered lists.
	Position *field
	// Removed: the box that removes the record is ticked.
	Removed bool
}

// RecordName, RemoveName are names of the row's own controls.
func (r row) RecordName() string { return r.Prefix + suffixRecord }
func (r row) RemoveName() string { return r.Prefix + suffixRemove }

func rowPrefix(i int) string { return "r" + strconv.Itoa(i) + "." }

// view says which records of a section to show.
type view struct {
	section section
	query   string
	page    int
}

// buildForm forms the page of a section, without faults.
func buildForm(d *document.Document, v view) form {
	part, _ := fieldNamed(reflect.ValueOf(d).Elem(), v.section.ID)
	f := form{Section: v.section, Query: v.query, Page: 1, Pages: 1}
	if !v.section.List() {
		f.Rows = []row{{Prefix: prefixPart, Fields: fieldsOf(d, v.section.ID, prefixPart, part, false)}}
		return f
	}
	found := matching(part, v.query)
	f.Total, f.Matches = part.Len(), len(found)
	f.Pages = max(1, (len(found)+pageRecords-1)/pageRecords)
	f.Page = min(max(v.page, 1), f.Pages)
	from := (f.Page - 1) * pageRecords
	for i, at := range found[from:min(from+pageRecords, len(found))] {
		f.Rows = append(f.Rows, recordRow(d, v.section, part.Index(at), at, i))
	}
	f.New = newRow(d, v.section, part.Type().Elem(), part.Len())
	return f
}

func recordRow(d *document.Document, s section, record reflect.Value, at, i int) row {
	prefix := rowPrefix(i)
	r := row{Name: record.Field(0).String(), Prefix: prefix, Fields: fieldsOf(d, s.ID, prefix, record, true)}
	if s.Ordered {
		r.Position = positionField(prefix, at+1)
	}
	return r
}

func newRow(d *document.Document, s section, t reflect.Type, total int) *row {
	r := row{Prefix: prefixNew, Fields: fieldsOf(d, s.ID, prefixNew, defaultRecord(t), false)}
	if s.Ordered {
		r.Position = positionField(prefixNew, total+1)
	}
	return &r
}

func positionField(prefix string, position int) *field {
	return &field{Name: prefix + suffixPosition, Label: "Position", Control: controlNumber, Value: strconv.Itoa(position)}
}

// defaultRecord is what a record has where the file leaves numbers out.
func defaultRecord(t reflect.Type) reflect.Value {
	record := reflect.New(t)
	switch r := record.Interface().(type) {
	case *document.Tier:
		r.DeadlineMS = document.DefaultTierDeadlineMS
	case *document.Organisation:
		r.Weight = document.DefaultWeight
	case *document.Model:
		r.ContextTokens = document.DefaultContextTokens
	case *document.Class:
		r.MaxInFlight = document.DefaultMaxInFlight
	}
	return record.Elem()
}

// matching lists the records whose name has the query in it.
func matching(list reflect.Value, query string) []int {
	query = strings.ToLower(strings.TrimSpace(query))
	var found []int
	for i := range list.Len() {
		if strings.Contains(strings.ToLower(list.Index(i).Field(0).String()), query) {
			found = append(found, i)
		}
	}
	return found
}

// readForm makes what a posted page of a section says in the document. added is
// the name of a record that is new. With faults the document is of no use.
func readForm(d *document.Document, s section, values formValues) (added string, faults []formFault) {
	part, _ := fieldNamed(reflect.ValueOf(d).Elem(), s.ID)
	if !s.List() {
		return "", readRecord(values, prefixPart, part, false)
	}
	// Records that a search hides keep the place that they have.
	places := make(map[string]int)
	if s.Ordered {
		for i := range part.Len() {
			places[part.Index(i).Field(0).String()] = i + 1
		}
	}
	was := maps.Clone(places)
	for i := range pageRecords {
		faults = append(faults, readRow(part, s, rowPrefix(i), values, places)...)
	}
	added, more := readNew(part, s, values, places)
	faults = append(faults, more...)
	if s.Ordered && len(faults) == 0 {
		reorder(d, places, was)
	}
	return added, faults
}

func readRow(part reflect.Value, s section, prefix string, values formValues, places map[string]int) []formFault {
	name := values.get(prefix + suffixRecord)
	at := indexOf(part, name)
	if name == "" || at < 0 {
		return nil
	}
	if values.get(prefix+suffixRemove) == checked {
		remove(part, at)
		return nil
	}
	faults := readRecord(values, prefix, part.Index(at), true)
	return append(faults, readPosition(s, prefix, name, values, places)...)
}

func readPosition(s section, prefix, name string, values formValues, places map[string]int) []formFault {
	if !s.Ordered {
		return nil
	}
	text := strings.TrimSpace(values.get(prefix + suffixPosition))
	place, err := strconv.Atoi(text)
	if err != nil {
		return []formFault{{Name: prefix + suffixPosition, Text: notNumber(text, "a whole number; 1 is the most important")}}
	}
	places[name] = place
	return nil
}

// readNew adds a record where the empty row was filled. Names are judged here:
// a doubled one would make two records into one in the draft.
func readNew(part reflect.Value, s section, values formValues, places map[string]int) (string, []formFault) {
	if !posted(values) {
		return "", nil
	}
	record := reflect.New(part.Type().Elem()).Elem()
	faults := readRecord(values, prefixNew, record, false)
	name := record.Field(0).String()
	at := prefixNew + jsonName(record.Type().Field(0))
	switch {
	case name == "" && len(faults) == 0 && jsonText(record) == jsonText(defaultRecord(record.Type())):
		return "", nil
	case name == "":
		faults = append(faults, formFault{Name: at, Text: "has no name; give it one, or leave the whole row as it was"})
	case !validName(name):
		faults = append(faults, formFault{Name: at, Text: fmt.Sprintf("name %q has a character that is not allowed or is too long; use at most %d letters, digits, '.', '_' and '-'", name, document.MaxNameLength)})
	case indexOf(part, name) >= 0:
		faults = append(faults, formFault{Name: at, Text: fmt.Sprintf("%q is the name of another; give each its own name", name)})
	}
	faults = append(faults, readPosition(s, prefixNew, name, values, places)...)
	if len(faults) > 0 {
		return "", faults
	}
	part.Set(reflect.Append(part, record))
	return name, nil
}

// posted: the form had the row for a new record.
func posted(values formValues) bool { return values.get(prefixNew+suffixRecord) != "" }

func validName(name string) bool {
	if len(name) > document.MaxNameLength {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		return !letter && !digit && r != '.' && r != '_' && r != '-'
	})
}

// reorder sorts tiers by the positions written. Of two at one position one that
// moved up goes first and one that moved down last, so each gets the place that
// was written for it.
func reorder(d *document.Document, places, was map[string]int) {
	slices.SortStableFunc(d.Tiers, func(a, b document.Tier) int {
		if byPlace := cmp.Compare(places[a.Name], places[b.Name]); byPlace != 0 {
			return byPlace
		}
		return cmp.Compare(moved(places, was, a.Name), moved(places, was, b.Name))
	})
}

// moved is -1 for up and for a new record, 1 for down.
func moved(places, was map[string]int, name string) int {
	before, old := was[name]
	if !old {
		return -1
	}
	return cmp.Compare(places[name], before)
}
