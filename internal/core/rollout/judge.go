package rollout

import (
	"math"
	"time"
)

const (
	// falseAlarmRate is the probability that an equivalent version is found to be worse at
	// any time of its roll-out. It is divided among the comparisons.
	falseAlarmRate = 1e-4
	// minAnswers is the number of the new version's answers that are required on each route.
	minAnswers = 6
	// maxExcessBad is the number of bad answers, beyond those that the old version would
	// have had, at which a version is rolled back whatever the comparison shows. Operators
	// count the time within which a version has to be stopped from its 50th bad answer.
	maxExcessBad = 30
)

// Times of a roll-out, as shares of its duration.
const (
	// A roll-out is completed late, so that a version that turns bad after some time is
	// detected. The rest of the time is left for a store that answers slowly.
	completeShare  = 0.92
	completeMargin = 800 * time.Millisecond
	// forceShare and forceMargin are the time before the deadline at which a roll-out is
	// completed even though requests still run on old servers and are aborted.
	forceShare  = 0.03
	forceMargin = 500 * time.Millisecond
	// minDrain and maxDrainShare are the bounds of the time between shift and completion.
	minDrain      = 300 * time.Millisecond
	maxDrainShare = 0.3
)

// maxReportAge is the age up to which an entry's report shows what runs there now.
const maxReportAge = 1500 * time.Millisecond

// Action is what the leader has to do.
type Action uint8

const (
	// Wait: nothing.
	Wait Action = iota
	// Begin, Shift, Complete and RollBack each store the next phase.
	Begin
	Shift
	Complete
	RollBack
)

func (a Action) String() string {
	return [...]string{"wait", "begin", "shift", "complete", "roll_back"}[a]
}

// Phase returns the phase that an action leads to.
func (a Action) Phase() Phase {
	return [...]Phase{Unknown, Canary, Shifting, Completed, RolledBack}[a]
}

// Reason is why an action is due.
type Reason string

// Reasons of actions.
const (
	ReasonOrdered     Reason = "ordered"
	ReasonFailures    Reason = "failures"
	ReasonSlow        Reason = "slow_answers"
	ReasonSlowTargets Reason = "slow_targets"
	ReasonExcessBad   Reason = "too_many_bad_answers"
	ReasonNoWorse     Reason = "as_good_as_before"
	ReasonFewAnswers  Reason = "few_answers"
	ReasonUndecided   Reason = "undecided_at_the_deadline"
	ReasonDrained     Reason = "nothing_runs_on_old_targets"
	ReasonOutOfTime   Reason = "out_of_time"
)

// Decision is an action with the values that it is based on.
type Decision struct {
	Action Action
	Reason Reason
	// Unclear is, for a roll-out that is undecided at the deadline, the check that the new
	// version did not pass.
	Unclear Reason
	// Answers and Bad count the new version's answers in the comparison that decided.
	// Expected is the number of bad answers that the old version would have had. Worse is
	// the logarithm of the likelihood ratio of the new version being worse.
	Answers, Bad int
	Expected     float64
	Worse        float64
}

// Judge evaluates the observations of all entries at the leader.
type Judge struct {
	order    Order
	evidence *evidence
	entries  map[string]*entryReport
	// rejected is the decision to roll back, once made. While it is being stored, no later
	// answer may reopen the canary.
	rejected *Decision
}

// entryReport is the last report of an entry.
type entryReport struct {
	incarnation uint64
	at          time.Time
	report      Report
	// lastNew and lastOld are the numbers of the last observations that were added.
	lastNew, lastOld uint64
}

// NewJudge returns a judge without observations.
func NewJudge(now time.Time, order Order) *Judge {
	return &Judge{order: order, evidence: newEvidence(now), entries: make(map[string]*entryReport)}
}

// Order returns the order of the roll-out.
func (j *Judge) Order() Order { return j.order }

// AddReport adds an entry's report.
func (j *Judge) AddReport(now time.Time, entry string, incarnation uint64, r Report) {
	if r.Order != j.order.ID {
		return
	}
	known, found := j.entries[entry]
	if !found || known.incarnation != incarnation {
		known = &entryReport{incarnation: incarnation}
		j.entries[entry] = known
	}
	known.at, known.report = now, r
	known.lastNew = j.addNewer(now, r.New, known.lastNew)
	known.lastOld = j.addNewer(now, r.Old, known.lastOld)
}

// addNewer adds the observations numbered above last and returns the number of the last one.
func (j *Judge) addNewer(now time.Time, recent []Observation, last uint64) uint64 {
	for _, o := range recent {
		if o.Number > last {
			last = o.Number
			j.evidence.observe(now, o)
		}
	}
	return last
}

