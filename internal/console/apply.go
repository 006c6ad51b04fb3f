package console

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"

	"sycamoretrail/internal/core/document"
)

// errPath reports that a change's path does not exist in the document's types.
var errPath = errors.New("change does not fit the document")

// conflict is a change whose previous value differs from the document's.
type conflict struct {
	// Path is the path of the change. Theirs is the value in the document, Yours
	// the value that the change sets; empty means removed or absent.
	Path, Theirs, Yours string
}

// apply applies changes, as document.Diff lists them, to a copy of the document.
// A change whose previous value differs from the document's is still applied and
// reported as a conflict.
func apply(d *document.Document, changes []document.Change) (*document.Document, []conflict, error) {
	out := clone(d)
	var conflicts []conflict
	for _, change := range changes {
		theirs, err := applyOne(reflect.ValueOf(out).Elem(), change)
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", change.Path, err)
		}
		if theirs != change.Before && theirs != change.After {
			conflicts = append(conflicts, conflict{Path: change.Path, Theirs: theirs, Yours: change.After})
		}
	}
	return out, conflicts, nil
}

// clone copies a document as deeply as apply and the forms modify it: they
// replace lists inside records instead of changing their items.
func clone(d *document.Document) *document.Document {
	out := *d
	out.Tiers = slices.Clone(d.Tiers)
	out.Organisations = slices.Clone(d.Organisations)
	out.Pools = slices.Clone(d.Pools)
	out.Models = slices.Clone(d.Models)
	out.Services = slices.Clone(d.Services)
	out.Classes = slices.Clone(d.Classes)
	out.Targets = slices.Clone(d.Targets)
	return &out
}

// applyOne applies one change and returns the value that it replaced, as JSON.
func applyOne(root reflect.Value, change document.Change) (string, error) {
	section, rest, member := strings.Cut(change.Path, "[")
	if !member {
		section, rest, _ = strings.Cut(change.Path, ".")
	}
	at, found := fieldNamed(root, section)
	switch {
	case !found:
		return "", errPath
	case member:
		name, fieldName, closed := strings.Cut(rest, "]")
		if !closed {
			return "", errPath
		}
		return applyMember(at, name, strings.TrimPrefix(fieldName, "."), change)
	case rest == "":
		return replace(at, change.After)
	case at.Kind() == reflect.Struct:
		inner, found := fieldNamed(at, rest)
		if !found {
			return "", errPath
		}
		return replace(inner, change.After)
	}
	return "", errPath
}

// applyMember changes, adds or removes a record of a list. A change to a field of
// a removed record does not restore the record; its empty previous value is
// reported as a conflict.
func applyMember(list reflect.Value, name, fieldName string, change document.Change) (string, error) {
	if list.Kind() != reflect.Slice || list.Type().Elem().Kind() != reflect.Struct {
		return "", errPath
	}
	i := indexOf(list, name)
	if fieldName != "" {
		if i < 0 {
			return "", nil
		}
		inner, found := fieldNamed(list.Index(i), fieldName)
		if !found {
			return "", errPath
		}
		return replace(inner, change.After)
	}
	if change.After == "" {
		return remove(list, i), nil
	}
	if i >= 0 {
		return replace(list.Index(i), change.After)
	}
	added := reflect.New(list.Type().Elem()).Elem()
	if _, err := replace(added, change.After); err != nil {
		return "", err
	}
	list.Set(reflect.Append(list, added))
	return "", nil
}

func remove(list reflect.Value, i int) string {
	if i < 0 {
		return ""
	}
	before := jsonText(list.Index(i))
	list.Set(reflect.AppendSlice(list.Slice3(0, i, i), list.Slice(i+1, list.Len())))
	return before
}

// replace sets a value from JSON and returns the previous one as JSON.
func replace(at reflect.Value, after string) (string, error) {
	before := jsonText(at)
	fresh := reflect.New(at.Type())
	if err := json.Unmarshal([]byte(after), fresh.Interface()); err != nil {
		return "", fmt.Errorf("%w: %w", errPath, err)
	}
	at.Set(fresh.Elem())
	return before, nil
}

// jsonText returns a value as JSON, encoded as in document.Diff.
func jsonText(v reflect.Value) string {
	data, err := json.Marshal(v.Interface(), json.Deterministic(true))
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func fieldNamed(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if jsonName(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// indexOf returns the index of the record with the name, which is the first
// field, or -1.
func indexOf(list reflect.Value, name string) int {
	for i := range list.Len() {
		if list.Index(i).Field(0).String() == name {
			return i
		}
	}
	return -1
}

// orderTiers sorts the tiers into the given order. Tiers that order does not
// contain follow the others.
func orderTiers(d *document.Document, order []string) {
	if len(order) == 0 {
		return
	}
	rank := func(t document.Tier) int {
		if i := slices.Index(order, t.Name); i >= 0 {
			return i
		}
		return len(order)
	}
	slices.SortStableFunc(d.Tiers, func(a, b document.Tier) int { return rank(a) - rank(b) })
}

func tierNames(d *document.Document) []string {
	names := make([]string, len(d.Tiers))
	for i := range d.Tiers {
		names[i] = d.Tiers[i].Name
	}
	return names
}
