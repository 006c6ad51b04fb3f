package rollout

import (
	"slices"
	"time"
)

// Faults strike both versions: engines fail for some seconds, a burst makes all slow. So
// what the new version shows is compared with what the old one shows in the same second.
// Servers of one service differ in speed by a factor of four and more, so a slow answer is
// one that is slow for its own server, and a server is slow if it is slower than the
// slowest old one.

const (
	// sliceLength is the time whose answers are compared with each other.
	sliceLength = time.Second
	// timesKept is the number of times from which a target's usual one is taken, some
	// seconds at its usual load.
	timesKept = 32
	// fastPart is the quantile that stands for a target's usual time. It is below the
	// median, so that a version of which half the answers are slow does not pass for a slow
	// server.
	fastPart = 0.25
	// minUsual is the number of answers from which a target's usual time is known.
	minUsual = 5
	// slowPart is the quantile of the old version's times, as multiples of the usual time
	// of their targets, above which a time is slow; leastSlow bounds it from below.
	// multiplesKept is the number from which it is taken.
	slowPart      = 0.95
	leastSlow     = 2.0
	multiplesKept = 512
	// noise is what entries add to a time by themselves: one of a fifth of a core that has
	// much to do answers some milliseconds later. Answers of a millisecond were called slow
	// for that, and a sound version was sent back while its entry was busy.
	noise = 10 * time.Millisecond
	// heldKept is the number of old requests from whose times the drain is estimated, heldPart
	// the part of them that has to end in it.
	heldKept = 256
	heldPart = 0.9
)

// ring keeps the latest values.
type ring struct {
	values []float64
	next   int
}

func (r *ring) add(value float64, size int) {
	if len(r.values) < size {
		r.values = append(r.values, value)
		return
	}
	r.values[r.next] = value
	r.next = (r.next + 1) % size
}

