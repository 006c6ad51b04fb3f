package faults

import (
	"time"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/operators/api"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
)

func targetDies() Failure {
	return Failure{
		Name: "target-dies", Load: 0.5, Seconds: 16, kills: true,
		About: "an engine dies with streams running and comes back 6 s later, empty",
		added: func() []trace.Line { return longStreams(2500, 24) },
		play: func(p *play) error {
			p.struck = p.engines()[0]
			p.sleepUntil(4 * time.Second)
			p.begin("%s died", p.struck)
			if _, err := p.order(p.struck, `{"crash":true}`); err != nil {
				return err
			}
			p.result.DetectedMS = p.await("no entry gives it work", p.begun, 6*time.Second, p.targetIs(p.struck, false))
			p.sleepUntil(10 * time.Second)
			p.heal("%s came back", p.struck)
			if _, err := p.order(p.struck, `{"crash":false}`); err != nil {
				return err
			}
			p.result.RestoredMS = p.await("every entry may give it work", p.healed, 10*time.Second, p.targetIs(p.struck, true))
			return nil
		},
		judge: judgeDied,
	}
}

// targetIs returns a condition: the target has the given availability in every
// entry's view.
func (p *play) targetIs(name string, available bool) func() bool {
	return func() bool {
		return p.everyView(p.entriesExcept(), func(view *api.Targets) bool {
			t := seen(view, name)
			return t != nil && t.Available == available
		})
	}
}

// judgeDied checks that each caller whose stream was lost receives "ran in part" or
// "unknown". That none of the requests ran elsewhere is checked by the count of ids
// dispatched twice.
func judgeDied(p *play) {
	broken, first := 0, time.Duration(0)
	for i := range p.in.Runs {
		run := &p.in.Runs[i]
		if run.Target != p.struck {
			continue
		}
		if run.Began > p.at(p.healed) && first == 0 {
			first = run.Began
		}
		died := run.Began < p.at(p.begun) && !run.Complete && run.Ended >= p.at(p.begun)-time.Second
		if !died || run.Cancelled {
			continue
		}
		broken++
		for _, c := range p.calls(func(c *report.Call) bool { return c.ID == run.ID }) {
			honest := c.Status.Outcome == outcome.RanInPart || c.Status.Outcome == outcome.Unknown
			p.require(honest, "%s ran on the target that died and its caller was told %s", c.ID, got(c))
		}
	}
	p.require(broken > 0, "no stream ran on the target that died, so nothing was tried")
	p.require(first > 0, "the target got no work after it came back")
	p.fact("streams broken", float64(broken), "")
	p.fact("first run after it came back", (first - p.at(p.healed)).Seconds(), "s")
}

const (
	// listLag is the order that delays the platform's instance list by 30 s.
	listLag = `{"lag_ms":30000}`
	// leavingLimit is how long a leaving target may still receive new requests.
	leavingLimit = 3 * time.Second
)

func targetLeaving() Failure {
	return Failure{
		Name: "target-leaving", Load: 0.5, Seconds: 14,
		About: "one engine says that it leaves and operators declare another leaving, while the platform's list is 30 s old",
		added: func() []trace.Line { return longStreams(2500, 24) },
		play: func(p *play) error {
			if _, err := p.order(listStandin, listLag); err != nil {
				return err
			}
			p.struck = p.engines()[0]
			p.sleepUntil(4 * time.Second)
			p.begin("%s leaves", p.struck)
			if err := p.leave(p.struck); err != nil {
				return err
			}
			p.result.DetectedMS = p.await("no entry gives it work", p.begun, 6*time.Second, p.targetIs(p.struck, false))
			return p.declareLeaving(p.engines()[1])
		},
		judge: judgeLeaving,
	}
}

// leave makes a target announce its departure, and marks it as leaving in the
// platform's instance list.
func (p *play) leave(name string) error {
	if _, err := p.order(name, `{"leaving":true}`); err != nil {
		return err
	}
	return p.list(standinRow{Name: name, Address: p.addresses[name], Role: "target", Leaving: true})
}

// declareLeaving publishes a document in which a target is leaving. The target
// itself continues to accept requests.
func (p *play) declareLeaving(name string) error {
	doc, version, err := p.current()
	if err != nil {
		return err
	}
	doc.Base, doc.ID = version, "leaving"
	for i := range doc.Targets {
		doc.Targets[i].Leaving = doc.Targets[i].Leaving || doc.Targets[i].Name == name
	}
	said, err := p.publish(&p.entries[1], doc)
	if err != nil {
		return err
	}
	p.require(said.Result == api.ResultAccepted, "the document that declares %s leaving was %s", name, said.Result)
	p.healed = p.mark("document declares %s leaving", name)
	p.await("no entry gives it work", p.healed, 6*time.Second, p.targetIs(name, false))
	return nil
}

// judgeLeaving checks that both targets receive no new requests, and that the runs
// of the one that leaves were not aborted.
func judgeLeaving(p *play) {
	says, declared := p.engines()[0], p.engines()[1]
	ledger, err := p.ledger(says)
	p.require(err == nil, "%v", err)
	last := time.Duration(0)
	if ledger.Rejected > 0 {
		last = time.UnixMilli(ledger.LastRejectedMS).Sub(p.begun)
	}
	p.require(last < leavingLimit, "%s was given work %v after it said that it leaves", says, last)
	p.fact("turned away by it", float64(ledger.Rejected), "")
	p.fact("the last after", max(last, 0).Seconds(), "s")

	last = 0
	running := 0
	for i := range p.in.Runs {
		run := &p.in.Runs[i]
		if run.Target == declared {
			last = max(last, run.Began-p.at(p.healed))
		}
		if run.Target == says && run.Began < p.at(p.begun) && run.Ended > p.at(p.begun) {
			running++
			p.require(run.Complete || run.Cancelled, "run %s was cut by the leaving of its target", run.ID)
		}
	}
	p.require(running > 0, "nothing ran at the target that left, so nothing was tried")
	p.require(last < leavingLimit, "%s was given work %v after the document declared it leaving", declared, last)
	p.fact("finished there after it left", float64(running), "")
	p.fact("last run at the declared one after", max(last, 0).Seconds(), "s")
}
