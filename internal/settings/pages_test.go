package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const settingsPage = "../../docs/SETTINGS.md"

// rows returns the rows that the page must have for a struct: name, type and default.
func rows(prefix string, t reflect.Type, defaults reflect.Value) []string {
	var found []string
	for i := range t.NumField() {
		name := prefix + jsonName(t.Field(i))
		field := t.Field(i).Type
		switch field.Kind() {
		case reflect.Pointer:
			found = append(found, rows(name+".", field.Elem(), reflect.Zero(field.Elem()))...)
		case reflect.Struct:
			found = append(found, rows(name+".", field, defaults.Field(i))...)
		default:
			found = append(found, fmt.Sprintf("| `%s` | %s | %s |", name, typeName(field), defaultText(defaults.Field(i))))
		}
	}
	return found
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice:
		return "list of " + typeName(t.Elem()) + "s"
	case reflect.Int:
		return "whole number"
	}
	return t.Kind().String()
}

func defaultText(v reflect.Value) string {
	if v.IsZero() {
		return "none"
	}
	return fmt.Sprintf("`%v`", v.Interface())
}

var rowPattern = regexp.MustCompile("(?m)^(\\| `[a-z0-9_.]+` \\| [^|]+ \\| [^|]+ \\|) ([^|]+) \\|$")

var _ = ginkgo.Describe("docs/SETTINGS.md", func() {
	ginkgo.It("lists each field with its type and default, and no other", func() {
		page, err := os.ReadFile(settingsPage)
		Expect(err).NotTo(HaveOccurred())
		var want []string
		want = append(want, rows("", reflect.TypeFor[Entry](), reflect.ValueOf(DefaultEntry()))...)
		want = append(want, rows("", reflect.TypeFor[Console](), reflect.ValueOf(DefaultConsole()))...)
		want = append(want, rows("", reflect.TypeFor[Ctl](), reflect.ValueOf(DefaultCtl()))...)
		want = append(want, rows("", reflect.TypeFor[Gateway](), reflect.ValueOf(DefaultGateway()))...)
		var got []string
		for _, match := range rowPattern.FindAllStringSubmatch(string(page), -1) {
			got = append(got, match[1])
			Expect(strings.TrimSpace(match[2])).NotTo(BeEmpty(), match[1])
		}
		Expect(got).To(Equal(want))
	})
})