// quantile is 0 for a ring without values.
func (r *ring) quantile(part float64) float64 {
	if len(r.values) == 0 {
		return 0
	}
	sorted := slices.Clone(r.values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// measure is one of the times that an observation has.
type measure uint8

const (
	pace measure = iota
	first
	measures
)

func (m measure) of(o *Observation) time.Duration {
	if m == pace {
		return o.Pace
	}
	return o.First
}

// usualKey names times of a target that can be compared with each other. A stream's times
// are for a token, whatever its route; other answers take as long as their work, so their
// routes are kept apart.
type usualKey struct {
	measure measure
	route   uint32
}

func keyOf(m measure, o *Observation) usualKey {
	if o.First > 0 {
		return usualKey{measure: m}
	}
	return usualKey{m, o.Route}
}

// tracked is what is known of one target.
type tracked struct {
	isNew bool
	times map[usualKey]*ring
	// severed is when its last break was counted.
	severed time.Time
}

func (t *tracked) add(key usualKey, taken float64) {
	if t.times[key] == nil {
		t.times[key] = &ring{}
	}
	t.times[key].add(taken, timesKept)
}

// usual is the target's usual time from so many answers; 0: not known.
func (t *tracked) usual(key usualKey, least int) float64 {
	times := t.times[key]
	if times == nil || len(times.values) < least {
		return 0
	}
	return times.quantile(fastPart)
}

// group is what answers are compared within: a route, in a slice of time, at targets that
// were loaded or not.
type group struct {
	route  uint32
	slice  int64
	loaded bool
}

// tallies counts the answers of one version in a group: all, those that failed, those whose
// times could be compared, and the slow ones of these.
type tallies struct{ answers, failed, timed, slow int }

// counts holds tallies by group. They are summed up in the order in which the groups were
// first seen: sums of floating-point numbers differ with the order, and the same answers
// have to lead to the same decision.
type counts struct {
	groups  []group
	tallies map[group]*tallies
}

func newCounts() counts { return counts{tallies: make(map[group]*tallies)} }

// of returns a group's tallies, which it makes if there are none.
func (c *counts) of(at group) *tallies {
	if c.tallies[at] == nil {
		c.tallies[at] = &tallies{}
		c.groups = append(c.groups, at)
	}
	return c.tallies[at]
}

// sample is an observation with the slice in which it came.
type sample struct {
	Observation
	slice int64
}

// evidence is what all observations show together.
type evidence struct {
	start      time.Time
	targets    map[uint32]*tracked
	pending    []sample
	olds, news counts
	// inOrder are the targets in the order in which they were first seen.
	inOrder []*tracked
	// multiples are the old version's times as multiples of the usual ones; held is how long
	// its requests were at their targets.
	multiples [measures]ring
	held      ring
	loads     [measures]loadFactors
}

func newEvidence(now time.Time) *evidence {
	return &evidence{start: now, targets: make(map[uint32]*tracked), olds: newCounts(), news: newCounts()}
}

func (e *evidence) observe(now time.Time, o Observation) {
	t, found := e.targets[o.Target]
	if !found {
		t = &tracked{isNew: o.New, times: make(map[usualKey]*ring)}
		e.targets[o.Target] = t
		e.inOrder = append(e.inOrder, t)
	}
	if o.Severed {
		// A server that crashes breaks off all that runs there. That is one event, not as
		// many as it had requests; counted singly, one crash would condemn a version.
		if now.Sub(t.severed) < sliceLength {
			return
		}
		t.severed = now
	}
	e.learn(t, &o)
	if !o.New {
		e.held.add(float64(o.Took), heldKept)
	}
	s := sample{Observation: o, slice: int64(now.Sub(e.start) / sliceLength)}
	counted := e.tallies(&s)
	counted.answers++
	if o.Failed {
		counted.failed++
		return
	}
	e.pending = append(e.pending, s)
}

// learn takes an answer's times.
func (e *evidence) learn(t *tracked, o *Observation) {
	for m := range measures {
		if m.of(o) == 0 {
			continue
		}
		key := keyOf(m, o)
		if usual := t.usual(key, minUsual); usual > 0 && !o.New {
			e.loads[m].add(o.Load, float64(m.of(o))/usual)
		}
		t.add(key, e.taken(m, o))
	}
}

// taken is an answer's time as it would be at a target of usual load.
func (e *evidence) taken(m measure, o *Observation) float64 {
	return float64(m.of(o)) / e.loads[m].factor(o.Load)
}

// tallies are those of the sample's group and version.
func (e *evidence) tallies(s *sample) *tallies {
	at := group{s.Route, s.slice, s.Loaded}
	if s.New {
		return e.news.of(at)
	}
	return e.olds.of(at)
}

// classify finds what is slow of the pending answers, but for those of targets whose usual
// time is not known yet. It is a few microseconds for each answer, and done once for each.
func (e *evidence) classify() {
	usual := make(map[uint32]map[usualKey]float64)
	limits := e.slowLimits()
	waiting := e.pending[:0]
	for i := range e.pending {
		s := &e.pending[i]
		known, found := usual[s.Target]
		if !found {
			known = e.targets[s.Target].usuals(minUsual)
			usual[s.Target] = known
		}
		if !knows(known, s) {
			waiting = append(waiting, *s)
			continue
		}
		e.time(s, known, limits)
	}
	clear(e.pending[len(waiting):])
	e.pending = waiting
}

// usuals are the usual times that are known from so many answers.
func (t *tracked) usuals(least int) map[usualKey]float64 {
	known := make(map[usualKey]float64, len(t.times))
	for key := range t.times {
		if usual := t.usual(key, least); usual > 0 {
			known[key] = usual
		}
	}
	return known
}

// knows reports whether all of the sample's times can be compared.
func knows(usual map[usualKey]float64, s *sample) bool {
	for m := range measures {
		if m.of(&s.Observation) > 0 && usual[keyOf(m, &s.Observation)] == 0 {
			return false
		}
	}
	return true
}

// slowLimits are the multiples of a target's usual time from which a time is slow.
func (e *evidence) slowLimits() (limits [measures]float64) {
	for m := range limits {
		limits[m] = max(leastSlow, e.multiples[m].quantile(slowPart))
	}
	return limits
}

// time says whether a sample is slow.
func (e *evidence) time(s *sample, usual map[usualKey]float64, limits [measures]float64) {
	slow := false
	for m := range measures {
		taken := e.taken(m, &s.Observation)
		if taken == 0 {
			continue
		}
		base := usual[keyOf(m, &s.Observation)]
		multiple := taken / base
		slow = slow || multiple > limits[m] && taken > base+float64(noise)
		if !s.New {
			e.multiples[m].add(multiple, multiplesKept)
		}
	}
	counted := e.tallies(s)
	counted.timed++
	if slow {
		counted.slow++
	}
}

// drain is the time in which what runs on old targets should have ended.
func (e *evidence) drain() time.Duration { return time.Duration(e.held.quantile(heldPart)) }

// usedRoute is the number of the old version's answers from which a route has to be seen
// on the new one: a version may be bad on one route only.
const usedRoute = 40

// routes are those that have to be compared, in order.
func (e *evidence) routes() []uint32 {
	olds := make(map[uint32]int)
	for at, old := range e.olds.tallies {
		olds[at.route] += old.answers
	}
	var routes []uint32
	add := func(route uint32) {
		if i, found := slices.BinarySearch(routes, route); !found {
			routes = slices.Insert(routes, i, route)
		}
	}
	for route, answers := range olds {
		if answers >= usedRoute {
			add(route)
		}
	}
	for _, at := range e.news.groups {
		add(at.route)
	}
	return routes
}
