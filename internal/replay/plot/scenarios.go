package plot

import (
	"fmt"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sycamoretrail/internal/replay/sweep"
)

// barWidth is the width of one bar in an image of scenarios.
const barWidth = 6

// DrawScenarios writes NAME-scenarios-TIER.png for each tier, with the goodput of
// each policy and the bound in each sweep. Each sweep has one load. It returns the
// paths.
func DrawScenarios(sweeps []*sweep.Result, dir, name string) ([]string, error) {
	var names []string
	var points [][]Point
	for _, r := range sweeps {
		names = append(names, r.Name)
		points = append(points, FromSweep(r))
	}
	var files []string
	all := slices.Concat(points...)
	for _, tier := range distinct(all, func(p Point) string { return p.Tier }) {
		path := filepath.Join(dir, fmt.Sprintf("%s-scenarios-%s.png", name, tier))
		if err := drawScenarios(points, names, tier, path); err != nil {
			return files, err
		}
		files = append(files, path)
	}
	return files, nil
}

func drawScenarios(points [][]Point, names []string, tier, path string) error {
	p := newPlot("Goodput by scenario, "+tier, "answered whole and in time / sent")
	p.X.Label.Text = ""
	// The range leaves space for the legend above the bars.
	p.Y.Min, p.Y.Max = 0, 1.4
	labels := distinct(slices.Concat(points...), func(p Point) string { return p.Label })
	for i, label := range labels {
		var values plotter.Values
		for _, scenario := range points {
			values = append(values, meanGoodput(scenario, tier, label))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("draw %s: %w", label, err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(labels)-1)/2))
		p.Add(bars)
		p.Legend.Add(label, bars)
	}
	p.NominalX(names...)
	return save(p, path)
}

func meanGoodput(points []Point, tier, label string) float64 {
	sum, n := 0.0, 0
	for _, p := range points {
		if p.Tier == tier && p.Label == label {
			sum += p.Goodput
			n++
		}
	}
	return sum / float64(max(n, 1))
}
