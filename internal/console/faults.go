package console

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"sycamoretrail/internal/core/document"
)

// place is where a fault belongs: the section, the record's number (-1: none)
// and the field, by JSON name.
type place struct {
	section string
	record  int
	field   string
}

// placeOf reads the path of a fault, such as organisations[3].tiers[1].
func placeOf(path string) place {
	head, rest, dotted := strings.Cut(path, ".")
	p := place{section: head, record: -1}
	if name, number, found := strings.Cut(head, "["); found {
		p.section = name
		if n, err := strconv.Atoi(strings.TrimSuffix(number, "]")); err == nil {
			p.record = n
		}
	}
	if dotted {
		p.field, _, _ = strings.Cut(rest, "[")
	}
	return p
}

// words is a fault without its path, as it stands beside its field.
func words(f document.Fault) string {
	at := placeOf(f.Path)
	item := ""
	if i := strings.LastIndex(f.Path, "["); at.field != "" && i > strings.Index(f.Path, ".") {
		if n, err := strconv.Atoi(strings.TrimSuffix(f.Path[i+1:], "]")); err == nil {
			item = fmt.Sprintf("item %d: ", n+1)
		}
	}
	return item + f.Problem + "; " + f.Remedy
}

// said is a fault with its place in words, for lists of faults.
type said struct {
	// Section is the page to mend it on, Query finds its record there.
	Section, Query string
	Where, Text    string
}

func say(d *document.Document, f document.Fault) said {
	at := placeOf(f.Path)
	s, known := sectionByID(at.section)
	if !known {
		return said{Where: f.Path, Text: words(f)}
	}
	out := said{Section: s.ID, Where: s.Title, Text: words(f)}
	if name := recordName(d, at); name != "" {
		out.Query = name
		out.Where += ", " + name
	}
	if l, found := labels[s.ID+"."+at.field]; found {
		out.Where += ", " + l.Text
	}
	return out
}

func recordName(d *document.Document, at place) string {
	part, found := fieldNamed(reflect.ValueOf(d).Elem(), at.section)
	if !found || part.Kind() != reflect.Slice || at.record < 0 || at.record >= part.Len() {
		return ""
	}
	return part.Index(at.record).Field(0).String()
}

// placeFaults puts the check's faults of a section beside its fields; those of
// records on other pages go to the top.
func (f *form) placeFaults(d *document.Document, faults document.Faults) {
	focused := false
	for _, fault := range faults {
		at := placeOf(fault.Path)
		if at.section != f.Section.ID {
			continue
		}
		control := f.control(recordName(d, at), at.field)
		if control == nil {
			told := say(d, fault)
			f.Faults = append(f.Faults, told.Where+": "+told.Text)
			continue
		}
		control.Faults = append(control.Faults, words(fault))
		control.Focus = !focused
		focused = true
	}
}

// control finds the control of a record's field on this page.
func (f *form) control(record, fieldName string) *field {
	for i := range f.Rows {
		if f.Rows[i].Name != record {
			continue
		}
		for j := range f.Rows[i].Fields {
			if f.Rows[i].Fields[j].Name == f.Rows[i].Prefix+fieldName {
				return &f.Rows[i].Fields[j]
			}
		}
	}
	return nil
}

// showTyped shows a page again as it was filled in, with what could not be read.
func (f *form) showTyped(values formValues, faults []formFault) {
	focused := false
	show := func(control *field) {
		control.typed(values)
		for _, fault := range faults {
			if fault.Name == control.Name {
				control.Faults = append(control.Faults, fault.Text)
				control.Focus = !focused
				focused = true
			}
		}
	}
	rows := f.Rows
	for i := range rows {
		rows[i].each(show)
		rows[i].Removed = values.get(rows[i].RemoveName()) == checked
	}
	if f.New != nil {
		f.New.each(show)
	}
}

func (r *row) each(do func(*field)) {
	for i := range r.Fields {
		do(&r.Fields[i])
	}
	if r.Position != nil {
		do(r.Position)
	}
}
