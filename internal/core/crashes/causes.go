// Package crashes recognises requests that crash each target that runs them, and what such requests
// have in common. Their callers would take down one more target for seconds with each of them.
//
// Other requests have broken connections too. Evidence of one target counts once, however many runs
// broke with it, and is void once the target answers a request that was sent to it afterwards.
package crashes

import (
	"container/list"
	"maps"
	"slices"
	"time"
)

// Causes finds out what the requests that crash targets have in common. A run that broke when its
// target crashed is evidence against each of its causes, and a complete answer drops the evidence
// against all of its causes: what crashes each target that runs it is never answered. A cause is
// convicted by several crashes in a row without an answer between them. Requests with a convicted
// cause are refused, except for rare trials, until one of them is answered.
//
// Many sound requests share causes with those that crash targets, and break with them. Three
// things tell their causes apart: answers, which all entries hear of; the memory of earlier
// answers, for times in which no target lives long enough to answer anything; and crashes with a
// convicted cause in flight, which do not count against others.
//
// It is not safe for concurrent use.
type Causes struct {
	suspects map[Cause]*suspect
	// unconvicted and convicted list the suspects, those seen longest ago first.
	unconvicted, convicted *list.List
	// convictedParts counts the services for which a part is convicted, by its id.
	convictedParts map[string]int
	crashes        map[string]*crash
	// crashOrder lists the targets of crashes, oldest first; unsettled the crashes that are not
	// judged yet.
	crashOrder []string
	unsettled  []*crash
	answered   *recent
	// untold are causes that were answered here, of which other entries are to hear.
	untold map[Cause]struct{}
	// jitter returns a random part of a duration, so that entries do not begin trials together.
	jitter  func(time.Duration) time.Duration
	changes []Change
	// lifted are the ids of the causes that operators have freed.
	lifted map[string]bool
}

// suspect is a cause with the crashes that count against it.
type suspect struct {
	cause   Cause
	element *list.Element
	// crashes are those since the last answer, oldest first.
	crashes []brokenRun
	// vouched: the entries know whether the cause has been answered before.
	vouched bool

	convicted bool
	// despiteAnswers: it was convicted although earlier answers are remembered.
	despiteAnswers bool
	seen           time.Time
	// rivals were convicted with the cause on the same crashes.
	rivals map[Cause]struct{}
	// stage counts the trials. Callers are told that one is due at trialAt; this entry makes it
	// from ownTrialAt on.
	stage               int
	trialAt, ownTrialAt time.Time
}

// brokenRun is the run with a cause at a target that crashed; of several, the one that began last.
type brokenRun struct {
	*crash
	began time.Time
}

// crash is the end of a target's process, as far as broken connections show it.
type crash struct {
	target string
	at     time.Time
	causes map[Cause]*suspect
	// explaining is the number of its causes that are convicted and explain it.
	explaining int
	// unsettled: the crash is judged at settlesAt.
	unsettled bool
	settlesAt time.Time
}

func (c *crash) add(known *suspect) {
	c.causes[known.cause] = known
	if known.explains() {
		c.explaining++
	}
}

func (c *crash) remove(known *suspect) {
	delete(c.causes, known.cause)
	if known.explains() {
		c.explaining--
	}
}

// explainedWithout reports whether another cause explains the crash.
func (c *crash) explainedWithout(known *suspect) bool {
	others := c.explaining
	if known.explains() {
		others--
	}
	return others > 0
}

// explains reports whether crashes with the cause in flight do not count against others.
func (s *suspect) explains() bool { return s.convicted && policies[s.cause.Kind].explains }

// Evidence is one cause of a broken run. Answered: the entry that reports it remembers an answer.
type Evidence struct {
	Cause    Cause
	Answered bool
}

// Change is a change of what is known of a cause, for the log.
type Change struct {
	Cause     Cause
	Convicted bool
	Crashes   int
	Targets   []string
	Answered  bool
	Stage     int
	// TrialIn is the time to the next trial.
	TrialIn time.Duration
}

// NewCauses returns an empty Causes.
func NewCauses(jitter func(time.Duration) time.Duration) *Causes {
	return &Causes{
		suspects: make(map[Cause]*suspect), unconvicted: list.New(), convicted: list.New(),
		convictedParts: make(map[string]int), crashes: make(map[string]*crash),
		answered: newRecent(), untold: make(map[Cause]struct{}), jitter: jitter,
	}
}

