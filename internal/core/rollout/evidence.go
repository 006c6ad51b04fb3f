package rollout

import (
	"slices"
	"time"
)

// Faults affect both versions: engines fail for some seconds, a burst slows down all of
// them. The new version is therefore compared with the old one within the same second.
// Servers of one service differ in speed by a factor of four and more, so an answer counts
// as slow by comparison with its own server, and a server counts as slow if it is slower
// than the slowest old one.

const (
	// sliceLength is the length of a time slice; answers are compared within one.
	sliceLength = time.Second
	// maxTimes is the number of times from which a target's baseline is computed, some
	// seconds at its typical load.
	maxTimes = 32
	// baselineQuantile is the quantile of a target's times that is its baseline. It is below
	// the median, so that a version of which half the answers are slow is not mistaken for a
	// slow server.
	baselineQuantile = 0.25
	// minBaselineTimes is the number of times from which a target has a baseline.
	minBaselineTimes = 5
	// An answer is slow if its time, as a multiple of its target's baseline, exceeds both
	// minSlowMultiple and the slowQuantile quantile of the old version's last maxMultiples
	// multiples.
	slowQuantile    = 0.95
	minSlowMultiple = 2.0
	maxMultiples    = 512
	// entryDelay is the delay that entries themselves may add to a time: a busy entry with a
	// fifth of a core measures an answer some milliseconds late. Without this allowance
	// answers of a millisecond counted as slow, and a good version was rolled back while its
	// entry was busy.
	entryDelay = 10 * time.Millisecond
	// maxOldTimes is the number of old requests from whose times at their targets the drain
	// time is estimated; drainQuantile is the share of them that has to end within it.
	maxOldTimes   = 256
	drainQuantile = 0.9
)

// ring holds the latest values.
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

