package faults

import (
	"fmt"
	"syscall"
	"time"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/operators/api"
	"sycamoretrail/internal/replay/live"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
)

const stateReady = "ready"

// takenOver returns a condition: the other entries schedule all targets of one.
func (p *play) takenOver(from *instance) func() bool {
	return func() bool {
		return p.everyView(p.entriesExcept(from), func(view *api.Targets) bool {
			return schedules(view, from.name) == 0 && schedules(view, "") == 0
		})
	}
}

// givenBack returns a condition: the entry schedules targets in every entry's view.
func (p *play) givenBack(to *instance) func() bool {
	return func() bool {
		return p.everyView(p.entriesExcept(), func(view *api.Targets) bool { return schedules(view, to.name) > 0 })
	}
}

// strike sends a signal to the busiest entry.
func (p *play) strike(signal syscall.Signal, what string) error {
	var err error
	if p.victim, err = p.busiest(); err != nil {
		return err
	}
	p.begin("%s %s", what, p.victim.name)
	return p.signal(p.victim, signal)
}

func entryKilled() Failure {
	return Failure{
		Name: "entry-killed", Load: 0.5, Seconds: 14,
		About: "an entry is killed with requests waiting in it and streams running through it",
		added: func() []trace.Line { return append(longStreams(2500, 24), backlog(4700, 300)...) },
		play: func(p *play) error {
			p.sleepUntil(5 * time.Second)
			if err := p.strike(syscall.SIGKILL, "killed"); err != nil {
				return err
			}
			p.result.DetectedMS = p.await("the others schedule its targets", p.begun, 10*time.Second, p.takenOver(p.victim))
			return nil
		},
		judge: judgeKilled,
	}
}

// judgeKilled checks that streams continue at another entry, and that the outcome
// of waiting requests is unknown, since their state was lost with the entry.
func judgeKilled(p *play) {
	streams, waiting := 0, 0
	for _, c := range p.calls(func(c *report.Call) bool { return askedFirst(c, p.victim) && p.openAt(c, p.begun) }) {
		switch run := p.runs[c.ID]; {
		case c.Attached > 0:
			streams++
			p.require(c.Answered(), "stream %s was not read to its end: %s", c.ID, got(c))
		case run == nil:
			waiting++
			p.require(c.Status.Outcome == outcome.Unknown, "%s waited in the killed entry and its caller was told %s", c.ID, got(c))
		}
	}
	p.require(streams > 0, "no stream ran through the killed entry, so nothing was tried")
	p.require(waiting > 0, "no request waited in the killed entry, so nothing was tried")
	p.fact("streams cut", float64(streams), "")
	p.fact("requests lost waiting", float64(waiting), "")
}

// pauseDuration exceeds the validity of a grant, the failure-detection timeout and
// the time that a caller caches the list of entries.
const pauseDuration = 8 * time.Second

func entryPaused() Failure {
	return Failure{
		Name: "entry-paused", Load: 0.5, Seconds: 22,
		About: "an entry stands still for 8 s, longer than all that it holds is valid, and wakes",
		added: func() []trace.Line { return append(longStreams(2500, 24), backlog(4700, 300)...) },
		play: func(p *play) error {
			p.sleepUntil(5 * time.Second)
			if err := p.strike(syscall.SIGSTOP, "stopped"); err != nil {
				return err
			}
			p.result.DetectedMS = p.await("the others schedule its targets", p.begun, pauseDuration, p.takenOver(p.victim))
			time.Sleep(time.Until(p.begun.Add(pauseDuration)))
			p.heal("woke %s", p.victim.name)
			if err := p.signal(p.victim, syscall.SIGCONT); err != nil {
				return err
			}
			p.result.RestoredMS = p.await("it schedules targets again", p.healed, 15*time.Second, p.givenBack(p.victim))
			return nil
		},
		judge: judgePaused,
	}
}

// judgePaused checks requests that waited in the entry when it was paused. They
// may run after the pause under a new grant while their callers still wait there.
// They must not run after their deadline, nor once their callers have received the
// outcome "unknown" from another entry.
func judgePaused(p *play) {
	waited, ran := 0, 0
	for _, c := range p.calls(func(c *report.Call) bool { return askedFirst(c, p.victim) && p.openAt(c, p.begun) }) {
		run := p.runs[c.ID]
		if run != nil && run.Began < p.at(p.begun) {
			continue
		}
		waited++
		if run == nil {
			continue
		}
		ran++
		p.require(run.Began <= c.Ended, "%s ran after its caller had been told %s", c.ID, got(c))
		p.require(run.Began <= c.Sent+c.Deadline, "%s ran after its deadline", c.ID)
	}
	p.require(waited > 0, "no request waited in the entry that stopped, so nothing was tried")
	p.fact("requests that waited", float64(waited), "")
	p.fact("of them run after the waking", float64(ran), "")
}

func plannedStop() Failure {
	return Failure{
		Name: "planned-stop", Load: 0.5, Seconds: 16,
		About: "SIGTERM to a loaded entry: it cuts nothing and exits with 0",
		added: func() []trace.Line { return append(longStreams(3500, 24), longStreams(5500, 12)...) },
		play: func(p *play) error {
			p.sleepUntil(5 * time.Second)
			if err := p.strike(syscall.SIGTERM, "SIGTERM to"); err != nil {
				return err
			}
			p.result.DetectedMS = p.await("the others schedule its targets", p.begun, 10*time.Second, p.takenOver(p.victim))
			p.await("it has exited", p.begun, 40*time.Second, func() bool {
				_, ended := p.exitCode(p.victim)
				return ended
			})
			return nil
		},
		judge: judgeStopped,
	}
}

