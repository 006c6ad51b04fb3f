// Package plot draws goodput and first-token times against load, as PNG files.
package plot

import (
	"cmp"
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/sweep"
)

// Point is one tier at one load, under one label (a policy or a version).
type Point struct {
	Label      string
	Tier       string
	Load       float64
	Goodput    float64
	FirstToken report.Percentiles
}

// boundLabel is the oracle's line.
const boundLabel = "bound"

// FromSweep makes points of a sweep's means, and of its bound.
func FromSweep(r *sweep.Result) []Point {
	var points []Point
	drawn := map[string]bool{}
	for _, s := range r.Summaries() {
		points = append(points, Point{Label: string(s.Policy), Tier: s.Tier, Load: s.Load, Goodput: s.Goodput.Mean, FirstToken: s.FirstToken})
		key := fmt.Sprintf("%s %g", s.Tier, s.Load)
		if !drawn[key] {
			drawn[key] = true
			points = append(points, Point{Label: boundLabel, Tier: s.Tier, Load: s.Load, Goodput: s.Bound})
		}
	}
	return points
}

// FromReport makes points of a single report, one for each tier.
func FromReport(label string, r *report.Report) []Point {
	var points []Point
	for _, tier := range slices.Sorted(maps.Keys(r.Goodput)) {
		points = append(points, Point{Label: label, Tier: tier, Load: r.Load, Goodput: r.Goodput[tier], FirstToken: r.FirstToken[tier]})
	}
	return points
}

// Size of a picture.
const (
	width  = 16 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Draw writes the pictures NAME-goodput-TIER.png and NAME-ttft-TIER.png, and
// returns their paths.
func Draw(points []Point, dir, name string) ([]string, error) {
	var files []string
	for _, tier := range distinct(points, func(p Point) string { return p.Tier }) {
		mine := slices.DeleteFunc(slices.Clone(points), func(p Point) bool { return p.Tier != tier })
		path := filepath.Join(dir, fmt.Sprintf("%s-goodput-%s.png", name, tier))
		if err := drawGoodput(mine, tier, path); err != nil {
			return files, err
		}
		files = append(files, path)
		timed := slices.DeleteFunc(mine, func(p Point) bool { return p.FirstToken.Count == 0 })
		if len(timed) == 0 {
			continue
		}
		path = filepath.Join(dir, fmt.Sprintf("%s-ttft-%s.png", name, tier))
		if err := drawFirstToken(timed, tier, path); err != nil {
			return files, err
		}
		files = append(files, path)
	}
	return files, nil
}

func drawGoodput(points []Point, tier, path string) error {
	p := newPlot("Goodput, "+tier, "answered whole and in time / sent")
	p.Y.Min, p.Y.Max = 0, 1.02
	for i, label := range distinct(points, func(p Point) string { return p.Label }) {
		line := along(points, label, func(p Point) float64 { return p.Goodput })
		if err := addLine(p, label, i, 0, line); err != nil {
			return err
		}
	}
	return save(p, path)
}

// percentile is one line of a first-token picture.
type percentile struct {
	name string
	of   func(report.Percentiles) float64
}

var drawnPercentiles = []percentile{
	{"p50", func(p report.Percentiles) float64 { return p.P50 }},
	{"p95", func(p report.Percentiles) float64 { return p.P95 }},
	{"p99", func(p report.Percentiles) float64 { return p.P99 }},
}

func drawFirstToken(points []Point, tier, path string) error {
	p := newPlot("Time to the first token, "+tier, "ms")
	p.Y.Min = 0
	for i, label := range distinct(points, func(p Point) string { return p.Label }) {
		for j, which := range drawnPercentiles {
			line := along(points, label, func(p Point) float64 { return which.of(p.FirstToken) })
			if err := addLine(p, label+" "+which.name, i, j, line); err != nil {
				return err
			}
		}
	}
	return save(p, path)
}

func newPlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "load (multiple of capacity)"
	p.Y.Label.Text = unit
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// along is a label's line: the mean of the points at each load.
func along(points []Point, label string, value func(Point) float64) plotter.XYs {
	sum, count := map[float64]float64{}, map[float64]int{}
	for _, p := range points {
		if p.Label == label {
			sum[p.Load] += value(p)
			count[p.Load]++
		}
	}
	var line plotter.XYs
	for _, load := range slices.Sorted(maps.Keys(sum)) {
		line = append(line, plotter.XY{X: load, Y: sum[load] / float64(count[load])})
	}
	return line
}

// addLine draws one line with its points; colour tells labels apart, dashes the
// percentiles.
func addLine(p *plot.Plot, name string, colour, dashes int, values plotter.XYs) error {
	line, dots, err := plotter.NewLinePoints(values)
	if err != nil {
		return fmt.Errorf("draw %s: %w", name, err)
	}
	line.Color, line.Dashes = plotutil.Color(colour), plotutil.Dashes(dashes)
	dots.Color, dots.Shape = plotutil.Color(colour), plotutil.Shape(colour)
	p.Add(line, dots)
	p.Legend.Add(name, line, dots)
	return nil
}

func save(p *plot.Plot, path string) error {
	if err := p.Save(width, height, path); err != nil {
		return fmt.Errorf("draw %s: %w", path, err)
	}
	return nil
}

// distinct lists the values in order of appearance, the bound last.
func distinct(points []Point, of func(Point) string) []string {
	var values []string
	for _, p := range points {
		if v := of(p); !slices.Contains(values, v) {
			values = append(values, v)
		}
	}
	slices.SortStableFunc(values, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return values
}

func rank(label string) int {
	if label == boundLabel {
		return 1
	}
	return 0
}
