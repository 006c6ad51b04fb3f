package crashes

import (
	"maps"
	"slices"
	"time"
)

// crash is the end of a target's process, as far as broken connections show it.
type crash struct {
	target string
	at     time.Time
	causes map[Cause]*suspect
	// explaining is the number of its causes that are quarantined and explain it.
	explaining int
	// unsettled: the crash is judged at settlesAt.
	unsettled bool
	settlesAt time.Time
}

// brokenRun is the run with a cause at a target that crashed; of several, the one that began last.
type brokenRun struct {
	*crash
	began time.Time
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
		if known.quarantined && known.stage == 0 && len(known.crashes) < s.threshold(known.cause) {
			s.release(known)
		}
	}
	return refuted
}
