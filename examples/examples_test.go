package examples_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/examples"
	"sycamoretrail/internal/core/document"
)

func TestExamples(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "examples")
}

var _ = DescribeTable("an example's file", func(name string, engines, services int) {
	data, err := os.ReadFile(name)
	Expect(err).NotTo(HaveOccurred())
	d, err := document.Parse(data)
	Expect(err).NotTo(HaveOccurred())
	Expect(d.Check()).To(BeEmpty())
	Expect(document.Diff(d, examples.All()[name])).To(BeEmpty(), "run go run ./examples/generate")

	x := document.NewIndex(d)
	zones := map[string]bool{}
	kinds := map[document.TargetKind]int{}
	for i := range d.Targets {
		zones[d.Targets[i].Zone] = true
		class, _ := x.ClassOf(d.Targets[i].Name)
		kinds[class.Kind]++
	}
	Expect(zones).To(HaveLen(3))
	Expect(kinds).To(Equal(map[document.TargetKind]int{document.KindEngine: engines, document.KindService: services}))
	Expect(d.Organisations).To(HaveLen(5))
},
	Entry("Tanglaw", examples.TanglawFile, 10, 3),
	Entry("Quebracho", examples.QuebrachoFile, 12, 3),
)
