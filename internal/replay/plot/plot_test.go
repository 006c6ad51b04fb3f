package plot

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/sweep"
)

func TestPlot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plot")
}

var _ = Describe("plots", func() {
	It("draws goodput and first-token times for each tier", func() {
		r := &report.Report{Load: 1, Goodput: map[string]float64{"rider": 0.9}, FirstToken: map[string]report.Percentiles{"rider": {Count: 3, P50: 10, P95: 20, P99: 30}}}
		other := &report.Report{Load: 2, Goodput: map[string]float64{"rider": 0.8}, FirstToken: map[string]report.Percentiles{"rider": {Count: 3, P50: 12, P95: 25, P99: 33}}}
		dir := GinkgoT().TempDir()
		files, err := Draw(append(FromReport("now", r), FromReport("now", other)...), dir, "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(Equal([]string{filepath.Join(dir, "x-goodput-rider.png"), filepath.Join(dir, "x-ttft-rider.png"), filepath.Join(dir, "x-itl-rider.png")}))
		for _, file := range files {
			data, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(data[:4])).To(Equal("\x89PNG"))
		}
	})

	It("draws a sweep's wasted prefill, and scenarios side by side", func() {
		result := &sweep.Result{Name: "usual", Tiers: []string{"rider"}, Rows: []sweep.Row{{Load: 1, Policy: "alone", Bounds: &sweep.Bounds{},
			Report: &report.Report{Goodput: map[string]float64{"rider": 0.5}, Sent: map[string]int{"rider": 2}, PrefillTokens: 10, WastedPrefillTokens: 1}}}}
		points := FromSweep(result)
		Expect(points).To(ContainElement(HaveField("Wasted", 0.1)))
		dir := GinkgoT().TempDir()
		files, err := Draw(points, dir, "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(ContainElement(filepath.Join(dir, "x-wasted.png")))
		files, err = DrawScenarios([]*sweep.Result{result, result}, dir, "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(Equal([]string{filepath.Join(dir, "x-scenarios-rider.png"), filepath.Join(dir, "x-scenarios-all.png")}))
		for _, file := range files {
			Expect(file).To(BeARegularFile())
		}
	})
})
