package reasons

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/outcome"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reasons")
}

// constants returns the values of all constants of type Reason, read from the source.
func constants() []outcome.Reason {
	file, err := parser.ParseFile(token.NewFileSet(), "../core/outcome/outcome.go", nil, 0)
	Expect(err).NotTo(HaveOccurred())
	var found []outcome.Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); !ok || kind.Name != "Reason" {
			return true
		}
		for _, value := range spec.Values {
			text, err := strconv.Unquote(value.(*ast.BasicLit).Value)
			Expect(err).NotTo(HaveOccurred())
			if text != "" {
				found = append(found, outcome.Reason(text))
			}
		}
		return true
	})
	return found
}

var _ = Describe("reasons", func() {
	It("are all explained, with one explanation per constant and no other", func() {
		all := constants()
		Expect(len(all)).To(BeNumerically(">", 20))
		Expect(explanations).To(HaveLen(len(all)))
		for _, reason := range all {
			Expect(Of(reason).Meaning).NotTo(BeEmpty(), string(reason))
			Expect(Of(reason).Remedy).NotTo(BeEmpty(), string(reason))
		}
	})

	It("are listed in the operators' page with the same texts", func() {
		page, err := os.ReadFile("../../docs/operators/reasons.md")
		Expect(err).NotTo(HaveOccurred())
		rows := regexp.MustCompile("(?m)^\\| `.*$").FindAllString(string(page), -1)
		var want []string
		for _, reason := range constants() {
			w := Of(reason)
			want = append(want, fmt.Sprintf("| `%s` | %s | %s |", reason, w.Meaning, w.Remedy))
		}
		Expect(rows).To(Equal(want), "the rows must be:\n"+strings.Join(want, "\n"))
	})

	It("are listed in the callers' page", func() {
		page, err := os.ReadFile("../../docs/API.md")
		Expect(err).NotTo(HaveOccurred())
		for _, reason := range constants() {
			Expect(string(page)).To(ContainSubstring("`"+string(reason)+"`"), string(reason))
		}
	})
})
