package telemetry

import (
	"fmt"
	"os"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("docs/operators/metrics.md", func() {
	It("lists each metric with its type, labels and meaning, and no other", func() {
		page, err := os.ReadFile("../../docs/operators/metrics.md")
		Expect(err).NotTo(HaveOccurred())
		rows := regexp.MustCompile("(?m)^\\| `[a-z_]+` \\| [a-z]+ \\|.*$").FindAllString(string(page), -1)
		var want []string
		for _, m := range catalogue {
			labels := "none"
			if len(m.Labels) > 0 {
				labels = "`" + strings.Join(m.Labels, "`, `") + "`"
			}
			want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s |", m.Name, m.Kind, labels, m.Help))
		}
		Expect(rows).To(Equal(want), "the rows must be:\n"+strings.Join(want, "\n"))
	})
})
