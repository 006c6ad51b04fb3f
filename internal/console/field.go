package console

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"sycamoretrail/internal/core/document"
)

// control is the kind of a form control.
type control string

const (
	controlText     control = "text"
	controlNumber   control = "number"
	controlCheckbox control = "checkbox"
	controlSelect   control = "select"
	controlLines    control = "lines"
)

// checked is the value that a browser sends for a checked checkbox.
const checked = "on"

// field is one control of a form, with its faults.
type field struct {
	// Name is the control's name in the form and its id in the page.
	Name    string
	Label   string
	Help    string
	Control control
	Value   string
	Checked bool
	Choices []string
	Faults  []string
	// Focus is true for the first control with a fault, which receives the focus.
	Focus bool
}

// HelpID and FaultID return the ids of the texts that describe the control.
func (f field) HelpID() string  { return f.Name + "-help" }
func (f field) FaultID() string { return f.Name + "-fault" }

// DescribedBy returns the value of aria-describedby.
func (f field) DescribedBy() string {
	var ids []string
	if len(f.Faults) > 0 {
		ids = append(ids, f.FaultID())
	}
	if f.Help != "" {
		ids = append(ids, f.HelpID())
	}
	return strings.Join(ids, " ")
}

// fieldsOf returns the controls of a record. The name of a control is the prefix
// and the JSON name.
func fieldsOf(d *document.Document, sectionID, prefix string, record reflect.Value, skipName bool) []field {
	var out []field
	for i := range record.NumField() {
		name := jsonName(record.Type().Field(i))
		if skipName && i == 0 {
			continue
		}
		l := labels[sectionID+"."+name]
		f := field{Name: prefix + name, Label: l.Text, Help: l.Help}
		f.show(d, l, record.Field(i), optional(record.Type().Field(i)))
		out = append(out, f)
	}
	return out
}

// optional reports whether the field may be omitted from the document.
func optional(f reflect.StructField) bool {
	return strings.Contains(f.Tag.Get("json"), ",omitempty")
}

func (f *field) show(d *document.Document, l label, v reflect.Value, optional bool) {
	f.Control = controlText
	switch v.Kind() {
	case reflect.Bool:
		f.Control = controlCheckbox
		f.Checked = v.Bool()
	case reflect.Int, reflect.Float64:
		f.Control = controlNumber
		f.Value = jsonText(v)
		if optional && v.IsZero() {
			f.Value = ""
		}
	case reflect.Slice:
		f.showList(l, v)
	default:
		f.Value = v.String()
		if l.Choices != nil {
			f.Control = controlSelect
			f.Choices = l.Choices(d)
		}
	}
	f.offerValue()
}

func (f *field) showList(l label, v reflect.Value) {
	items := make([]string, v.Len())
	for i := range items {
		items[i] = v.Index(i).String()
	}
	separator := ", "
	if l.Lines {
		f.Control = controlLines
		separator = "\n"
	}
	f.Value = strings.Join(items, separator)
}

// offerValue adds the current value to the choices if it is missing, so that a
// page never changes it silently.
func (f *field) offerValue() {
	if f.Control != controlSelect {
		return
	}
	f.Choices = slices.Clone(f.Choices)
	if f.Value == "" || !slices.Contains(f.Choices, f.Value) {
		f.Choices = append([]string{f.Value}, f.Choices...)
	}
}

// setInput sets the control to the operator's input, which may be invalid.
func (f *field) setInput(values formValues) {
	if f.Control == controlCheckbox {
		f.Checked = values.get(f.Name) == checked
		return
	}
	f.Value = values.get(f.Name)
	f.offerValue()
}

// formValues reads the fields of a posted form.
type formValues interface {
	get(name string) string
}

// formFault reports that the input of a field is invalid.
type formFault struct {
	// Name is the name of the control.
	Name, Text string
}

// readRecord sets a record's fields from a form, except its name if skipName is
// set.
func readRecord(values formValues, prefix string, record reflect.Value, skipName bool) []formFault {
	var faults []formFault
	for i := range record.NumField() {
		if skipName && i == 0 {
			continue
		}
		name := prefix + jsonName(record.Type().Field(i))
		if problem := readField(values.get(name), record.Field(i), optional(record.Type().Field(i))); problem != "" {
			faults = append(faults, formFault{Name: name, Text: problem})
		}
	}
	return faults
}

// readField parses the text and sets the value. It returns a description of the
// problem, or "".
func readField(text string, v reflect.Value, optional bool) string {
	text = strings.TrimSpace(text)
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(text == checked)
	case reflect.Int:
		return readInt(text, v, optional)
	case reflect.Float64:
		return readFloat(text, v, optional)
	case reflect.Slice:
		v.Set(reflect.ValueOf(items(text)))
	default:
		v.SetString(text)
	}
	return ""
}

func readInt(text string, v reflect.Value, optional bool) string {
	if text == "" && optional {
		v.SetInt(0)
		return ""
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return notNumber(text, "a whole number, without separators")
	}
	v.SetInt(number)
	return ""
}

func readFloat(text string, v reflect.Value, optional bool) string {
	if text == "" && optional {
		v.SetFloat(0)
		return ""
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number-number != 0 { // infinities and NaN have no JSON
		return notNumber(text, "a number such as 0.25")
	}
	v.SetFloat(number)
	return ""
}

func notNumber(text, want string) string {
	if text == "" {
		return "is empty; write " + want
	}
	return fmt.Sprintf("%q is not a number; write %s", text, want)
}

// items splits a list at commas and white space, which names do not contain.
func items(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || unicode.IsSpace(r) })
}
