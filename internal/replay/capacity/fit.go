package capacity

import (
	"bufio"
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Slope is a line fitted to the points of one series by least squares.
type Slope struct {
	Series string `json:"series"`
	Value  string `json:"value"`
	Points int    `json:"points"`
	// From and To are the least and greatest X.
	From float64 `json:"from"`
	To   float64 `json:"to"`
	// Intercept is the value of the line at 0, Slope its rise per unit of X.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// R2 is the share of the variance that the line explains, or 1 if there is none.
	R2 float64 `json:"r2"`
	// Measured holds the values in the order of X.
	X        []float64 `json:"x"`
	Measured []float64 `json:"measured"`
}

// Fit fits a slope for each series and each of its values. Points with the same X
// count separately.
func Fit(points []Point) []Slope {
	bySeries := map[string][]Point{}
	for _, p := range points {
		bySeries[p.Series] = append(bySeries[p.Series], p)
	}
	var slopes []Slope
	for _, series := range slices.Sorted(maps.Keys(bySeries)) {
		list := bySeries[series]
		slices.SortStableFunc(list, func(a, b Point) int { return compareFloats(a.X, b.X) })
		names := map[string]bool{}
		for _, p := range list {
			for name := range p.Values {
				names[name] = true
			}
		}
		for _, name := range slices.Sorted(maps.Keys(names)) {
			slopes = append(slopes, line(series, name, list))
		}
	}
	return slopes
}

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// line fits one value, which is 0 for points without it.
func line(series, name string, list []Point) Slope {
	s := Slope{Series: series, Value: name, Points: len(list), From: list[0].X, To: list[len(list)-1].X}
	for _, p := range list {
		s.X = append(s.X, p.X)
		s.Measured = append(s.Measured, p.Values[name])
	}
	s.Intercept, s.Slope, s.R2 = leastSquares(s.X, s.Measured)
	return s
}

// leastSquares fits y = a + b*x and returns a, b and R².
func leastSquares(x, y []float64) (a, b, r2 float64) {
	n := float64(len(x))
	var meanX, meanY float64
	for i := range x {
		meanX += x[i] / n
		meanY += y[i] / n
	}
	var xx, xy, yy float64
	for i := range x {
		xx += (x[i] - meanX) * (x[i] - meanX)
		xy += (x[i] - meanX) * (y[i] - meanY)
		yy += (y[i] - meanY) * (y[i] - meanY)
	}
	if xx == 0 {
		return meanY, 0, 1
	}
	b = xy / xx
	if yy == 0 {
		return meanY, 0, 1
	}
	return meanY - b*meanX, b, xy * xy / (xx * yy)
}

// benchLine matches a line of `go test -bench` whose name ends in x=N.
var benchLine = regexp.MustCompile(`^Benchmark(\S*?)/(\S*/)?x=([0-9.]+)(?:-\d+)?\s+\d+\s+(.*)$`)

// ReadBenchmarks reads points from the output of `go test -bench`. The series is
// the benchmark's name, X is the x in it, and the values are the reported metrics.
func ReadBenchmarks(path string) ([]Point, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read benchmarks: %w", err)
	}
	defer file.Close()
	var points []Point
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if p, ok := benchPoint(lines.Text()); ok {
			points = append(points, p)
		}
	}
	return points, lines.Err()
}

func benchPoint(text string) (Point, bool) {
	match := benchLine.FindStringSubmatch(text)
	if match == nil {
		return Point{}, false
	}
	x, err := strconv.ParseFloat(match[3], 64)
	if err != nil {
		return Point{}, false
	}
	p := Point{Series: "core-" + match[1], X: x, Values: map[string]float64{}}
	fields := strings.Fields(match[4])
	for i := 0; i+1 < len(fields); i += 2 {
		if value, err := strconv.ParseFloat(fields[i], 64); err == nil {
			p.Values[fields[i+1]] = value
		}
	}
	return p, len(p.Values) > 0
}

// WriteTable writes slopes as a table.
func WriteTable(out io.Writer, slopes []Slope) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "series\tvalue\tx\tmeasured\tat 0\tslope\tR2")
	for _, s := range slopes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3f\n", s.Series, s.Value,
			joinNumbers(s.X), joinNumbers(s.Measured), s.Intercept, s.Slope, s.R2)
	}
	return table.Flush()
}

func joinNumbers(values []float64) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = strconv.FormatFloat(v, 'g', 4, 64)
	}
	return strings.Join(texts, " ")
}

// WriteCSV writes slopes as CSV.
func WriteCSV(out io.Writer, slopes []Slope) error {
	w := csv.NewWriter(out)
	rows := [][]string{{"series", "value", "points", "from", "to", "intercept", "slope", "r2"}}
	for _, s := range slopes {
		rows = append(rows, []string{
			s.Series, s.Value, strconv.Itoa(s.Points), number(s.From), number(s.To), number(s.Intercept), number(s.Slope), number(s.R2),
		})
	}
	return w.WriteAll(rows)
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 8, 64) }
