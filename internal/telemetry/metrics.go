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
	// maxDuration is the last bucket; longer samples are recorded as maxDuration.
	// tally would report them as the largest possible duration, which would make the
	// histogram's sum useless.
	maxDuration = time.Hour
)

// latencyBuckets range from a fast first token to the longest deadlines.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, 850 * time.Millisecond,
	1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 15 * time.Second, 60 * time.Second,
	5 * time.Minute, maxDuration,
}

// sanitizer allows the characters that Prometheus allows in names. Values may have
// any printable character, since names of organisations have dashes.
var sanitizer = tally.SanitizeOptions{
	NameCharacters:       tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	KeyCharacters:        tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}},
	ReplacementCharacter: '_',
}

// Settled holds what the metrics record of a settled request.
type Settled struct {
	Organisation string
	// Tier is the tier's name in the document, so that the number of names is bounded.
	Tier   string
	Status outcome.Status
	// FirstToken and Total count from arrival; FirstToken is 0 if there was none.
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
	// series caches tally's counters and histograms by requestsKey and groupKey. The
	// tiers of the document and the bound of organisations limit its size.
	series sync.Map

	mutex  sync.Mutex
	totals map[string]int64
}

// NewMetrics returns the metrics of a process. Name and zone are labels of each series.
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

// describe registers the help texts of counters and gauges; the reporter has no way
// to register one for a histogram. The registry is new and each name is in the
// catalogue once, so an error is a fault of the catalogue.
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

// Close reports the metrics a last time.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}

// Handler serves /metrics in Prometheus' text format.
func (m *Metrics) Handler(ctx *fasthttp.RequestCtx) { m.handler(ctx) }

// Settled records a settled request, by tier and by organisation separately, so that
// the number of series is the sum of both and not the product.
func (m *Metrics) Settled(s Settled) {
	s.Tier = m.tiers.label(s.Tier)
	m.requests(s.Tier, s.Status).Inc(1)
	m.group(s.Tier, TierAnswer, TierFirst, TierNotAnswered).record(s)
	organisation := m.organisations.label(s.Organisation)
	m.group(organisation, OrganisationAnswer, OrganisationFirst, OrganisationNotAnswered).record(s)
}

// requestsKey identifies one series of Requests.
type requestsKey struct {
	tier    string
	outcome outcome.Outcome
	reason  outcome.Reason
}

// requests returns a counter from the cache; a look-up by tags in tally takes
// microseconds.
func (m *Metrics) requests(tier string, status outcome.Status) tally.Counter {
	key := requestsKey{tier, status.Outcome, status.Reason}
	if known, found := m.series.Load(key); found {
		return known.(tally.Counter)
	}
	scope := m.scopeFor(Requests, tier, string(status.Outcome), string(status.Reason))
	counter, _ := m.series.LoadOrStore(key, scope.Counter(Requests.Name))
	return counter.(tally.Counter)
}

// group holds the series of one tier or one organisation.
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
	scope := m.scopeFor(answer, value)
	made, _ := m.series.LoadOrStore(key, &group{
		answer:      scope.Histogram(answer.Name, latencyBuckets),
		first:       scope.Histogram(first.Name, latencyBuckets),
		notAnswered: scope.Counter(notAnswered.Name),
	})
	return made.(*group)
}

func (g *group) record(s Settled) {
	if s.Status.Outcome == outcome.Answered {
		g.answer.RecordDuration(min(s.Total, maxDuration))
	} else {
		g.notAnswered.Inc(1)
	}
	if s.FirstToken > 0 {
		g.first.RecordDuration(min(s.FirstToken, maxDuration))
	}
}

// Set sets a gauge; values are the values of its labels, in their order.
func (m *Metrics) Set(gauge Metric, reading float64, values ...string) {
	m.scopeFor(gauge, values...).Gauge(gauge.Name).Update(reading)
}

// SetTotal raises a counter to a total that is counted elsewhere.
func (m *Metrics) SetTotal(counter Metric, total int64, values ...string) {
	key := counter.Name + "\x00" + strings.Join(values, "\x00")
	m.mutex.Lock()
	grown := total - m.totals[key]
	m.totals[key] = total
	m.mutex.Unlock()
	m.scopeFor(counter, values...).Counter(counter.Name).Inc(grown)
}

func (m *Metrics) scopeFor(metric Metric, values ...string) tally.Scope {
	if len(metric.Labels) == 0 {
		return m.scope
	}
	tags := make(map[string]string, len(metric.Labels))
	for i, label := range metric.Labels {
		tags[label] = values[i]
	}
	return m.scope.Tagged(tags)
}
