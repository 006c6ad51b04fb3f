package faults

import (
	"fmt"
	"time"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/replay/live"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
)

const (
	// copies is the number of entries that receive the same request id at once.
	copies = 3
	// sameEach is the number of such requests of each kind.
	sameEach = 25
	// sameFromMS is the send time of the first request, sameEveryMS the interval.
	sameFromMS  = 3000
	sameEveryMS = 60
)

func sameID() Failure {
	return Failure{
		Name: "same-id", Load: 0.4, Seconds: 12,
		About: "75 requests are each sent to three entries at once under one id: questions, reservations, keyed reservations",
		added: func() []trace.Line {
			var lines []trace.Line
			for n := range sameEach {
				at := int64(sameFromMS + n*3*sameEveryMS)
				lines = append(lines, thrice(len(lines), question(at, 100+n))...)
				lines = append(lines, thrice(len(lines), reservation(at+sameEveryMS, ""))...)
				lines = append(lines, thrice(len(lines), reservation(at+2*sameEveryMS, fmt.Sprintf("same-%d", n)))...)
			}
			return lines
		},
		play: func(p *play) error {
			p.sleepUntil(sameFromMS * time.Millisecond)
			p.begin("first request sent thrice")
			p.sleepUntil((sameFromMS + sameEach*3*sameEveryMS + 1000) * time.Millisecond)
			p.over = p.mark("all sent")
			return nil
		},
		judge: judgeSameID,
	}
}

// thrice returns a line and two copies that send its id again at the same time;
// place is the index of the line.
func thrice(place int, line trace.Line) []trace.Line {
	lines := []trace.Line{line}
	for range copies - 1 {
		again := line
		again.Resend = &trace.Resend{Of: place, SameID: true}
		lines = append(lines, again)
	}
	return lines
}

// judgeSameID checks that each id was sent to different entries and that at least
// one of its callers received the answer. That it ran once is checked by
// checkGuarantees.
func judgeSameID(p *play) {
	sent := map[string][]*report.Call{}
	var ids []string
	for i := range p.in.Calls {
		c := &p.in.Calls[i]
		if again := p.line(c).Resend; again != nil && again.SameID && again.AfterMS == 0 && sent[c.ID] == nil {
			ids = append(ids, c.ID)
			sent[c.ID] = []*report.Call{}
		}
	}
	for i := range p.in.Calls {
		if c := &p.in.Calls[i]; sent[c.ID] != nil {
			sent[c.ID] = append(sent[c.ID], c)
		}
	}
	answered, told := 0, 0
	for _, id := range ids {
		whole, entries := 0, map[string]bool{}
		for _, c := range sent[id] {
			entries[c.Asked[0]] = true
			if c.Answered() {
				whole++
				continue
			}
			told++
		}
		answered += whole
		p.require(len(sent[id]) == copies && len(entries) == copies, "%s was sent %d times to %d entries", id, len(sent[id]), len(entries))
		p.require(whole > 0, "none of the callers of %s got the answer: %s", id, p.told(sent[id]))
	}
	p.require(len(ids) == 3*sameEach, "%d ids were sent thrice", len(ids))
	p.fact("ids sent thrice", float64(len(ids)), "")
	p.fact("copies answered", float64(answered), "")
	p.fact("copies told a status", float64(told), "")
}

func (p *play) told(calls []*report.Call) string {
	text := ""
	for _, c := range calls {
		text += got(c) + " "
	}
	return text
}

const (
	// maxCrashingSends limits how often the caller sends its request.
	maxCrashingSends = 8
	// maxCrashedTargets is the maximum number of targets that one request may crash.
	maxCrashedTargets = 2
	// repairAfter is the time after which the platform restarts a crashed engine.
	repairAfter = 2 * time.Second
)

func crashingRequest() Failure {
	return Failure{
		Name: "poison", Load: 0.5, Seconds: 18, kills: true,
		About: "a request kills every engine that runs it; its caller sends it again at once under new ids",
		play: func(p *play) error {
			for _, name := range p.engines() {
				if _, err := p.order(name, `{"crash_on":"`+live.CrashText+`"}`); err != nil {
					return err
				}
			}
			p.sleepUntil(4 * time.Second)
			stop := make(chan struct{})
			repaired := make(chan error, 1)
			go func() { repaired <- p.repair(stop) }()
			p.begin("first sending")
			err := p.sendCrashingRequest()
			p.sleepUntil(12 * time.Second)
			close(stop)
			if fault := <-repaired; fault != nil {
				return fault
			}
			return err
		},
		judge: judgeCrashingRequest,
	}
}

// sendCrashingRequest sends the crashing request until it is quarantined, each time as soon
// as the previous answer has arrived.
func (p *play) sendCrashingRequest() error {
	line := question(0, 50)
	line.CrashesTarget = true
	t := &trace.Trace{Header: p.trace.Header, Lines: []trace.Line{line}}
	for n := range maxCrashingSends {
		options := p.options(t)
		options.Callers = 1
		in, err := live.Run(p.ctx, options)
		if err != nil {
			return err
		}
		p.extra = append(p.extra, in)
		now := p.mark("sending %d: %s", n+1, got(&in.Calls[0]))
		if in.Calls[0].Status.Reason == outcome.ReasonQuarantined {
			p.over = now
			took := milliseconds(now.Sub(p.begun))
			p.result.DetectedMS = &took
			return nil
		}
	}
	p.problem("the request was sent %d times and never refused for what it does", maxCrashingSends)
	return nil
}

// repair restarts crashed engines, as the platform does, until stop is closed and
// all engines run.
func (p *play) repair(stop <-chan struct{}) error {
	since := map[string]time.Time{}
	for {
		dead := 0
		for _, name := range p.engines() {
			faults, err := p.order(name, `{}`)
			if err != nil {
				return err
			}
			if !faults.Crash {
				delete(since, name)
				continue
			}
			dead++
			if since[name].IsZero() {
				since[name] = time.Now()
				p.fact("died: "+name, time.Since(p.begun).Seconds(), "s")
			}
			if time.Since(since[name]) < repairAfter {
				continue
			}
			if _, err := p.order(name, `{"crash":false}`); err != nil {
				return err
			}
		}
		select {
		case <-stop:
			if dead == 0 {
				return nil
			}
		default:
		}
		time.Sleep(pollInterval)
	}
}

func judgeCrashingRequest(p *play) {
	deaths := 0
	for _, name := range p.engines() {
		ledger, err := p.ledger(name)
		p.require(err == nil, "%v", err)
		deaths += ledger.Incarnation - 1
	}
	p.require(deaths <= maxCrashedTargets, "the request killed %d engines", deaths)
	p.require(deaths > 0, "the request killed no engine, so nothing was tried")
	p.fact("engines killed", float64(deaths), "")
	innocent := p.calls(func(c *report.Call) bool {
		return c.Line != addedLine && c.Status.Reason == outcome.ReasonQuarantined
	})
	p.require(len(innocent) == 0, "%d other requests were refused as ones that crash targets", len(innocent))
}