// Decide returns what to do in a phase, at a time after the order. live lists the names of
// the live entries, including the leader.
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
	if d, bad := j.reject(); bad {
		return d
	}
	complete := j.completeAt()
	if elapsed < complete-j.drain() {
		return Decision{}
	}
	d, good := j.accept()
	switch {
	case good:
		d.Action, d.Reason = Shift, ReasonNoWorse
		return d
	case elapsed < j.forceAt():
		return Decision{}
	default:
		// Shifting all traffic to a bad version breaks what the operators promise, while a
		// good version can be ordered again.
		d.Action, d.Reason, d.Unclear = RollBack, ReasonUndecided, d.Reason
		return d
	}
}

func (j *Judge) decideShift(now time.Time, elapsed time.Duration, live []string) Decision {
	if d, bad := j.reject(); bad {
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

// completeAt is when the roll-out should be completed; forceAt is when it has to be.
func (j *Judge) completeAt() time.Duration { return j.shareOrMargin(completeShare, completeMargin) }

func (j *Judge) forceAt() time.Duration { return j.shareOrMargin(1-forceShare, forceMargin) }

// shareOrMargin returns a share of the duration, or the time that is margin before its end
// if that is earlier.
func (j *Judge) shareOrMargin(share float64, margin time.Duration) time.Duration {
	return min(time.Duration(share*float64(j.order.Duration)), j.order.Duration-margin)
}

// drain returns the time between shift and completion.
func (j *Judge) drain() time.Duration {
	return min(max(minDrain, j.evidence.drain()), time.Duration(maxDrainShare*float64(j.order.Duration)))
}

// drained reports whether all live entries have shifted and none has requests outstanding at
// old targets.
func (j *Judge) drained(now time.Time, live []string) bool {
	for _, name := range live {
		last, found := j.entries[name]
		if !found || now.Sub(last.at) > maxReportAge || last.report.Phase < Shifting || last.report.OldOutstanding > 0 {
			return false
		}
	}
	return len(live) > 0
}

// reject reports whether the version has been found to be worse.
func (j *Judge) reject() (Decision, bool) {
	if j.rejected != nil {
		return *j.rejected, true
	}
	j.evidence.classify()
	d, bad := j.findWorse()
	if bad {
		j.rejected = &d
	}
	return d, bad
}

// findWorse compares the versions on all routes together, at loaded targets, and on each
// route.
func (j *Judge) findWorse() (Decision, bool) {
	if targets, result := j.evidence.compareTargets(); result == speedSlow {
		return Decision{Action: RollBack, Reason: ReasonSlowTargets, Answers: targets, Bad: targets}, true
	}
	threshold := math.Log(float64(len(badKinds)*len(j.selections(failures))) / falseAlarmRate)
	for _, kind := range badKinds {
		if all := j.evidence.compare(allAnswers, kind); float64(all.bad)-all.expected >= maxExcessBad {
			return all.decision(RollBack, ReasonExcessBad), true
		}
		for _, include := range j.selections(kind) {
			if c := j.evidence.compare(include, kind); c.worse > threshold {
				return c.decision(RollBack, kind.reason), true
			}
		}
	}
	return Decision{}, false
}

// selections returns the selections of answers that are compared for a kind of bad answer.
func (j *Judge) selections(kind badKind) []selection {
	selections := []selection{allAnswers}
	if kind.underLoad {
		selections = append(selections, loadedTargets)
	}
	for _, route := range j.evidence.routes() {
		selections = append(selections, onRoute(route))
	}
	return selections
}

// accept reports whether the version has been found to be no worse.
func (j *Judge) accept() (Decision, bool) {
	for _, route := range j.evidence.routes() {
		if c := j.evidence.compare(onRoute(route), failures); c.answers < minAnswers {
			return c.decision(Wait, ReasonFewAnswers), false
		}
	}
	if targets, result := j.evidence.compareTargets(); result != speedAlike {
		return Decision{Reason: ReasonSlowTargets, Answers: targets, Bad: targets}, false
	}
	for _, kind := range badKinds {
		if all := j.evidence.compare(allAnswers, kind); all.worse > -kind.acceptThreshold {
			return all.decision(Wait, kind.reason), false
		}
		for _, include := range j.selections(kind) {
			c := j.evidence.compare(include, kind)
			if c.answers < minAnswers && c.bad == 0 {
				// The targets were hardly ever loaded, so there is no evidence about them
				// under load.
				continue
			}
			if c.worse > -partAcceptThreshold {
				return c.decision(Wait, kind.reason), false
			}
		}
	}
	return j.evidence.compare(allAnswers, failures).decision(Wait, ReasonNoWorse), true
}

func (c comparison) decision(action Action, reason Reason) Decision {
	return Decision{Action: action, Reason: reason, Answers: c.answers, Bad: c.bad, Expected: c.expected, Worse: c.worse}
}
