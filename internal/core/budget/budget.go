// Package budget limits how often requests are sent to a second target. When a service
// fails or rejects many requests, retries would add to the load that makes it fail. In
// each sliding window all entries together may repeat a share of the service's requests
// and a fixed extra.
//
// Each entry has a token bucket for each service. A request adds a part of a token, time
// adds a part of the extra, and a repeat takes one token. What a bucket holds at the
// beginning of a window and what it gains in it are together at most this entry's part of
// the allowance: the fuller the bucket was in the last window, the less it gains.
//
// The bound holds without any exchange of counts, and across restarts: a new process begins
// with an empty bucket, so the tokens of its predecessor are lost rather than renewed, and
// it gains as if that bucket had been full. Six entries that were killed together and each
// began with an unused budget would have made 318 repeats where 52 are allowed. Only the first process of an entry begins with
// a token, so that it can repeat its first requests.
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

const (
	// safetyFactor holds back a tenth of the allowance, because windows at the entries and
	// at the targets differ by the transit time of requests, and because the gain follows the
	// allowance of the moment, which may fall later in the window.
	safetyFactor = 0.9
	// maxHeld is the part of the allowance that a bucket may hold. A larger one bridges more
	// of a sudden failure, and leaves less to a long one and to a process that has just
	// started.
	maxHeld = 0.3
	// firstTokens is what each bucket of an entry's first process holds at its start.
	firstTokens = 1
	// sharersKept is how long the extra stays divided among the largest number of entries:
	// those without contact may still use their parts.
	sharersKept = time.Minute
)

// Budget decides on the repeats of one entry. It is not safe for concurrent use.
type Budget struct {
	config  Config
	started time.Time
	// first: this is the first process of its entry.
	first   bool
	sharers slidingMax
	buckets map[string]*bucket
}

// bucket is the state of one service.
type bucket struct {
	tokens float64
	// updated is when tokens was last brought up to date.
	updated time.Time
	// requests are the times of the requests in the last window.
	requests []time.Time
	// level is the most tokens that the bucket held in the last window.
	level slidingMax
}

// New returns a budget with empty buckets, which gain their parts of the extra from started
// on.
func New(config Config, started time.Time) *Budget {
	return &Budget{config: config, started: started, sharers: newSlidingMax(sharersKept, 0), buckets: make(map[string]*bucket)}
}

// SetConfig replaces the allowance.
func (b *Budget) SetConfig(config Config) {
	if config.Window != b.config.Window {
		for _, k := range b.buckets {
			k.level = newSlidingMax(config.Window, k.level.largest())
		}
	}
	b.config = config
}

// SetEntries sets the number of entries that share the extra. Before the first call this
// entry uses none of the extra: if all start at once, each would take itself for the only one.
func (b *Budget) SetEntries(now time.Time, entries int) {
	b.sharers.observe(now.Sub(b.started), float64(entries))
}

// SetFirstStart records that this is the first process of its entry.
func (b *Budget) SetFirstStart() {
	b.first = true
	for _, k := range b.buckets {
		k.tokens += firstTokens
	}
}

// Request counts a request for a service.
func (b *Budget) Request(now time.Time, service string) {
	k := b.bucketOf(now, service)
	k.requests = append(k.requests, now)
	k.tokens += safetyFactor * b.config.Ratio * b.gainShare(now, k)
}

// Decision is the answer to a request for a repeat, with the inputs that decided it.
type Decision struct {
	Allowed bool
	// Tokens is the number of repeats that this entry could make, Capacity the most that it
	// could have saved.
	Tokens, Capacity float64
	// Requests is the number of this entry's requests in the last window.
	Requests int
	// Entries is the number of entries among which the extra is divided, or 0 if it is not
	// known.
	Entries int
}

// Repeat takes a token, if there is one.
func (b *Budget) Repeat(now time.Time, service string) Decision {
	k := b.bucketOf(now, service)
	d := Decision{
		Allowed: k.tokens >= 1, Tokens: k.tokens, Capacity: b.capacity(now, k),
		Requests: len(k.requests), Entries: b.entries(now),
	}
	if d.Allowed {
		k.tokens--
	}
	return d
}

// Left returns the number of repeats that may be made now.
func (b *Budget) Left(now time.Time, service string) float64 { return b.bucketOf(now, service).tokens }

// Services returns the services that have had requests.
func (b *Budget) Services() []string {
	return slices.Sorted(maps.Keys(b.buckets))
}

// bucketOf returns the bucket of a service, brought up to date.
func (b *Budget) bucketOf(now time.Time, service string) *bucket {
	k, found := b.buckets[service]
	if !found {
		k = &bucket{updated: b.started, level: newSlidingMax(b.config.Window, 0)}
		if b.first {
			k.tokens = firstTokens
		}
		b.buckets[service] = k
	}
	k.requests = prune(k.requests, now.Add(-b.config.Window))
	gain := safetyFactor * b.extra(now) * b.gainShare(now, k) * float64(now.Sub(k.updated)) / float64(b.config.Window)
	k.tokens = min(b.capacity(now, k), k.tokens+gain)
	k.updated = now
	k.level.observe(now.Sub(b.started), k.tokens)
	return k
}

// allowance returns the repeats that this entry may make in a window with the requests of the
// last one.
func (b *Budget) allowance(now time.Time, k *bucket) float64 {
	return safetyFactor * (b.config.Ratio*float64(len(k.requests)) + b.extra(now))
}

// capacity returns the most tokens that a bucket may hold. A small allowance may be held
// whole, since less than one token allows no repeat.
func (b *Budget) capacity(now time.Time, k *bucket) float64 {
	allowance := b.allowance(now, k)
	return max(maxHeld*allowance, min(1, allowance))
}

// gainShare returns the part of the allowance that a bucket may gain in a window: what neither
// it nor that of a predecessor can have held in the last one.
func (b *Budget) gainShare(now time.Time, k *bucket) float64 {
	allowance := b.allowance(now, k)
	if allowance == 0 {
		return 0
	}
	age := now.Sub(b.started)
	held := k.level.value(age) / allowance
	if age < b.config.Window {
		held = max(held, b.predecessorHeld(now))
	}
	return max(0, 1-held)
}

// predecessorHeld returns the largest part of its allowance that the bucket of an earlier
// process, or of an entry that this one replaces, may have held. Its requests are not known,
// so only the extra counts.
func (b *Budget) predecessorHeld(now time.Time) float64 {
	extra := safetyFactor * b.extra(now)
	if extra <= 1 {
		return 1
	}
	return max(maxHeld, 1/extra)
}

// entries returns the number of entries among which the extra is divided, or 0 if it is not
// known.
func (b *Budget) entries(now time.Time) int { return int(b.sharers.value(now.Sub(b.started))) }

// extra returns this entry's part of the extra.
func (b *Budget) extra(now time.Time) float64 {
	entries := b.entries(now)
	if entries == 0 {
		return 0
	}
	return b.config.Extra / float64(entries)
}

func prune(times []time.Time, since time.Time) []time.Time {
	old := 0
	for old < len(times) && times[old].Before(since) {
		old++
	}
	return times[old:]
}
