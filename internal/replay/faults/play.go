package faults

import (
	"context"
	"fmt"
	"time"

	"sycamoretrail/internal/replay/live"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
)

// play is one failure that is being brought about.
type play struct {
	*Stage
	ctx     context.Context
	failure *Failure
	trace   *trace.Trace
	result  *Result

	// start of the load; begun is when the failure began, healed when what
	// caused it was taken away (zero: never), over when it had no more effect.
	start, begun, healed, over time.Time
	// victim is the entry that the failure hits, where it hits one.
	victim *instance
	// struck is the target that the failure hits, where it hits one.
	struck string
	// extra are replays beside the load.
	extra []report.Input

	// What is known once the load has ended.
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

// run sends the load, brings the failure about meanwhile and waits for the last
// answer.
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

// collect reads the targets' ledgers and puts all calls together.
func (p *play) collect() error {
	for _, other := range p.extra {
		joined(&p.in, other)
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

// sleepUntil waits until so long after the load began.
func (p *play) sleepUntil(at time.Duration) {
	timer := time.NewTimer(time.Until(p.start.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// mark notes an instant of the play.
func (p *play) mark(what string, args ...any) time.Time {
	now := time.Now()
	p.result.Marks = append(p.result.Marks, Mark{AtMS: milliseconds(now.Sub(p.start)), What: fmt.Sprintf(what, args...)})
	return now
}

// begin notes that the failure begins now, heal that its cause is taken away.
func (p *play) begin(what string, args ...any) { p.begun = p.mark(what, args...) }

func (p *play) heal(what string, args ...any) { p.healed = p.mark(what, args...) }

// await looks until a condition holds and returns how long after since that
// was. A condition that never holds is a problem of the product.
func (p *play) await(what string, since time.Time, limit time.Duration, holds func() bool) *float64 {
	for until := time.Now().Add(limit); time.Now().Before(until); {
		if holds() {
			now := p.mark("%s", what)
			p.over = now
			took := milliseconds(now.Sub(since))
			return &took
		}
		time.Sleep(lookEvery)
	}
	p.problem("not within %v: %s", limit, what)
	return nil
}

// problem notes something that does not hold.
func (p *play) problem(format string, args ...any) {
	p.result.Problems = append(p.result.Problems, fmt.Sprintf(format, args...))
}

// require notes a problem unless the condition holds.
func (p *play) require(holds bool, format string, args ...any) {
	if !holds {
		p.problem(format, args...)
	}
}

// fact adds a figure of this failure to the result.
func (p *play) fact(name string, value float64, unit string) {
	p.result.Facts = append(p.result.Facts, Fact{Name: name, Value: value, Unit: unit})
}

// at turns an instant into a time of the calls.
func (p *play) at(t time.Time) time.Duration { return t.Sub(p.in.Start) }

// calls selects calls.
func (p *play) calls(wanted func(*report.Call) bool) []*report.Call {
	var found []*report.Call
	for i := range p.in.Calls {
		if c := &p.in.Calls[i]; wanted(c) {
			found = append(found, c)
		}
	}
	return found
}

// line is the trace's line of a call; an empty one for calls beside the load.
func (p *play) line(c *report.Call) *trace.Line {
	if c.Line == addedLine {
		return &trace.Line{}
	}
	return &p.trace.Lines[c.Line]
}

// openAt reports whether a call had been sent and not been settled at an instant.
func (p *play) openAt(c *report.Call, t time.Time) bool {
	at := p.at(t)
	return c.Sent < at && c.Ended > at
}

// askedFirst reports whether a call went to an entry first.
func askedFirst(c *report.Call, e *instance) bool { return len(c.Asked) > 0 && c.Asked[0] == e.callers }
