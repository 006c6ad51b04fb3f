package crashes

import (
	"container/list"
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
	// lifted are the ids of the parts that operators have freed.
	lifted map[string]bool
}

// suspect is a cause with the crashes that count against it.
type suspect struct {
	cause   Cause
	element *list.Element
	// crashes are those since the last answer, oldest first.
	crashes []*crash
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

// crash is the end of a target's process, as far as broken connections show it.
type crash struct {
	target string
	at     time.Time
	causes map[Cause]*suspect
}

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

// RecordBroken records that a run broke at a target, here or at another entry. It returns the
// causes against which the target's crash did not count yet.
func (s *Causes) RecordBroken(now time.Time, target string, evidence []Evidence) (added []Cause) {
	s.settle(now)
	if len(evidence) == 0 {
		return nil
	}
	c := s.crashAt(now, target)
	defer func() {
		if len(added) > 0 && !slices.Contains(s.unsettled, c) {
			s.unsettled = append(s.unsettled, c)
		}
	}()
	for _, e := range evidence {
		if e.Answered {
			s.answered.add(e.Cause.key())
		}
		known := s.findOrAdd(e.Cause)
		known.vouched = known.vouched || e.Answered
		s.touch(now, known)
		if _, found := c.causes[e.Cause]; found {
			continue
		}
		c.causes[e.Cause] = known
		known.crashes = append(known.crashes, c)
		if len(known.crashes) > maxCrashesOfCause {
			delete(known.crashes[0].causes, e.Cause)
			known.crashes = known.crashes[1:]
		}
		added = append(added, e.Cause)
	}
	return added
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
		known.crashes = slices.DeleteFunc(known.crashes, func(other *crash) bool { return other == c })
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
	for _, c := range known.crashes {
		delete(c.causes, known.cause)
	}
	s.listOf(known).Remove(known.element)
	delete(s.suspects, known.cause)
	if !known.convicted {
		return
	}
	if s.convictedParts[known.cause.ID]--; s.convictedParts[known.cause.ID] <= 0 {
		delete(s.convictedParts, known.cause.ID)
	}
	for cause := range known.rivals {
		if rival, found := s.suspects[cause]; found {
			delete(rival.rivals, known.cause)
		}
	}
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
	s.forgetCrash(target)
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

func (s *Causes) clear(now time.Time, cause Cause) {
	s.answered.add(cause.key())
	known, found := s.suspects[cause]
	if !found {
		return
	}
	s.drop(known)
	if !known.convicted {
		return
	}
	s.changes = append(s.changes, Change{Cause: cause, Answered: true, Stage: known.stage})
	for rival := range known.rivals {
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
	for _, c := range known.crashes {
		if now.Sub(c.at) > evidenceLife || c.explainedWithout(known.cause) {
			continue
		}
		if n == 0 || c.at.Sub(last).Abs() >= simultaneous {
			n, last = n+1, c.at
		}
	}
	return n
}

// explainedWithout reports whether another convicted cause was in flight at the target.
func (c *crash) explainedWithout(cause Cause) bool {
	for other, known := range c.causes {
		if known.convicted && other != cause {
			return true
		}
	}
	return false
}

// settle judges the crashes of which all entries should have reported their runs.
func (s *Causes) settle(now time.Time) {
	for len(s.unsettled) > 0 {
		c := s.unsettled[0]
		var crossed []*suspect
		for cause, known := range c.causes {
			if now.Sub(c.at) < policies[cause.Kind].settle {
				return
			}
			if !known.convicted && s.count(now, known) >= s.threshold(cause) {
				crossed = append(crossed, known)
			}
		}
		s.unsettled = s.unsettled[1:]
		s.convict(now, crossed)
	}
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

// Convicted returns the number of convicted causes, Suspected that of all others with evidence.
func (s *Causes) Convicted() int { return s.convicted.Len() }

// Suspected returns the number of causes with evidence that are not convicted.
func (s *Causes) Suspected() int { return s.unconvicted.Len() }
