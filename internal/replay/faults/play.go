package faults

import (
	"context"
	"fmt"
	"time"

	"sycamoretrail/internal/replay/live"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
)

// play is the state of one failure while it is injected and checked.
type play struct {
	*Stage
	ctx     context.Context
	failure *Failure
	trace   *trace.Trace
	result  *Result

	// start is when the load began, begun when the failure began, healed when its
	// cause was removed (zero: never), and over when it had no more effect.
	start, begun, healed, over time.Time
	// victim is the entry affected by the failure, if any.
	victim *instance
	// struck is the target affected by the failure, if any.
	struck string
	// extra are replays in addition to the load.
	extra []report.Input

	// The fields below are set after the load has ended.
	in       report.Input
	versions *versions
	runs     map[string]*report.Run
}

func newPlay(ctx context.Context, s *Stage, f *Failure, t *trace.Trace) *play {
	return &play{
		Stage: s, ctx: ctx, failure: f, trace: t,
		result: &Result{Name: f.Name, About: f.About, Load: f.Load, Seconds: f.Seconds},
	}
}

// run sends the load, injects the failure meanwhile and waits for all answers.
func (p *play) run() error {
	p.start = time.Now()
	stop := make(chan struct{})
	watched := make(chan *versions, 1)
	go func() { watched <- p.watchVersions(stop) }()
	sent := make(chan error, 1)
	go func() {
		var err error
		p.in, err = live.Run(p.ctx, p.options(p.trace))
		sent <- err
	}()
	played := p.failure.play(p)
	err := <-sent
	close(stop)
	p.versions = <-watched
	if played != nil {
		return played
	}
	if err != nil {
		return err
	}
	return p.collect()
}

// collect reads the ledgers of the targets and merges the calls of all replays.
func (p *play) collect() error {
	for _, other := range p.extra {
		addCalls(&p.in, other)
	}
	p.in.Runs, p.in.LostLedgers = live.ReadLedgers(p.document, live.DefaultAdminOffset, p.in.Start)
	p.runs = make(map[string]*report.Run, len(p.in.Runs))
	for i := range p.in.Runs {
		p.runs[p.in.Runs[i].ID] = &p.in.Runs[i]
	}
	if p.begun.IsZero() {
		return fmt.Errorf("%w: the failure never began", ErrStage)
	}
	if p.over.IsZero() {
		p.over = p.begun
	}
	return nil
}

// sleepUntil waits until the given time after the start of the load.
func (p *play) sleepUntil(at time.Duration) {
	timer := time.NewTimer(time.Until(p.start.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// mark records the current time with a description.
func (p *play) mark(what string, args ...any) time.Time {
	now := time.Now()
	p.result.Marks = append(p.result.Marks, Mark{AtMS: milliseconds(now.Sub(p.start)), What: fmt.Sprintf(what, args...)})
	return now
}

// begin records the begin of the failure, heal the removal of its cause.
func (p *play) begin(what string, args ...any) { p.begun = p.mark(what, args...) }

func (p *play) heal(what string, args ...any) { p.healed = p.mark(what, args...) }

// await polls until a condition holds and returns the time from since. If the
// condition does not hold within the limit, it records a problem.
func (p *play) await(what string, since time.Time, limit time.Duration, holds func() bool) *float64 {
	for until := time.Now().Add(limit); time.Now().Before(until); {
		if holds() {
			now := p.mark("%s", what)
			p.over = now
			took := milliseconds(now.Sub(since))
			return &took
		}
		time.Sleep(pollInterval)
	}
	p.problem("not within %v: %s", limit, what)
	return nil
}

// problem records a violated guarantee.
func (p *play) problem(format string, args ...any) {
	p.result.Problems = append(p.result.Problems, fmt.Sprintf(format, args...))
}

// require records a problem unless the condition holds.
func (p *play) require(holds bool, format string, args ...any) {
	if !holds {
		p.problem(format, args...)
	}
}

// fact adds a figure that is specific to this failure to the result.
func (p *play) fact(name string, value float64, unit string) {
	p.result.Facts = append(p.result.Facts, Fact{Name: name, Value: value, Unit: unit})
}

// at converts a time to one from the start of the replay, as calls have it.
func (p *play) at(t time.Time) time.Duration { return t.Sub(p.in.Start) }

// calls returns the calls for which wanted returns true.
func (p *play) calls(wanted func(*report.Call) bool) []*report.Call {
	var found []*report.Call
	for i := range p.in.Calls {
		if c := &p.in.Calls[i]; wanted(c) {
			found = append(found, c)
		}
	}
	return found
}

// line returns the trace line of a call, or an empty one for calls that are not in
// the trace.
func (p *play) line(c *report.Call) *trace.Line {
	if c.Line == addedLine {
		return &trace.Line{}
	}
	return &p.trace.Lines[c.Line]
}

// openAt reports whether a call was in flight at the given time.
func (p *play) openAt(c *report.Call, t time.Time) bool {
	at := p.at(t)
	return c.Sent < at && c.Ended > at
}

// askedFirst reports whether the given entry was the first one that a call used.
func askedFirst(c *report.Call, e *instance) bool { return len(c.Asked) > 0 && c.Asked[0] == e.callers }