func judgeStopped(p *play) {
	code, ended := p.exitCode(p.victim)
	p.require(ended && code == 0, "exit code %d (ended: %v)", code, ended)
	running, last := 0, time.Duration(0)
	for _, c := range p.calls(func(c *report.Call) bool { return askedFirst(c, p.victim) }) {
		if p.openAt(c, p.begun) {
			running++
		}
		last = max(last, c.Sent)
		p.require(len(c.Asked) == 1, "%s was sent to the stopping entry and had to ask %d others: %s", c.ID, len(c.Asked)-1, got(c))
		cut := c.Status.Outcome != outcome.Answered && c.Status.Reason != outcome.ReasonPreempted && !c.Status.Reason.CapacityRelated()
		p.require(!cut, "%s was sent to the stopping entry and got %s", c.ID, got(c))
	}
	p.require(running > 0, "nothing was in flight at SIGTERM, so nothing was tried")
	p.fact("in flight at SIGTERM", float64(running), "")
	p.fact("last new request after", max(last-p.at(p.begun), 0).Seconds(), "s")
	p.fact("exited after", p.over.Sub(p.begun).Seconds(), "s")
}

func entryReplaced() Failure {
	return Failure{
		Name: "entry-replaced", Load: 0.5, Seconds: 26,
		About: "an entry is killed and another process takes its name with nothing kept; again while the log is out",
		play: func(p *play) error {
			p.sleepUntil(2 * time.Second)
			version, err := p.publishNext("replaced-before")
			if err != nil {
				return err
			}
			p.sleepUntil(4 * time.Second)
			if err := p.strike(syscall.SIGKILL, "killed"); err != nil {
				return err
			}
			p.result.DetectedMS = p.await("the others schedule its targets", p.begun, 10*time.Second, p.takenOver(p.victim))
			p.result.RestoredMS = p.await("the new process is ready with the current document", p.begun, 20*time.Second, p.ready(p.victim, version))
			p.await("the new process schedules targets", p.begun, 10*time.Second, p.givenBack(p.victim))
			return p.replaceInOutage(version)
		},
		judge: judgeReplaced,
	}
}

// ready returns a condition: the entry is ready with the document of a version.
func (p *play) ready(e *instance, version int64) func() bool {
	return func() bool {
		status, err := p.status(e)
		return err == nil && status.State == stateReady && status.Version == version
	}
}

// replaceInOutage kills the entry again while the log is unavailable.
func (p *play) replaceInOutage(version int64) error {
	p.sleepUntil(12 * time.Second)
	p.mark("log out")
	if _, err := p.order(logStandin, `{"outage":true}`); err != nil {
		return err
	}
	time.Sleep(time.Second)
	killed := p.mark("killed %s again", p.victim.name)
	if err := p.signal(p.victim, syscall.SIGKILL); err != nil {
		return err
	}
	p.await("the others schedule its targets", killed, 10*time.Second, p.takenOver(p.victim))
	if took := p.await("the new process is ready with the document of its peers", killed, 20*time.Second, p.ready(p.victim, version)); took != nil {
		p.fact("ready in the outage after", *took/1000, "s")
	}
	p.await("the new process schedules targets", killed, 10*time.Second, p.givenBack(p.victim))
	if err := p.callNewProcess(); err != nil {
		return err
	}
	p.healed = p.mark("log back")
	if _, err := p.order(logStandin, `{"outage":false}`); err != nil {
		return err
	}
	p.await("every entry reads the log", p.healed, 10*time.Second, func() bool {
		return p.everyStatus(p.entriesExcept(), func(s *api.Status) bool { return s.LogAvailable && s.Version == version })
	})
	return nil
}

// newProcessCalls is the number of requests of callers that have only the address of the
// new process.
const newProcessCalls = 30

// callNewProcess sends requests of callers, one in each zone, whose only address is
// the new process. Callers that switched to another entry stay there, so the load
// itself may never return to the new process.
func (p *play) callNewProcess() error {
	var lines []trace.Line
	for n := range newProcessCalls {
		lines = append(lines, question(int64(n)*20, 100+n))
	}
	options := p.options(&trace.Trace{Header: p.trace.Header, Lines: lines})
	options.Entries, options.Callers = []string{p.victim.callers}, len(p.zones())
	in, err := live.Run(p.ctx, options)
	if err != nil {
		return err
	}
	p.extra = append(p.extra, in)
	return nil
}

// judgeReplaced checks that the process that started without state serves callers.
func judgeReplaced(p *play) {
	served := 0
	for _, c := range p.calls(func(c *report.Call) bool { return c.Line == addedLine }) {
		p.require(c.Answered(), "%s of a caller that knew the new process only: %s", c.ID, got(c))
		if askedFirst(c, p.victim) && c.Answered() {
			served++
		}
	}
	p.require(served > 0, "no caller was answered by the last process that took the name")
	p.fact("answered by it in the outage", float64(served), "")
	load := p.calls(func(c *report.Call) bool {
		return c.Line != addedLine && c.Sent > p.at(p.healed) && askedFirst(c, p.victim)
	})
	p.fact("requests of the load that came back to it", float64(len(load)), "")
}

// publishNext publishes a changed document based on the version in force.
func (p *play) publishNext(id string) (int64, error) {
	doc, version, err := p.current()
	if err != nil {
		return 0, err
	}
	doc.Base, doc.ID, doc.Comment = version, id, "published by the faults run"
	said, err := p.publish(&p.entries[0], doc)
	if err != nil {
		return 0, err
	}
	if said.Result != api.ResultAccepted {
		return 0, fmt.Errorf("%w: document %s was %s: %s", ErrStage, id, said.Result, said.Detail)
	}
	return said.Version, nil
}
