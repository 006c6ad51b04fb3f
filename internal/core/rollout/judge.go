package rollout

import (
	"math"
	"time"
)

const (
	// falseAlarm is the chance at which a version that is alike is called worse at any time
	// of its roll-out; it is divided among the comparisons that are made.
	falseAlarm = 1e-4
	// leastAnswers is the number of answers that each route has to have shown.
	leastAnswers = 6
	// harmed is the number of bad answers, beyond what the old version would have had, at
	// which a version is rolled back whatever the comparison says. Operators count the time
	// in which it has to be stopped from the 50th.
	harmed = 30
)

// Times of a roll-out, as parts of its duration.
const (
	// A roll-out is completed late: a version that turns bad after some time must have had
	// that time. What is left covers a store that answers slowly.
	completeShare  = 0.92
	completeMargin = 800 * time.Millisecond
	// forceShare and forceMargin are what is left when it is completed although requests
	// still run on old servers, and break off.
	forceShare  = 0.03
	forceMargin = 500 * time.Millisecond
	// minDrain and maxDrainShare bound the time between shift and completion.
	minDrain      = 300 * time.Millisecond
	maxDrainShare = 0.3
)

// reportLife is how old an entry's report may be to say what runs there now.
const reportLife = 1500 * time.Millisecond

// Action is what the leader has to do.
type Action uint8

const (
	// Wait: nothing yet.
	Wait Action = iota
	// Begin, Shift, Complete and RollBack each put the next phase into the store.
	Begin
	Shift
	Complete
	RollBack
)

func (a Action) String() string {
	return [...]string{"wait", "begin", "shift", "complete", "roll_back"}[a]
}

// Phase is the one that an action leads to.
func (a Action) Phase() Phase {
	return [...]Phase{Unknown, Canary, Shifting, Completed, RolledBack}[a]
}

// Reason says why an action is due.
type Reason string

// Reasons of actions.
const (
	ReasonOrdered     Reason = "ordered"
	ReasonFailures    Reason = "failures"
	ReasonSlow        Reason = "slow_answers"
	ReasonSlowTargets Reason = "slow_targets"
	ReasonHarmed      Reason = "too_many_bad_answers"
	ReasonCleared     Reason = "as_good_as_before"
	ReasonFewAnswers  Reason = "few_answers"
	ReasonUndecided   Reason = "undecided_at_the_deadline"
	ReasonDrained     Reason = "nothing_runs_on_old_targets"
	ReasonOutOfTime   Reason = "out_of_time"
)

// Decision is an action with the inputs that decided it.
type Decision struct {
	Action Action
	Reason Reason
	// Unclear says, of an undecided roll-out, what the new version was not cleared of.
	Unclear Reason
	// Answers and Bad are the new version's in the comparison that decided, Expected how
	// many of Bad the old version would have had, Worse the logarithm of how much likelier
	// they are with a worse version.
	Answers, Bad int
	Expected     float64
	Worse        float64
}

// Judge is what the leader makes of all entries' observations.
type Judge struct {
	order    Order
	evidence *evidence
	entries  map[string]*entryReport
	// condemned is the decision to roll back, once made: while it waits for the store, no
	// later answer may open the canary again.
	condemned *Decision
}

// entryReport is the last report of an entry.
type entryReport struct {
	incarnation uint64
	at          time.Time
	report      Report
	// seenNew and seenOld are the numbers of the last observations that were taken.
	seenNew, seenOld uint64
}

// NewJudge makes a judge that has seen nothing.
func NewJudge(now time.Time, order Order) *Judge {
	return &Judge{order: order, evidence: newEvidence(now), entries: make(map[string]*entryReport)}
}

// Order is the order whose version is judged.
func (j *Judge) Order() Order { return j.order }

// Take takes an entry's report.
func (j *Judge) Take(now time.Time, entry string, incarnation uint64, r Report) {
	if r.Order != j.order.ID {
		return
	}
	known, found := j.entries[entry]
	if !found || known.incarnation != incarnation {
		known = &entryReport{incarnation: incarnation}
		j.entries[entry] = known
	}
	known.at, known.report = now, r
	known.seenNew = j.takeRecent(now, r.New, known.seenNew)
	known.seenOld = j.takeRecent(now, r.Old, known.seenOld)
}

// takeRecent takes the observations after a number and returns that of the last.
func (j *Judge) takeRecent(now time.Time, recent []Observation, seen uint64) uint64 {
	for _, o := range recent {
		if o.Number > seen {
			seen = o.Number
			j.evidence.observe(now, o)
		}
	}
	return seen
}

// Decide says what is to be done in a phase, so long after the order. live are the names
// of the entries that are heard, the leader included.
func (j *Judge) Decide(now time.Time, phase Phase, elapsed time.Duration, live []string) Decision {
	switch phase {
	case Unknown:
		return Decision{Action: Begin, Reason: ReasonOrdered}
	case Canary:
		return j.decideCanary(elapsed)
	case Shifting:
		return j.decideShift(now, elapsed, live)
	default:
		return Decision{}
	}
}