// quantile returns 0 for a ring without values.
func (r *ring) quantile(q float64) float64 {
	if len(r.values) == 0 {
		return 0
	}
	sorted := slices.Clone(r.values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// measure is one of the times of an observation.
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
	return o.FirstEvent
}

// baselineKey identifies times of a target that can be compared with each other. The times
// of a stream are per token and do not depend on the route; the times of other answers
// depend on the work done, so their routes are kept apart.
type baselineKey struct {
	measure measure
	route   uint32
}

func keyOf(m measure, o *Observation) baselineKey {
	if o.FirstEvent > 0 {
		return baselineKey{measure: m}
	}
	return baselineKey{m, o.Route}
}

// targetTimes holds the times of one target.
type targetTimes struct {
	isNew bool
	times map[baselineKey]*ring
	// lastSevered is when its last counted connection loss occurred.
	lastSevered time.Time
}

func (t *targetTimes) add(key baselineKey, value float64) {
	if t.times[key] == nil {
		t.times[key] = &ring{}
	}
	t.times[key].add(value, maxTimes)
}

// baseline returns the target's baseline time; 0 if there are fewer than minTimes times.
func (t *targetTimes) baseline(key baselineKey, minTimes int) float64 {
	times := t.times[key]
	if times == nil || len(times.values) < minTimes {
		return 0
	}
	return times.quantile(baselineQuantile)
}

// group is the unit within which answers are compared: a route, in a time slice, at targets
// that were loaded or not.
type group struct {
	route  uint32
	slice  int64
	loaded bool
}

// tally counts the answers of one version in a group: all answers, the failed ones, those
// whose times could be compared, and the slow ones of these.
type tally struct{ answers, failed, timed, slow int }

// groupTallies holds tallies by group. They are summed up in the order in which the groups
// were first seen: sums of floating-point numbers depend on the order, and the same answers
// must lead to the same decision.
type groupTallies struct {
	groups  []group
	tallies map[group]*tally
}

func newGroupTallies() groupTallies { return groupTallies{tallies: make(map[group]*tally)} }

// of returns the tally of a group and creates it if necessary.
func (c *groupTallies) of(at group) *tally {
	if c.tallies[at] == nil {
		c.tallies[at] = &tally{}
		c.groups = append(c.groups, at)
	}
	return c.tallies[at]
}

// sample is an observation with the time slice in which it arrived.
type sample struct {
	Observation
	slice int64
}

// evidence combines the observations of all entries.
type evidence struct {
	start                  time.Time
	targets                map[uint32]*targetTimes
	pending                []sample
	oldTallies, newTallies groupTallies
	// inOrder lists the targets in the order in which they were first seen.
	inOrder []*targetTimes
	// multiples are the old version's times as multiples of the baselines; oldTimes is how
	// long its requests were at their targets.
	multiples [measures]ring
	oldTimes  ring
	loads     [measures]loadFactors
}

func newEvidence(now time.Time) *evidence {
	return &evidence{start: now, targets: make(map[uint32]*targetTimes), oldTallies: newGroupTallies(), newTallies: newGroupTallies()}
}

func (e *evidence) observe(now time.Time, o Observation) {
	t, found := e.targets[o.Target]
	if !found {
		t = &targetTimes{isNew: o.New, times: make(map[baselineKey]*ring)}
		e.targets[o.Target] = t
		e.inOrder = append(e.inOrder, t)
	}
	if o.ConnectionLost {
		// A server that crashes aborts all its requests. That is one event: counted for each
		// request, one crash would reject a version.
		if now.Sub(t.lastSevered) < sliceLength {
			return
		}
		t.lastSevered = now
	}
	e.addTimes(t, &o)
	if !o.New {
		e.oldTimes.add(float64(o.Duration), maxOldTimes)
	}
	s := sample{Observation: o, slice: int64(now.Sub(e.start) / sliceLength)}
	tally := e.tallyOf(&s)
	tally.answers++
	if o.Failed {
		tally.failed++
		return
	}
	e.pending = append(e.pending, s)
}

// addTimes adds the times of an answer to those of its target.
func (e *evidence) addTimes(t *targetTimes, o *Observation) {
	for m := range measures {
		if m.of(o) == 0 {
			continue
		}
		key := keyOf(m, o)
		if baseline := t.baseline(key, minBaselineTimes); baseline > 0 && !o.New {
			e.loads[m].add(o.Load, float64(m.of(o))/baseline)
		}
		t.add(key, e.normalized(m, o))
	}
}

// normalized returns the time of an answer as it would be at a target of mean load.
func (e *evidence) normalized(m measure, o *Observation) float64 {
	return float64(m.of(o)) / e.loads[m].factor(o.Load)
}

// tallyOf returns the tally of the sample's version and group.
func (e *evidence) tallyOf(s *sample) *tally {
	at := group{s.Route, s.slice, s.Loaded}
	if s.New {
		return e.newTallies.of(at)
	}
	return e.oldTallies.of(at)
}

// classify decides which pending answers are slow, except those of targets without a
// baseline yet. Each answer is classified once, which takes a few microseconds.
func (e *evidence) classify() {
	baselines := make(map[uint32]map[baselineKey]float64)
	limits := e.slowLimits()
	undecided := e.pending[:0]
	for i := range e.pending {
		s := &e.pending[i]
		known, found := baselines[s.Target]
		if !found {
			known = e.targets[s.Target].baselines(minBaselineTimes)
			baselines[s.Target] = known
		}
		if !allKnown(known, s) {
			undecided = append(undecided, *s)
			continue
		}
		e.classifySample(s, known, limits)
	}
	clear(e.pending[len(undecided):])
	e.pending = undecided
}

// baselines returns the baselines that rest on at least minTimes times.
func (t *targetTimes) baselines(minTimes int) map[baselineKey]float64 {
	known := make(map[baselineKey]float64, len(t.times))
	for key := range t.times {
		if baseline := t.baseline(key, minTimes); baseline > 0 {
			known[key] = baseline
		}
	}
	return known
}

// allKnown reports whether there is a baseline for each of the sample's times.
func allKnown(baselines map[baselineKey]float64, s *sample) bool {
	for m := range measures {
		if m.of(&s.Observation) > 0 && baselines[keyOf(m, &s.Observation)] == 0 {
			return false
		}
	}
	return true
}

// slowLimits returns the multiples of a target's baseline above which a time is slow.
func (e *evidence) slowLimits() (limits [measures]float64) {
	for m := range limits {
		limits[m] = max(minSlowMultiple, e.multiples[m].quantile(slowQuantile))
	}
	return limits
}

// classifySample counts a sample as slow or not.
func (e *evidence) classifySample(s *sample, baselines map[baselineKey]float64, limits [measures]float64) {
	slow := false
	for m := range measures {
		normalized := e.normalized(m, &s.Observation)
		if normalized == 0 {
			continue
		}
		baseline := baselines[keyOf(m, &s.Observation)]
		multiple := normalized / baseline
		slow = slow || multiple > limits[m] && normalized > baseline+float64(entryDelay)
		if !s.New {
			e.multiples[m].add(multiple, maxMultiples)
		}
	}
	tally := e.tallyOf(s)
	tally.timed++
	if slow {
		tally.slow++
	}
}

// drain returns the time within which requests at old targets are expected to end.
func (e *evidence) drain() time.Duration { return time.Duration(e.oldTimes.quantile(drainQuantile)) }

// minRouteAnswers is the number of the old version's answers from which a route must also
// have been observed on the new one: a version may be bad on one route only.
const minRouteAnswers = 40

// routes returns the routes that have to be compared, in ascending order.
func (e *evidence) routes() []uint32 {
	olds := make(map[uint32]int)
	for at, old := range e.oldTallies.tallies {
		olds[at.route] += old.answers
	}
	var routes []uint32
	add := func(route uint32) {
		if i, found := slices.BinarySearch(routes, route); !found {
			routes = slices.Insert(routes, i, route)
		}
	}
	for route, answers := range olds {
		if answers >= minRouteAnswers {
			add(route)
		}
	}
	for _, at := range e.newTallies.groups {
		add(at.route)
	}
	return routes
}
