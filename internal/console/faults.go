package console

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"sycamoretrail/internal/core/document"
)

// location is the form field to which a fault belongs: the section, the record's
// index (-1 if none) and the field, by JSON name.
type location struct {
	section string
	record  int
	field   string
}

// locate parses the path of a fault, such as organisations[3].tiers[1].
func locate(path string) location {
	head, rest, dotted := strings.Cut(path, ".")
	p := location{section: head, record: -1}
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

// faultText returns the text of a fault without its path, for display at its
// field.
func faultText(f document.Fault) string {
	at := locate(f.Path)
	item := ""
	if i := strings.LastIndex(f.Path, "["); at.field != "" && i > strings.Index(f.Path, ".") {
		if n, err := strconv.Atoi(strings.TrimSuffix(f.Path[i+1:], "]")); err == nil {
			item = fmt.Sprintf("item %d: ", n+1)
		}
	}
	return item + f.Problem + "; " + f.Remedy
}

// listedFault is a fault with a description of its location, for lists of faults.
type listedFault struct {
	// Section is the page on which to fix the fault; Query finds its record there.
	Section, Query string
	Where, Text    string
}

func describeFault(d *document.Document, f document.Fault) listedFault {
	at := locate(f.Path)
	s, known := sectionByID(at.section)
	if !known {
		return listedFault{Where: f.Path, Text: faultText(f)}
	}
	out := listedFault{Section: s.ID, Where: s.Title, Text: faultText(f)}
	if name := recordName(d, at); name != "" {
		out.Query = name
		out.Where += ", " + name
	}
	if l, found := labels[s.ID+"."+at.field]; found {
		out.Where += ", " + l.Text
	}
	return out
}

func recordName(d *document.Document, at location) string {
	part, found := fieldNamed(reflect.ValueOf(d).Elem(), at.section)
	if !found || part.Kind() != reflect.Slice || at.record < 0 || at.record >= part.Len() {
		return ""
	}
	return part.Index(at.record).Field(0).String()
}

// placeFaults adds the check's faults to the controls of their fields. Faults of
// records on other pages are listed at the top.
func (f *form) placeFaults(d *document.Document, faults document.Faults) {
	focused := false
	for _, fault := range faults {
		at := locate(fault.Path)
		if at.section != f.Section.ID {
			continue
		}
		control := f.control(recordName(d, at), at.field)
		if control == nil {
			listed := describeFault(d, fault)
			f.Faults = append(f.Faults, listed.Where+": "+listed.Text)
			continue
		}
		control.Faults = append(control.Faults, faultText(fault))
		control.Focus = !focused
		focused = true
	}
}

// control returns the control of a record's field, or nil if it is not on this
// page.
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

// showInput sets the controls to the operator's input, with the faults of fields
// that could not be parsed.
func (f *form) showInput(values formValues, faults []formFault) {
	focused := false
	show := func(control *field) {
		control.setInput(values)
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