// RecordBroken records that a run, which began some time ago, broke at a target, here or at another
// entry. It returns the causes against which the target's crash did not count yet.
func (s *Causes) RecordBroken(now time.Time, target string, ran time.Duration, evidence []Evidence) (added []Cause) {
	s.settle(now)
	if len(evidence) == 0 {
		return nil
	}
	c := s.crashAt(now, target)
	var atOnce []*suspect
	for _, e := range evidence {
		if e.Answered {
			s.remember(e.Cause)
		}
		known := s.findOrAdd(e.Cause)
		known.vouched = known.vouched || e.Answered
		s.touch(now, known)
		if !s.addCrash(known, brokenRun{c, now.Add(-ran)}) {
			continue
		}
		added = append(added, e.Cause)
		if policies[e.Cause.Kind].settle == 0 {
			atOnce = append(atOnce, known)
		}
	}
	s.judge(now, atOnce)
	if len(added) > 0 && !c.unsettled {
		c.unsettled, c.settlesAt = true, now.Add(maxSettle)
		s.unsettled = append(s.unsettled, c)
	}
	return added
}

// addCrash counts a crash against a cause. It returns false if it counted already.
func (s *Causes) addCrash(known *suspect, run brokenRun) bool {
	if i := slices.IndexFunc(known.crashes, func(other brokenRun) bool { return other.crash == run.crash }); i >= 0 {
		if run.began.After(known.crashes[i].began) {
			known.crashes[i].began = run.began
		}
		return false
	}
	run.add(known)
	known.crashes = append(known.crashes, run)
	if len(known.crashes) > maxCrashesOfCause {
		known.crashes[0].remove(known)
		known.crashes = known.crashes[1:]
	}
	return true
}

// crashAt returns the crash of a target. Its runs may break one after the other.
func (s *Causes) crashAt(now time.Time, target string) *crash {
	if c, found := s.crashes[target]; found {
		c.at = now
		return c
	}
	c := &crash{target: target, at: now, causes: make(map[Cause]*suspect)}
	s.crashes[target] = c
	s.crashOrder = append(s.crashOrder, target)
	if len(s.crashOrder) > maxCrashes {
		s.forgetCrash(s.crashOrder[0])
	}
	return c
}

func (s *Causes) forgetCrash(target string) {
	c, found := s.crashes[target]
	if !found {
		return
	}
	for _, known := range c.causes {
		known.crashes = slices.DeleteFunc(known.crashes, func(other brokenRun) bool { return other.crash == c })
	}
	delete(s.crashes, target)
	s.crashOrder = slices.DeleteFunc(s.crashOrder, func(other string) bool { return other == target })
	s.unsettled = slices.DeleteFunc(s.unsettled, func(other *crash) bool { return other == c })
}

// findOrAdd returns a suspect, and drops another one if there are too many.
func (s *Causes) findOrAdd(cause Cause) *suspect {
	if known, found := s.suspects[cause]; found {
		return known
	}
	if s.unconvicted.Len() >= maxSuspects {
		s.drop(s.unconvicted.Front().Value.(*suspect))
	}
	known := &suspect{cause: cause, rivals: make(map[Cause]struct{})}
	known.element = s.unconvicted.PushBack(known)
	s.suspects[cause] = known
	return known
}

func (s *Causes) listOf(known *suspect) *list.List {
	if known.convicted {
		return s.convicted
	}
	return s.unconvicted
}

func (s *Causes) touch(now time.Time, known *suspect) {
	known.seen = now
	s.listOf(known).MoveToBack(known.element)
}

// drop forgets a suspect and what its crashes hold against it.
func (s *Causes) drop(known *suspect) {
	s.acquit(known)
	for _, c := range known.crashes {
		c.remove(known)
	}
	s.unconvicted.Remove(known.element)
	delete(s.suspects, known.cause)
}

// acquit ends a conviction; the crashes go on to count.
func (s *Causes) acquit(known *suspect) {
	if !known.convicted {
		return
	}
	if known.explains() {
		for _, c := range known.crashes {
			c.explaining--
		}
	}
	s.convicted.Remove(known.element)
	known.convicted = false
	known.element = s.unconvicted.PushBack(known)
	if s.convictedParts[known.cause.ID]--; s.convictedParts[known.cause.ID] <= 0 {
		delete(s.convictedParts, known.cause.ID)
	}
	for cause := range known.rivals {
		if rival, found := s.suspects[cause]; found {
			delete(rival.rivals, known.cause)
		}
	}
	known.rivals = make(map[Cause]struct{})
	s.changes = append(s.changes, Change{Cause: known.cause, Answered: s.answered.has(known.cause.key()), Stage: known.stage})
}

