package telemetry

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// reporter keeps what tally reports and writes it in Prometheus' text format.
// It stands where tally's own Prometheus reporter would: go.sum has no entries
// for that one's dependencies. It needs no more than this interface.
type reporter struct {
	mutex    sync.Mutex
	families map[string]*family
}

// family is all series of one name.
type family struct {
	kind   string
	series map[string]*series
}

// series is one line, or the lines of one histogram.
type series struct {
	labels  string
	value   float64
	buckets []bucket
	sum     float64
}

// bucket counts samples up to a bound that the bucket below does not hold.
type bucket struct {
	bound float64
	count int64
}

const (
	textFormat    = "text/plain; version=0.0.4; charset=utf-8"
	kindCounter   = "counter"
	kindGauge     = "gauge"
	kindHistogram = "histogram"
)

// sanitizer keeps to the characters that Prometheus allows in names.
var sanitizer = tally.SanitizeOptions{
	NameCharacters:       tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	KeyCharacters:        tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}},
	ReplacementCharacter: '_',
}

func newReporter() *reporter {
	return &reporter{families: make(map[string]*family)}
}

func (r *reporter) Capabilities() tally.Capabilities { return r }
func (r *reporter) Reporting() bool                  { return true }
func (r *reporter) Tagging() bool                    { return true }
func (r *reporter) Flush()                           {}

func (r *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return count{r, r.allocate(kindCounter, name, tags)}
}

func (r *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return gauge{r, r.allocate(kindGauge, name, tags)}
}

// AllocateTimer reports the sum of seconds; the project uses histograms instead.
func (r *reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return timer{r, r.allocate(kindCounter, name+"_seconds_total", tags)}
}

func (r *reporter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return histogram{r, r.allocate(kindHistogram, name, tags)}
}

func (r *reporter) allocate(kind, name string, tags map[string]string) *series {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f := r.families[name]
	if f == nil {
		f = &family{kind: kind, series: make(map[string]*series)}
		r.families[name] = f
	}
	labels := labelText(tags)
	if f.series[labels] == nil {
		f.series[labels] = &series{labels: labels}
	}
	return f.series[labels]
}

type (
	count struct {
		*reporter
		*series
	}
	gauge struct {
		*reporter
		*series
	}
	timer struct {
		*reporter
		*series
	}
	histogram struct {
		*reporter
		*series
	}
	histogramBucket struct {
		histogram
		bound float64
	}
)

func (c count) ReportCount(value int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.value += float64(value)
}

func (g gauge) ReportGauge(value float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.value = value
}

func (t timer) ReportTimer(interval time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.value += interval.Seconds()
}

func (h histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	return h.allocateBucket(upper)
}

func (h histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return h.allocateBucket(math.Inf(1))
	}
	return h.allocateBucket(upper.Seconds())
}

func (h histogram) allocateBucket(bound float64) tally.CachedHistogramBucket {
	if bound == math.MaxFloat64 {
		bound = math.Inf(1)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	at := sort.Search(len(h.buckets), func(i int) bool { return h.buckets[i].bound >= bound })
	if at == len(h.buckets) || h.buckets[at].bound != bound {
		h.buckets = append(h.buckets, bucket{})
		copy(h.buckets[at+1:], h.buckets[at:])
		h.buckets[at] = bucket{bound: bound}
	}
	return histogramBucket{h, bound}
}

// ReportSamples adds to the sum by the bucket's bound, the closest that tally
// tells; samples beyond the last bound count as that.
func (b histogramBucket) ReportSamples(value int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i := range b.buckets {
		if b.buckets[i].bound != b.bound {
			continue
		}
		b.buckets[i].count += value
		bound := b.bound
		if math.IsInf(bound, 1) && i > 0 {
			bound = b.buckets[i-1].bound
		}
		b.sum += bound * float64(value)
	}
}

// write writes all families in order of their names.
func (r *reporter) write(out io.Writer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, name := range sortedKeys(r.families) {
		f := r.families[name]
		fmt.Fprintf(out, "# TYPE %s %s\n", name, f.kind)
		for _, labels := range sortedKeys(f.series) {
			f.series[labels].write(out, name, f.kind)
		}
	}
}

func (s *series) write(out io.Writer, name, kind string) {
	if kind != kindHistogram {
		fmt.Fprintf(out, "%s{%s} %s\n", name, s.labels, number(s.value))
		return
	}
	total := int64(0)
	for _, b := range s.buckets {
		total += b.count
		fmt.Fprintf(out, "%s_bucket{%s,le=%q} %d\n", name, s.labels, number(b.bound), total)
	}
	if last := len(s.buckets) - 1; last < 0 || !math.IsInf(s.buckets[last].bound, 1) {
		fmt.Fprintf(out, "%s_bucket{%s,le=\"+Inf\"} %d\n", name, s.labels, total)
	}
	fmt.Fprintf(out, "%s_sum{%s} %s\n%s_count{%s} %d\n", name, s.labels, number(s.sum), name, s.labels, total)
}

func number(value float64) string {
	if math.IsInf(value, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(value, 'g', -1, 64)
}

// labelText is never empty: the root scope tags each series.
func labelText(tags map[string]string) string {
	parts := make([]string, 0, len(tags))
	for _, name := range sortedKeys(tags) {
		value := strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(tags[name])
		parts = append(parts, name+`="`+value+`"`)
	}
	return strings.Join(parts, ",")
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
