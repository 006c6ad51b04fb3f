// Package catalog holds what governs requests: routes, organisations, services
// and limits, as one immutable snapshot, and the targets that serve them.
package catalog

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind says what of a request may be repeated.
type Kind uint8

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream answers with numbered events; idempotent only where it may be resumed.
	Stream
)

func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream"}[k]
}

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route sends requests of a host and a path prefix to services.
type Route struct {
	Host, Prefix string
	// Shares is never empty; most routes have one.
	Shares []Share
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting; 0: no limit.
	Timeout time.Duration
	// Objective is the latency up to which an answer has its full worth, for
	// streams up to the first event; 0: none declared.
	Objective time.Duration
	// Gap is the longest pause between two events of a stream up to which an answer
	// has its full worth; 0: none declared.
	Gap time.Duration
	// Attempts is the number of targets that one request may be sent to, at least 1.
	Attempts int
	// Priority is the rank of importance; 0 is the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams go on at another target after the last event received.
	Resumable bool
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service picks the service for a draw from [0, 1).
func (r *Route) Service(draw float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	draw *= total
	for _, share := range r.Shares {
		if draw -= share.Weight; draw < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Organisation is who sends requests.
type Organisation struct {
	Name string
	Keys []string
	// Rate and Burst limit the organisation over all entries, in units of cost
	// per second and units of cost; Rate 0: no limit.
	Rate, Burst float64
	// CountsTokens: cost is counted in tokens, otherwise in requests.
	CountsTokens bool
	// PlainCost is the cost of a request that declares no tokens.
	PlainCost float64
	// Priority goes before the route's; nil: the route's holds.
	Priority *int
}

// Limits bounds what a caller may send. Zero fields set no limit.
type Limits struct {
	BodyBytes int
}

// Configuration is one version of the operators' intent.
type Configuration struct {
	Version       int64
	Routes        []Route
	Organisations []Organisation
	Limits        Limits

	byHost map[string][]*Route
	byKey  map[string]*Organisation
}

// Index prepares the look-ups; call it once before the snapshot is shared.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		route := &c.Routes[i]
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.byKey = make(map[string]*Organisation)
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			c.byKey[key] = &c.Organisations[i]
		}
	}
}

// Match returns the route of the host with the longest prefix of the path.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Holder returns the organisation that holds a key.
func (c *Configuration) Holder(key string) (*Organisation, bool) {
	organisation, found := c.byKey[key]
	return organisation, found
}

// HasOrganisations reports whether callers have to show keys at all.
func (c *Configuration) HasOrganisations() bool { return len(c.Organisations) > 0 }

// Target is one running server of a service, as it registered itself.
type Target struct {
	// ID is the server's name. A server may start again under the one that it had.
	ID string
	// StartedMS is when the process started, in Unix milliseconds by the server's clock; 0:
	// the server does not say.
	StartedMS int64
	Service   string
	// Address is IP:port; another service may get it after the target has ended.
	Address string
	Zone    string
	// Version is the version of the server's software; empty: it does not say.
	Version string
	// Slots is how many requests run at once.
	Slots int
	// Leaving targets get no new requests.
	Leaving bool
}

// Incarnation names one process of the server. A process that starts again under the
// same id knows nothing of before: what was learned or is held by target, its speed,
// failures, requests in flight and where a request has been tried, is held by this name.
func (t *Target) Incarnation() string {
	if t.StartedMS == 0 {
		return t.ID
	}
	return t.ID + "@" + strconv.FormatInt(t.StartedMS, 10)
}