// RecordLife records that a target has answered a request that was sent to it at a time, so that
// it has not crashed shortly before. It returns the number of causes against which that no longer
// counts.
func (s *Causes) RecordLife(target string, sent time.Time) (refuted int) {
	c, found := s.crashes[target]
	if !found || !c.at.Before(sent) || sent.Sub(c.at) >= restartTime {
		return 0
	}
	refuted = len(c.causes)
	suspects := slices.Collect(maps.Values(c.causes))
	s.forgetCrash(target)
	for _, known := range suspects {
		if known.convicted && known.stage == 0 && len(known.crashes) < s.threshold(known.cause) {
			s.acquit(known)
		}
	}
	return refuted
}

// RecordAnswer records a complete answer to a request with these causes. It returns the causes of
// which the other entries should hear that they were answered: at once, or soon, if nobody else tells
// them before (see Untold).
func (s *Causes) RecordAnswer(now time.Time, causes []Cause) (atOnce, soon []Cause) {
	s.settle(now)
	for _, cause := range causes {
		known, found := s.suspects[cause]
		switch {
		case !found:
		case known.convicted || !s.answered.has(cause.key()):
			atOnce = append(atOnce, cause)
		default:
			s.untold[cause] = struct{}{}
			soon = append(soon, cause)
		}
		s.clear(now, cause)
	}
	return atOnce, soon
}

// Untold returns those of the causes of which no other entry has told since RecordAnswer returned them.
func (s *Causes) Untold(causes []Cause) (untold []Cause) {
	for _, cause := range causes {
		if _, found := s.untold[cause]; found {
			delete(s.untold, cause)
			untold = append(untold, cause)
		}
	}
	return untold
}

// Clear records that requests with these causes were answered through other entries.
func (s *Causes) Clear(now time.Time, causes []Cause) {
	s.settle(now)
	for _, cause := range causes {
		delete(s.untold, cause)
		s.clear(now, cause)
	}
}

// remember records that a cause has been answered.
func (s *Causes) remember(cause Cause) {
	if policies[cause.Kind].remembered {
		s.answered.add(cause.key())
	}
}

func (s *Causes) clear(now time.Time, cause Cause) {
	s.remember(cause)
	known, found := s.suspects[cause]
	if !found {
		return
	}
	rivals := known.rivals
	s.drop(known)
	for rival := range rivals {
		if r, found := s.suspects[rival]; found && len(r.rivals) == 0 {
			r.stage = 0
			s.scheduleTrial(now, r)
		}
	}
}

// count returns the number of crashes that count against a cause: those since its last answer, but
// not those during which another convicted cause was in flight.
func (s *Causes) count(now time.Time, known *suspect) int {
	simultaneous := policies[known.cause.Kind].simultaneous
	n, last := 0, time.Time{}
	for _, run := range known.crashes {
		if now.Sub(run.at) > evidenceLife || run.explainedWithout(known) {
			continue
		}
		if n == 0 || !run.began.Before(last) || run.at.Sub(last).Abs() >= simultaneous {
			n, last = n+1, run.at
		}
	}
	return n
}

// settle judges the crashes of which all entries should have reported their runs.
func (s *Causes) settle(now time.Time) {
	for len(s.unsettled) > 0 && !now.Before(s.unsettled[0].settlesAt) {
		c := s.unsettled[0]
		c.unsettled = false
		s.unsettled = s.unsettled[1:]
		s.judge(now, slices.Collect(maps.Values(c.causes)))
	}
}

// judge convicts those of the suspects that have reached their thresholds.
func (s *Causes) judge(now time.Time, suspects []*suspect) {
	s.convict(now, slices.DeleteFunc(suspects, func(known *suspect) bool {
		return known.convicted || s.count(now, known) < s.threshold(known.cause)
	}))
}

func (s *Causes) threshold(cause Cause) int {
	p := policies[cause.Kind]
	if s.answered.has(cause.key()) {
		return p.answeredThreshold
	}
	return p.threshold
}

// Changes returns the changes since the last call.
func (s *Causes) Changes() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}

// Count returns the number of crashes that count against a cause.
func (s *Causes) Count(now time.Time, cause Cause) int {
	known, found := s.suspects[cause]
	if !found {
		return 0
	}
	return s.count(now, known)
}

// Convicted returns the number of convicted causes, Suspected that of all others with evidence.
func (s *Causes) Convicted() int { return s.convicted.Len() }

// Suspected returns the number of causes with evidence that are not convicted.
func (s *Causes) Suspected() int { return s.unconvicted.Len() }
