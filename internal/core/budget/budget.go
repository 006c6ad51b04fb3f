// Package budget bounds how often requests are sent to a second target. When a
// service fails or rejects much, repeats would add to the very load that makes it
// fail. All entries share one allowance for each service: a part of the requests
// for it, and a fixed extra. Each entry keeps to the part of its own requests and
// to an even share of the extra, so no word between entries is needed.
//
// An entry that has just begun takes little of the extra for a window: its former
// process may have used its share, and it does not know yet how many entries share.
// Six entries that were killed together would have made 318 repeats where 52 are
// allowed. Taking nothing, it could not send its first requests a second time.
package budget

import (
	"maps"
	"slices"
	"time"
)

// Config is the allowance over all entries in each window.
type Config struct {
	Window time.Duration
	// Ratio is the number of repeats allowed per request.
	Ratio float64
	// Extra is the number of repeats allowed besides.
	Extra float64
}

// safety keeps a tenth of the allowance back: windows at the entries and at the
// targets differ by the time that requests are under way.
const safety = 0.9

// An entry that has just begun takes part youngShare of its share of the extra, as if
// at least youngEntries entries shared it: of the usual extra of some 50 one or two
// repeats, so that six entries that begin again together stay within what is allowed.
const (
	youngShare   = 0.5
	youngEntries = 12
)

// Budget counts requests and repeats. It is not safe for concurrent use.
type Budget struct {
	config   Config
	started  time.Time
	services map[string]*usage
}

type usage struct{ requests, repeats []time.Time }

// New makes an unused budget; started is when this entry began.
func New(config Config, started time.Time) *Budget {
	return &Budget{config: config, started: started, services: make(map[string]*usage)}
}

// SetConfig replaces the allowance. What has been used stays counted.
func (b *Budget) SetConfig(config Config) { b.config = config }

// Request counts a request for a service.
func (b *Budget) Request(now time.Time, service string) {
	u := b.of(service)
	u.requests = append(prune(u.requests, now.Add(-b.config.Window)), now)
}

// Repeat counts a repeat, unless the allowance is used up. entries is the number
// of entries that share the extra.
func (b *Budget) Repeat(now time.Time, service string, entries int) bool {
	if b.Left(now, service, entries) < 1 {
		return false
	}
	u := b.of(service)
	u.repeats = append(u.repeats, now)
	return true
}

// Left is the number of repeats that may still be made now.
func (b *Budget) Left(now time.Time, service string, entries int) float64 {
	u := b.of(service)
	since := now.Add(-b.config.Window)
	u.requests = prune(u.requests, since)
	u.repeats = prune(u.repeats, since)
	allowance := b.config.Ratio * float64(len(u.requests))
	if now.Sub(b.started) >= b.config.Window {
		allowance += b.config.Extra / float64(max(1, entries))
	} else {
		allowance += youngShare * b.config.Extra / float64(max(youngEntries, entries))
	}
	return safety*allowance - float64(len(u.repeats))
}

// Services returns the services that have had requests.
func (b *Budget) Services() []string {
	return slices.Sorted(maps.Keys(b.services))
}

func (b *Budget) of(service string) *usage {
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