func (j *Judge) decideCanary(elapsed time.Duration) Decision {
	if d, bad := j.condemn(); bad {
		return d
	}
	complete := j.completeAt()
	if elapsed < complete-j.drain() {
		return Decision{}
	}
	d, good := j.clear()
	switch {
	case good:
		d.Action, d.Reason = Shift, ReasonCleared
		return d
	case elapsed < j.forceAt():
		return Decision{}
	default:
		// A bad version that gets all traffic breaks what the operators promise; a good one
		// can be ordered again.
		d.Action, d.Reason, d.Unclear = RollBack, ReasonUndecided, d.Reason
		return d
	}
}

func (j *Judge) decideShift(now time.Time, elapsed time.Duration, live []string) Decision {
	if d, bad := j.condemn(); bad {
		return d
	}
	if j.drained(now, live) && elapsed >= j.completeAt()-minDrain {
		return Decision{Action: Complete, Reason: ReasonDrained}
	}
	if elapsed >= j.forceAt() {
		return Decision{Action: Complete, Reason: ReasonOutOfTime}
	}
	return Decision{}
}

// completeAt is when the roll-out should be completed, forceAt when it has to be.
func (j *Judge) completeAt() time.Duration { return j.before(completeShare, completeMargin) }

func (j *Judge) forceAt() time.Duration { return j.before(1-forceShare, forceMargin) }

// before is a part of the duration, but at least a margin before its end.
func (j *Judge) before(share float64, margin time.Duration) time.Duration {
	return min(time.Duration(share*float64(j.order.Duration)), j.order.Duration-margin)
}

// drain is the time between shift and completion.
func (j *Judge) drain() time.Duration {
	return min(max(minDrain, j.evidence.drain()), time.Duration(maxDrainShare*float64(j.order.Duration)))
}

// drained reports whether no live entry has anything at old targets, or sends there.
func (j *Judge) drained(now time.Time, live []string) bool {
	for _, name := range live {
		known, found := j.entries[name]
		if !found || now.Sub(known.at) > reportLife || known.report.Phase < Shifting || known.report.OldEngaged > 0 {
			return false
		}
	}
	return len(live) > 0
}

// condemn reports whether the version has been shown to be worse.
func (j *Judge) condemn() (Decision, bool) {
	if j.condemned != nil {
		return *j.condemned, true
	}
	j.evidence.classify()
	d, bad := j.worse()
	if bad {
		j.condemned = &d
	}
	return d, bad
}

// worse compares the versions on all routes together, at loaded targets and on each route.
func (j *Judge) worse() (Decision, bool) {
	if judged, stand := j.evidence.standing(); stand == standsSlow {
		return Decision{Action: RollBack, Reason: ReasonSlowTargets, Answers: judged, Bad: judged}, true
	}
	threshold := math.Log(float64(len(badnesses)*len(j.selections(failures))) / falseAlarm)
	for _, bad := range badnesses {
		if all := j.evidence.compare(everything, bad); float64(all.bad)-all.expected >= harmed {
			return all.decision(RollBack, ReasonHarmed), true
		}
		for _, counts := range j.selections(bad) {
			if c := j.evidence.compare(counts, bad); c.worse > threshold {
				return c.decision(RollBack, bad.reason), true
			}
		}
	}
	return Decision{}, false
}

// selections are what is compared of a kind of bad answer.
func (j *Judge) selections(bad badness) []selection {
	selections := []selection{everything}
	if bad.underLoad {
		selections = append(selections, loaded)
	}
	for _, route := range j.evidence.routes() {
		selections = append(selections, only(route))
	}
	return selections
}

// clear reports whether the version has been shown to be no worse.
func (j *Judge) clear() (Decision, bool) {
	for _, route := range j.evidence.routes() {
		if c := j.evidence.compare(only(route), failures); c.answers < leastAnswers {
			return c.decision(Wait, ReasonFewAnswers), false
		}
	}
	if judged, stand := j.evidence.standing(); stand != standsAlike {
		return Decision{Reason: ReasonSlowTargets, Answers: judged, Bad: judged}, false
	}
	for _, bad := range badnesses {
		if all := j.evidence.compare(everything, bad); all.worse > -bad.cleared {
			return all.decision(Wait, bad.reason), false
		}
		for _, counts := range j.selections(bad) {
			c := j.evidence.compare(counts, bad)
			if c.answers < leastAnswers && c.bad == 0 {
				// Targets that are never loaded show nothing of how they are under load.
				continue
			}
			if c.worse > -clearedPart {
				return c.decision(Wait, bad.reason), false
			}
		}
	}
	return j.evidence.compare(everything, failures).decision(Wait, ReasonCleared), true
}

func (c comparison) decision(action Action, reason Reason) Decision {
	return Decision{Action: action, Reason: reason, Answers: c.answers, Bad: c.bad, Expected: c.expected, Worse: c.worse}
}
