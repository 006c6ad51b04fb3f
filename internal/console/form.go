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
	// pageRecords is the number of records of a list on one page.
	pageRecords = 25
	prefixPart  = "v."
	prefixNew   = "new."
	// Names of a row's own controls, after its prefix.
	suffixRecord   = "record"
	suffixRemove   = "remove"
	suffixPosition = "position"
)

// form is the content of the page of one section.
type form struct {
	Section section
	Rows    []row
	// New is the empty row for a record to be added; nil if the section is no list.
	New *row
	// Query is the search text, Page the number, from 1, of the page shown, and
	// Pages the number of pages.
	Query       string
	Page, Pages int
	// Matches is the number of records that match the query, Total that of all
	// records.
	Matches, Total int
	// Faults lists faults that belong to no control on this page.
	Faults []string
}

// Before and Next return the numbers of the adjacent pages.
func (f form) Before() int { return f.Page - 1 }
func (f form) Next() int   { return f.Page + 1 }

// row is one record, or the whole content of a section that is no list.
type row struct {
	// Name is the record's name; Prefix begins the names of its controls.
	Name, Prefix string
	Fields       []field
	// Position is the control of the position in ordered lists, else nil.
	Position *field
	// Removed is true if the checkbox that removes the record is checked.
	Removed bool
}

// RecordName and RemoveName return the names of the row's own controls.
func (r row) RecordName() string { return r.Prefix + suffixRecord }
func (r row) RemoveName() string { return r.Prefix + suffixRemove }

func rowPrefix(i int) string { return "r" + strconv.Itoa(i) + "." }

// view selects the records of a section to show.
type view struct {
	section section
	query   string
	page    int
}

// buildForm returns the form of a section, without faults.
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

// defaultRecord returns a record with the defaults of omitted numbers.
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

// matching returns the indices of the records whose name contains the query,
// ignoring case.
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

// readForm applies a posted page of a section to the document. It returns the
// name of an added record, if any. If it returns faults, the document must be
// discarded.
func readForm(d *document.Document, s section, values formValues) (added string, faults []formFault) {
	part, _ := fieldNamed(reflect.ValueOf(d).Elem(), s.ID)
	if !s.List() {
		return "", readRecord(values, prefixPart, part, false)
	}
	// Records that a search hides keep their position.
	positions := make(map[string]int)
	if s.Ordered {
		for i := range part.Len() {
			positions[part.Index(i).Field(0).String()] = i + 1
		}
	}
	previous := maps.Clone(positions)
	for i := range pageRecords {
		faults = append(faults, readRow(part, s, rowPrefix(i), values, positions)...)
	}
	added, more := readNew(part, s, values, positions)
	faults = append(faults, more...)
	if s.Ordered && len(faults) == 0 {
		reorder(d, positions, previous)
	}
	return added, faults
}

func readRow(part reflect.Value, s section, prefix string, values formValues, positions map[string]int) []formFault {
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
	return append(faults, readPosition(s, prefix, name, values, positions)...)
}

func readPosition(s section, prefix, name string, values formValues, positions map[string]int) []formFault {
	if !s.Ordered {
		return nil
	}
	text := strings.TrimSpace(values.get(prefix + suffixPosition))
	position, err := strconv.Atoi(text)
	if err != nil {
		return []formFault{{Name: prefix + suffixPosition, Text: notNumber(text, "a whole number; 1 is the most important")}}
	}
	positions[name] = position
	return nil
}

// readNew adds a record if the empty row was filled in. It validates the name
// here, because a duplicate would merge two records into one in the draft.
func readNew(part reflect.Value, s section, values formValues, positions map[string]int) (string, []formFault) {
	if !hasNewRow(values) {
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
	faults = append(faults, readPosition(s, prefixNew, name, values, positions)...)
	if len(faults) > 0 {
		return "", faults
	}
	part.Set(reflect.Append(part, record))
	return name, nil
}

// hasNewRow reports whether the form had the row for a new record.
func hasNewRow(values formValues) bool { return values.get(prefixNew+suffixRecord) != "" }

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

// reorder sorts tiers by the positions entered. Of two tiers with the same
// position, one that moved up sorts first and one that moved down last, so that
// the moved tier gets the position entered for it.
func reorder(d *document.Document, positions, previous map[string]int) {
	slices.SortStableFunc(d.Tiers, func(a, b document.Tier) int {
		if byPosition := cmp.Compare(positions[a.Name], positions[b.Name]); byPosition != 0 {
			return byPosition
		}
		return cmp.Compare(moved(positions, previous, a.Name), moved(positions, previous, b.Name))
	})
}

// moved returns -1 if the record moved up or is new, 1 if it moved down and 0
// otherwise.
func moved(positions, previous map[string]int, name string) int {
	before, old := previous[name]
	if !old {
		return -1
	}
	return cmp.Compare(positions[name], before)
}
