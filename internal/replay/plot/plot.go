// Package plot draws goodput, latencies and wasted prefill against load, and
// goodput by scenario, as PNG files.
package plot

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sycamoretrail/internal/core/entry"
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
	InterToken report.Percentiles
	// Wasted is the share of prefill that was wasted, over all tiers.
	Wasted float64
}

// boundLabel is the label of the oracle's bound.
const boundLabel = "bound"

// FromSweep returns points for the means of a sweep and for its bound.
func FromSweep(r *sweep.Result) []Point {
	var points []Point
	drawn := map[string]bool{}
	for _, s := range r.Summaries() {
		points = append(points, Point{Label: string(s.Policy), Tier: s.Tier, Load: s.Load, Goodput: s.Goodput.Mean,
			FirstToken: s.FirstToken, InterToken: s.InterToken, Wasted: s.WastedPrefill.Mean})
		key := fmt.Sprintf("%s %g", s.Tier, s.Load)
		if !drawn[key] {
			drawn[key] = true
			points = append(points, Point{Label: boundLabel, Tier: s.Tier, Load: s.Load, Goodput: s.Bound})
		}
	}
	return points
}

// FromPreviousSweep returns points for one policy of the sweep of a previous version.
func FromPreviousSweep(r *sweep.Result, policy entry.Policy) []Point {
	points := filter(FromSweep(r), func(p Point) bool { return p.Label == string(policy) })
	for i := range points {
		points[i].Label += " before"
	}
	return points
}

// FromReport returns the points of a single report, one for each tier.
func FromReport(label string, r *report.Report) []Point {
	var points []Point
	for _, tier := range slices.Sorted(maps.Keys(r.Goodput)) {
		points = append(points, Point{Label: label, Tier: tier, Load: r.Load, Goodput: r.Goodput[tier],
			FirstToken: r.FirstToken[tier], InterToken: r.InterToken[tier]})
	}
	return points
}

// Size of an image.
const (
	width  = 16 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Draw writes the images NAME-goodput-TIER.png, NAME-ttft-TIER.png and
// NAME-itl-TIER.png, and NAME-wasted.png if there are points over all tiers. It
// returns their paths.
func Draw(points []Point, dir, name string) ([]string, error) {
	var files []string
	draw := func(kind string, points []Point, with func(path string) error) error {
		if len(points) == 0 {
			return nil
		}
		path := filepath.Join(dir, fmt.Sprintf("%s-%s.png", name, kind))
		files = append(files, path)
		return with(path)
	}
	for _, tier := range distinct(points, func(p Point) string { return p.Tier }) {
		ofTier := filter(points, func(p Point) bool { return p.Tier == tier })
		timed := filter(ofTier, func(p Point) bool { return p.FirstToken.Count > 0 })
		err := errors.Join(
			draw("goodput-"+tier, ofTier, func(path string) error { return drawGoodput(ofTier, tier, path) }),
			draw("ttft-"+tier, timed, func(path string) error {
				return drawTimes(timed, "Time to the first token, "+tier, path, func(p Point) report.Percentiles { return p.FirstToken })
			}),
			draw("itl-"+tier, timed, func(path string) error {
				return drawTimes(timed, "Time between tokens, "+tier, path, func(p Point) report.Percentiles { return p.InterToken })
			}),
		)
		if err != nil {
			return files, err
		}
	}
	all := filter(points, func(p Point) bool { return p.Tier == sweep.AllTiers && p.Label != boundLabel })
	return files, draw("wasted", all, func(path string) error { return drawWasted(all, path) })
}

func filter(points []Point, which func(Point) bool) []Point {
	return slices.DeleteFunc(slices.Clone(points), func(p Point) bool { return !which(p) })
}

func drawWasted(points []Point, path string) error {
	p := newPlot("Wasted prefill", "wasted / all prefill tokens")
	p.Y.Min = 0
	for i, label := range distinct(points, func(p Point) string { return p.Label }) {
		if err := addLine(p, label, i, 0, lineOf(points, label, func(p Point) float64 { return p.Wasted })); err != nil {
			return err
		}
	}
	return save(p, path)
}

func drawGoodput(points []Point, tier, path string) error {
	p := newPlot("Goodput, "+tier, "answered whole and in time / sent")
	p.Y.Min, p.Y.Max = 0, 1.02
	p.Legend.Top, p.Legend.Left = false, true
	for i, label := range distinct(points, func(p Point) string { return p.Label }) {
		line := lineOf(points, label, func(p Point) float64 { return p.Goodput })
		if err := addLine(p, label, i, 0, line); err != nil {
			return err
		}
	}
	return save(p, path)
}

// percentile is one line in an image of latencies.
type percentile struct {
	name string
	of   func(report.Percentiles) float64
}

var drawnPercentiles = []percentile{
	{"p50", func(p report.Percentiles) float64 { return p.P50 }},
	{"p95", func(p report.Percentiles) float64 { return p.P95 }},
	{"p99", func(p report.Percentiles) float64 { return p.P99 }},
}

func drawTimes(points []Point, title, path string, of func(Point) report.Percentiles) error {
	p := newPlot(title, "ms")
	p.Y.Min = 0
	for i, label := range distinct(points, func(p Point) string { return p.Label }) {
		for j, which := range drawnPercentiles {
			line := lineOf(points, label, func(p Point) float64 { return which.of(of(p)) })
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

// lineOf returns the line of a label: the mean of its points at each load.
func lineOf(points []Point, label string, value func(Point) float64) plotter.XYs {
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

// addLine draws one line with its points. Colours distinguish labels, dashes
// distinguish percentiles.
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

// distinct returns the distinct values in order of appearance, the bound last.
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
