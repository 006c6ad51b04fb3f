// Package budget limits how often requests are sent to a second target. When a service
// fails or rejects many requests, retries would add to the load that makes it fail. All
// entries share one allowance for each service: a share of its requests and a fixed
// extra. Each entry uses the share of its own requests and an even part of the extra,
// so that entries need not exchange messages about it.
//
// An entry that has just started uses little of the extra for one window: its previous
// process may have used its part, and it has not counted the other entries yet. Six
// entries that were killed together would have made 318 repeats where 52 are allowed.
// If it used nothing of the extra, it could not repeat its first requests.
package budget

import (
	"maps"
	"slices"
	"time"
)

// Config is the allowance of all entries together in each window.
type Config struct {
	Window time.Duration
	// Ratio is the number of repeats allowed per request.
	Ratio float64
	// Extra is the number of repeats allowed in addition.
	Extra float64
}

// safetyFactor holds back a tenth of the allowance, because windows at the entries and
// at the targets differ by the transit time of requests.
const safetyFactor = 0.9

// An entry that has just started uses startupExtraShare of its part of the extra,
// computed for at least startupMinEntries entries. Of a typical extra of about 50 this
// is one or two repeats, so that six entries that restart together stay within the
// allowance.
const (
	startupExtraShare = 0.5
	startupMinEntries = 12
)

// Budget counts requests and repeats. It is not safe for concurrent use.
type Budget struct {
	config   Config
	started  time.Time
	services map[string]*usage
}

type usage struct{ requests, repeats []time.Time }

// New returns an unused budget; started is when this entry started.
func New(config Config, started time.Time) *Budget {
	return &Budget{config: config, started: started, services: make(map[string]*usage)}
}

// SetConfig replaces the allowance. Requests and repeats remain counted.
func (b *Budget) SetConfig(config Config) { b.config = config }

// Request counts a request for a service.
func (b *Budget) Request(now time.Time, service string) {
	u := b.usageOf(service)
	u.requests = append(prune(u.requests, now.Add(-b.config.Window)), now)
}

// Decision is the answer to a request for a repeat, with the inputs that decided it.
type Decision struct {
	Allowed bool
	// Requests and Repeats are this entry's in the window, without this repeat.
	Requests, Repeats int
	// Allowance is the number of repeats that this entry may make in the window.
	Allowance float64
	// Entries is the number of entries that share the extra.
	Entries int
}

// Repeat counts a repeat, unless the allowance is used up. entries is the number of
// entries that share the extra.
func (b *Budget) Repeat(now time.Time, service string, entries int) Decision {
	d := b.decide(now, service, entries)
	if d.Allowed {
		u := b.usageOf(service)
		u.repeats = append(u.repeats, now)
	}
	return d
}

// Left returns the number of repeats that may still be made now.
func (b *Budget) Left(now time.Time, service string, entries int) float64 {
	d := b.decide(now, service, entries)
	return d.Allowance - float64(d.Repeats)
}

func (b *Budget) decide(now time.Time, service string, entries int) Decision {
	u := b.usageOf(service)
	since := now.Add(-b.config.Window)
	u.requests = prune(u.requests, since)
	u.repeats = prune(u.repeats, since)
	allowance := b.config.Ratio * float64(len(u.requests))
	if now.Sub(b.started) >= b.config.Window {
		allowance += b.config.Extra / float64(max(1, entries))
	} else {
		allowance += startupExtraShare * b.config.Extra / float64(max(startupMinEntries, entries))
	}
	allowance *= safetyFactor
	return Decision{
		Allowed:  allowance-float64(len(u.repeats)) >= 1,
		Requests: len(u.requests), Repeats: len(u.repeats), Allowance: allowance, Entries: entries,
	}
}

// Services returns the services that have had requests.
func (b *Budget) Services() []string {
	return slices.Sorted(maps.Keys(b.services))
}

func (b *Budget) usageOf(service string) *usage {
	u, found := b.services[service]
	if !found {
		u = &usage{}
		b.services[service] = u
	}
	return u
}

func prune(times []time.Time, since time.Time) []time.Time {
	old := 0
	for old < len(times) && times[old].Before(since) {
		old++
	}
	return times[old:]
}
