// Package catalog defines the configuration of requests as one immutable snapshot
// (routes, organisations, services and limits), and the targets that serve them.
package catalog

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind states whether a request may be repeated.
type Kind uint8

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests return numbered events; they are idempotent only if resumable.
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
	// Timeout is the longest time that a caller waits; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency up to which an answer has its full value, for
	// streams that of the first event; 0 means none declared.
	Objective time.Duration
	// Gap is the longest pause between two events of a stream up to which an answer
	// has its full value; 0 means none declared.
	Gap time.Duration
	// Attempts is the number of targets that one request may be sent to, at least 1.
	Attempts int
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams continue at another target after the last event received.
	Resumable bool
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// UsesService reports whether the route sends requests to a service.
func (r *Route) UsesService(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// IsSplit reports whether the route sends requests to several services.
func (r *Route) IsSplit() bool {
	n := 0
	for _, share := range r.Shares {
		if share.Weight > 0 {
			n++
		}
	}
	return n > 1
}

// Service returns the service for a random number in [0, 1).
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

// Organisation is a tenant that sends requests.
type Organisation struct {
	Name string
	Keys []string
	// Rate and Burst limit the organisation over all entries, in units of cost
	// per second and units of cost; a Rate of 0 means no limit.
	Rate, Burst float64
	// CountsTokens means that cost is counted in tokens instead of requests.
	CountsTokens bool
	// PlainCost is the cost of a request that declares no tokens.
	PlainCost float64
	// Priority overrides that of the route unless it is nil.
	Priority *int
}

// Limits bounds what a caller may send. Zero fields set no limit.
type Limits struct {
	// HeaderBytes bounds the headers of a request, BodyBytes its body.
	HeaderBytes, BodyBytes int
	// HeaderTimeout is how long a caller may take for the head of a request, IdleTimeout how long its connection
	// may be without one.
	HeaderTimeout, IdleTimeout time.Duration
}

// Configuration is one version of the configuration.
type Configuration struct {
	Version       int64
	Routes        []Route
	Organisations []Organisation
	// HealthPaths are the paths at which the targets of services say who they are, by service.
	HealthPaths map[string]string
	Limits      Limits

	byHost         map[string][]*Route
	byKey          map[string]*Organisation
	longestTimeout time.Duration
}

// LongestTimeout returns the longest timeout of the routes; 0: one of them has none.
func (c *Configuration) LongestTimeout() time.Duration { return c.longestTimeout }

// Index builds the indexes for look-ups; call it once before the snapshot is shared.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route)
	c.longestTimeout = longestTimeout(c.Routes)
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

func longestTimeout(routes []Route) time.Duration {
	longest := time.Duration(0)
	for i := range routes {
		if routes[i].Timeout == 0 {
			return 0
		}
		longest = max(longest, routes[i].Timeout)
	}
	return longest
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

// OrganisationByKey returns the organisation that has a key.
func (c *Configuration) OrganisationByKey(key string) (*Organisation, bool) {
	organisation, found := c.byKey[key]
	return organisation, found
}

// HealthPath returns the path at which a service's targets say who they are, or "".
func (c *Configuration) HealthPath(service string) string { return c.HealthPaths[service] }

// HasOrganisations reports whether callers have to send keys at all.
func (c *Configuration) HasOrganisations() bool { return len(c.Organisations) > 0 }

// Target is a running server of a service, as it registered itself.
type Target struct {
	// ID is the server's name. A restarted server may use its previous id.
	ID string
	// StartedMS is when the process started, in Unix milliseconds by the server's clock; 0
	// means undeclared.
	StartedMS int64
	Service   string
	// Address is IP:port; another service may get it after the target has ended.
	Address string
	Zone    string
	// Version is the version of the server's software; empty means undeclared.
	Version string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Leaving targets get no new requests.
	Leaving bool
}

// Incarnation returns the name of one process of the server. A process that restarts under
// the same id has no state of the previous one, so all state kept by target (speed, failures,
// requests in flight, and where a request has been tried) is keyed by this name.
func (t *Target) Incarnation() string {
	if t.StartedMS == 0 {
		return t.ID
	}
	return t.ID + "@" + strconv.FormatInt(t.StartedMS, 10)
}
