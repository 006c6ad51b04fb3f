package telemetry

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"sycamoretrail/internal/core/outcome"
)

// cache keeps what was made for a key. Asking tally for a tagged scope builds a
// map and searches for it each time, which cost several times the counting.
type cache[K comparable, V any] struct {
	make func(K) V

	mutex sync.RWMutex
	made  map[K]V
}

func newCache[K comparable, V any](make func(K) V) *cache[K, V] {
	return &cache[K, V]{make: make, made: map[K]V{}}
}

func (c *cache[K, V]) of(key K) V {
	c.mutex.RLock()
	value, known := c.made[key]
	c.mutex.RUnlock()
	if known {
		return value
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if value, known = c.made[key]; !known {
		value = c.make(key)
		c.made[key] = value
	}
	return value
}

// requestKey names a series of requests_total.
type requestKey struct {
	tier    string
	outcome outcome.Outcome
	reason  outcome.Reason
}

func requestCounter(scope tally.Scope, k requestKey) tally.Counter {
	tags := map[string]string{"tier": k.tier, "outcome": string(k.outcome), "reason": string(k.reason)}
	return scope.Tagged(tags).Counter("requests_total")
}

// meters are the series of one tier or one organisation.
type meters struct {
	tokens      tally.Counter
	notAnswered func() tally.Counter
	answer      func() tally.Histogram
	firstToken  func() tally.Histogram
}

// newMeters makes a series only once it has a sample, so that the page shows
// none of what never happened.
func newMeters(scope tally.Scope, tag, value string) *meters {
	own := scope.Tagged(map[string]string{tag: value}).SubScope("by_" + tag)
	histogram := func(name string) func() tally.Histogram {
		return sync.OnceValue(func() tally.Histogram { return own.Histogram(name, latencyBuckets) })
	}
	return &meters{
		tokens:      own.Counter("tokens_total"),
		notAnswered: sync.OnceValue(func() tally.Counter { return own.Counter("not_answered_total") }),
		answer:      histogram("answer_seconds"),
		firstToken:  histogram("first_token_seconds"),
	}
}

func (m *meters) record(s *Settled) {
	m.tokens.Inc(int64(s.Tokens))
	if s.Status.Outcome == outcome.Answered {
		m.answer().RecordDuration(s.Total)
	} else {
		m.notAnswered().Inc(1)
	}
	if s.FirstToken > 0 {
		m.firstToken().RecordDuration(s.FirstToken)
	}
}

// MaxTierSeries bounds the tiers with series of their own; a document has at
// most 16, and a few documents may follow each other.
const MaxTierSeries = 64

// tierNames bounds the tiers' names. A refused request is counted under the tier
// that its caller wrote, which may be any text: without a bound one caller could
// fill the memory with series.
type tierNames struct {
	mutex sync.RWMutex
	known map[string]bool
}

func (n *tierNames) label(name string) string {
	n.mutex.RLock()
	known := n.known[name]
	n.mutex.RUnlock()
	if known {
		return name
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.known[name] && len(n.known) >= MaxTierSeries {
		return Other
	}
	n.known[name] = true
	return name
}
