package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"
)

// decodeStrict decodes data into target and records every unknown field and wrong
// type; encoding/json would report the first only. It returns false if the values
// cannot be checked further.
func decodeStrict(data []byte, target any, faults *Faults) bool {
	var tree any
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&tree); err != nil {
		faults.add("(file)", fmt.Sprintf("not JSON: %v", err), "write one JSON object")
		return false
	}
	if _, err := decoder.Token(); err != io.EOF {
		faults.add("(file)", "has data after the JSON object", "write one JSON object and nothing after it")
		return false
	}
	if _, object := tree.(map[string]any); !object {
		faults.add("(file)", "not a JSON object", "write one JSON object")
		return false
	}
	before := len(*faults)
	compare("", tree, reflect.TypeOf(target).Elem(), faults)
	err := json.Unmarshal(data, target)
	if err != nil && len(*faults) == before {
		faults.add("(file)", err.Error(), "correct the value")
	}
	return err == nil
}

// compare checks a JSON tree against the Go type that it must fit.
func compare(path string, value any, t reflect.Type, faults *Faults) {
	switch t.Kind() {
	case reflect.Pointer:
		if value != nil {
			compare(path, value, t.Elem(), faults)
		}
	case reflect.Struct:
		compareObject(path, value, t, faults)
	case reflect.Slice:
		compareList(path, value, t, faults)
	case reflect.String:
		if _, ok := value.(string); !ok {
			wrongType(path, value, "a string", faults)
		}
	case reflect.Int:
		number, ok := value.(float64)
		if !ok || number != float64(int(number)) {
			wrongType(path, value, "a whole number", faults)
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			wrongType(path, value, "true or false", faults)
		}
	}
}

func compareObject(path string, value any, t reflect.Type, faults *Faults) {
	object, ok := value.(map[string]any)
	if !ok {
		wrongType(path, value, "an object", faults)
		return
	}
	fields := fieldsByName(t)
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		at := join(path, name)
		field, known := fields[name]
		if !known {
			faults.add(at, "unknown field", "remove it or correct its name; the known fields are "+strings.Join(fieldNames(t), ", "))
			continue
		}
		compare(at, object[name], field.Type, faults)
	}
}

func compareList(path string, value any, t reflect.Type, faults *Faults) {
	list, ok := value.([]any)
	if !ok {
		wrongType(path, value, "a list", faults)
		return
	}
	for i, item := range list {
		compare(fmt.Sprintf("%s[%d]", path, i), item, t.Elem(), faults)
	}
}

func wrongType(path string, value any, want string, faults *Faults) {
	got := "another type"
	switch value.(type) {
	case nil:
		got = "null"
	case string:
		got = "a string"
	case float64:
		got = "a number"
	case bool:
		got = "true or false"
	case []any:
		got = "a list"
	case map[string]any:
		got = "an object"
	}
	faults.add(path, "is "+got, "write "+want)
}

func fieldsByName(t reflect.Type) map[string]reflect.StructField {
	fields := make(map[string]reflect.StructField, t.NumField())
	for i := range t.NumField() {
		fields[jsonName(t.Field(i))] = t.Field(i)
	}
	return fields
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, jsonName(t.Field(i)))
	}
	return names
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
