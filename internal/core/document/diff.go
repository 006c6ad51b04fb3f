package document

import (
	"reflect"
	"strings"

	"github.com/go-json-experiment/json"
)

// Change is one difference between two documents, with values as JSON. Before is
// empty if something was added, After if it was removed.
type Change struct {
	// Path identifies list members by name, such as targets[ncr-a-1].leaving, so
	// that an insertion does not appear as a change of all later members.
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// orderSuffix is appended to the path of a list whose members changed their order.
const orderSuffix = ".order"

// Diff returns the differences between a and b, in the order of the fields. Members
// that only b has follow those of a.
func Diff(a, b *Document) []Change {
	var out []Change
	diffStruct(&out, "", reflect.ValueOf(*a), reflect.ValueOf(*b))
	return out
}

func diffStruct(out *[]Change, prefix string, a, b reflect.Value) {
	if reflect.DeepEqual(a.Interface(), b.Interface()) {
		return
	}
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		diffValue(out, prefix+name, a.Field(i), b.Field(i))
	}
}

func diffValue(out *[]Change, path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		diffStruct(out, path+".", a, b)
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		diffList(out, path, a, b)
	case jsonText(a) != jsonText(b):
		*out = append(*out, Change{Path: path, Before: jsonText(a), After: jsonText(b)})
	}
}

// diffList compares two lists of structs whose first field is their name.
func diffList(out *[]Change, path string, a, b reflect.Value) {
	inB := indexByName(b)
	inA := indexByName(a)
	var common []string
	for i := range a.Len() {
		name := a.Index(i).Field(0).String()
		member := path + "[" + name + "]"
		if j, found := inB[name]; found {
			diffStruct(out, member+".", a.Index(i), b.Index(j))
			common = append(common, name)
			continue
		}
		*out = append(*out, Change{Path: member, Before: jsonText(a.Index(i))})
	}
	var commonInB []string
	for j := range b.Len() {
		name := b.Index(j).Field(0).String()
		if _, found := inA[name]; found {
			commonInB = append(commonInB, name)
			continue
		}
		*out = append(*out, Change{Path: path + "[" + name + "]", After: jsonText(b.Index(j))})
	}
	before, after := strings.Join(common, ", "), strings.Join(commonInB, ", ")
	if before != after {
		*out = append(*out, Change{Path: path + orderSuffix, Before: before, After: after})
	}
}

func indexByName(list reflect.Value) map[string]int {
	out := make(map[string]int, list.Len())
	for i := range list.Len() {
		out[list.Index(i).Field(0).String()] = i
	}
	return out
}

// jsonText returns the JSON of a value. Encoding cannot fail for the document's
// types.
func jsonText(v reflect.Value) string {
	data, err := json.Marshal(v.Interface(), json.Deterministic(true))
	if err != nil {
		return err.Error()
	}
	return string(data)
}
