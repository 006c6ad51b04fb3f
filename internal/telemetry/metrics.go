package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/outcome"
)

const (
	metricsPrefix  = "sycamoretrail"
	reportInterval = time.Second
)

// latencyBuckets reach from a fast first token to the longest deadlines.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, 850 * time.Millisecond,
	1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 15 * time.Second, 60 * time.Second,
}

// Settled is what a finished request shows in the metrics.
type Settled struct {
	Organisation string
	// Tier is the tier's name, from the document, so that its number is bounded.
	Tier   string
	Status outcome.Status
	// FirstToken and Total count from arrival; FirstToken is 0 where none came.
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
}

// Metrics is the root of the metrics of a process.
type Metrics struct {
	scope         tally.Scope
	closer        io.Closer
	reporter      *reporter
	organisations *organisations
	tierNames     tierNames

	requests *cache[requestKey, tally.Counter]
	tiers    *cache[string, *meters]
	labels   *cache[string, *meters]
}

// NewMetrics makes the root scope. Zone and name go onto each series.
func NewMetrics(name, zone string) *Metrics {
	reporter := newReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricsPrefix,
		Tags:                   map[string]string{"entry": name, "zone": zone},
		CachedReporter:         reporter,
		Separator:              "_",
		SanitizeOptions:        &sanitizer,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{scope: scope, closer: closer, reporter: reporter, organisations: newOrganisations(MaxOrganisationSeries),
		tierNames: tierNames{known: make(map[string]bool)}}
	m.requests = newCache(func(k requestKey) tally.Counter { return requestCounter(scope, k) })
	m.tiers = newCache(func(tier string) *meters { return newMeters(scope, "tier", tier) })
	m.labels = newCache(func(name string) *meters { return newMeters(scope, "organisation", name) })
	return m
}

// Close reports a last time.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}

// Handler serves /metrics in Prometheus' text format.
func (m *Metrics) Handler(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType(textFormat)
	m.reporter.write(ctx)
}

// Scope is for counters and gauges of single edges.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Settled counts a finished request: by tier and by organisation apart, not by
// both, so that the number of series is a sum and not a product.
func (m *Metrics) Settled(s Settled) {
	s.Tier = m.tierNames.label(s.Tier)
	m.requests.of(requestKey{tier: s.Tier, outcome: s.Status.Outcome, reason: s.Status.Reason}).Inc(1)
	m.tiers.of(s.Tier).record(&s)
	m.labels.of(m.organisations.label(s.Organisation)).record(&s)
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// GaugeOf sets a gauge with one tag whose values are few.
func (m *Metrics) GaugeOf(name, tag, value string, reading float64) {
	m.scope.Tagged(map[string]string{tag: value}).Gauge(name).Update(reading)
}
