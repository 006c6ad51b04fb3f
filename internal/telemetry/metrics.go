package telemetry

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"sycamoretrail/internal/core/outcome"
)

const (
	metricsPrefix  = "sycamoretrail"
	reportInterval = time.Second
	// longest is the last bucket. tally reports samples beyond it as the largest
	// duration there is, which would spoil the histogram's sum, so they count as it.
	longest = time.Hour
)

// latencyBuckets reach from a fast first token to the longest deadlines.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, 850 * time.Millisecond,
	1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 15 * time.Second, 60 * time.Second,
	5 * time.Minute, longest,
}

// sanitizer keeps to the characters that Prometheus allows in names. Values may
// hold any printable character: organisations' names have dashes.
var sanitizer = tally.SanitizeOptions{
	NameCharacters:       tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	KeyCharacters:        tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}},
	ReplacementCharacter: '_',
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
}

// Metrics is the root of the metrics of a process.
type Metrics struct {
	scope         tally.Scope
	closer        io.Closer
	handler       fasthttp.RequestHandler
	organisations *organisations
	tiers         tierNames
	// series holds what tally made, by requestsKey and groupKey; as many as the
	// document has tiers and the bound allows organisations.
	series sync.Map

	mutex  sync.Mutex
	totals map[string]int64
}

// NewMetrics makes the root scope. Name and zone go onto each series.
func NewMetrics(name, zone string) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	describe(reporter)
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricsPrefix,
		Tags:                   map[string]string{rootLabels[0]: name, rootLabels[1]: zone},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &sanitizer,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		scope: scope, closer: closer, handler: fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler()),
		organisations: newOrganisations(MaxOrganisationSeries), tiers: tierNames{known: make(map[string]bool)},
		totals: make(map[string]int64),
	}
}

// describe gives the page the help texts of counters and gauges; the reporter
// has no way to give one to a histogram. Its registry is new and each name
// stands in the catalogue once, so an error is a fault of the catalogue.
func describe(reporter prometheus.Reporter) {
	for _, m := range catalogue {
		labels := append(slices.Clone(rootLabels), m.Labels...)
		name := metricsPrefix + prometheus.DefaultSeparator + m.Name
		var err error
		switch m.Kind {
		case KindCounter:
			_, err = reporter.RegisterCounter(name, labels, m.Help)
		case KindGauge:
			_, err = reporter.RegisterGauge(name, labels, m.Help)
		}
		if err != nil {
			panic(fmt.Sprintf("metric %s: %v", name, err))
		}
	}
}

// Close reports a last time.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}

// Handler serves /metrics in Prometheus' text format.
func (m *Metrics) Handler(ctx *fasthttp.RequestCtx) { m.handler(ctx) }

// Settled counts a finished request: by tier and by organisation apart, not by
// both, so that the number of series is a sum and not a product.
func (m *Metrics) Settled(s Settled) {
	s.Tier = m.tiers.label(s.Tier)
	m.requests(s.Tier, s.Status).Inc(1)
	m.group(s.Tier, TierAnswer, TierFirst, TierNotAnswered).record(s)
	organisation := m.organisations.label(s.Organisation)
	m.group(organisation, OrganisationAnswer, OrganisationFirst, OrganisationNotAnswered).record(s)
}

// requestsKey names one series of Requests.
type requestsKey struct {
	tier    string
	outcome outcome.Outcome
	reason  outcome.Reason
}

// requests finds a counter; a look-up by tags in tally costs microseconds.
func (m *Metrics) requests(tier string, status outcome.Status) tally.Counter {
	key := requestsKey{tier, status.Outcome, status.Reason}
	if known, found := m.series.Load(key); found {
		return known.(tally.Counter)
	}
	scope := m.tagged(Requests, tier, string(status.Outcome), string(status.Reason))
	counter, _ := m.series.LoadOrStore(key, scope.Counter(Requests.Name))
	return counter.(tally.Counter)
}

// group is the series of one tier or one organisation.
type group struct {
	answer, first tally.Histogram
	notAnswered   tally.Counter
}

type groupKey struct{ metric, value string }

func (m *Metrics) group(value string, answer, first, notAnswered Metric) *group {
	key := groupKey{answer.Name, value}
	if known, found := m.series.Load(key); found {
		return known.(*group)
	}
	scope := m.tagged(answer, value)
	made, _ := m.series.LoadOrStore(key, &group{
		answer:      scope.Histogram(answer.Name, latencyBuckets),
		first:       scope.Histogram(first.Name, latencyBuckets),
		notAnswered: scope.Counter(notAnswered.Name),
	})
	return made.(*group)
}

func (g *group) record(s Settled) {
	if s.Status.Outcome == outcome.Answered {
		g.answer.RecordDuration(min(s.Total, longest))
	} else {
		g.notAnswered.Inc(1)
	}
	if s.FirstToken > 0 {
		g.first.RecordDuration(min(s.FirstToken, longest))
	}
}

// Set sets a gauge; values are those of its labels, in their order.
func (m *Metrics) Set(gauge Metric, reading float64, values ...string) {
	m.tagged(gauge, values...).Gauge(gauge.Name).Update(reading)
}

// Total brings a counter to a total that is counted elsewhere.
func (m *Metrics) Total(counter Metric, total int64, values ...string) {
	key := counter.Name + "\x00" + strings.Join(values, "\x00")
	m.mutex.Lock()
	grown := total - m.totals[key]
	m.totals[key] = total
	m.mutex.Unlock()
	m.tagged(counter, values...).Counter(counter.Name).Inc(grown)
}

func (m *Metrics) tagged(metric Metric, values ...string) tally.Scope {
	if len(metric.Labels) == 0 {
		return m.scope
	}
	tags := make(map[string]string, len(metric.Labels))
	for i, label := range metric.Labels {
		tags[label] = values[i]
	}
	return m.scope.Tagged(tags)
}
