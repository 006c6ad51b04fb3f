// Package faults brings failures about between running processes on loopback,
// while callers send traffic, and judges what those callers got. It starts no
// process: scripts/faults.sh starts a deployment for each failure, and this
// package sends signals to its entries and orders to its stand-ins.
package faults

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"sycamoretrail/internal/replay/live"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
)

// Errors of this package.
var (
	// ErrStage is wrapped where the deployment is not as scripts/faults.sh leaves it.
	ErrStage = errors.New("deployment cannot be used")
	// ErrUnknown: no failure has the name.
	ErrUnknown = errors.New("unknown failure")
)

// Failure is one failure that can be brought about.
type Failure struct {
	Name string
	// About says in one line what happens.
	About string
	// Load is the callers' demand as a multiple of the engines' capacity, over
	// Seconds.
	Load, Seconds float64
	// kills: targets die in it. In all others no caller may be told that one did.
	kills bool
	// added are requests besides the usual ones.
	added func() []trace.Line
	// play brings the failure about, in order, while the load runs.
	play func(*play) error
	// judge holds what callers got against what this failure must leave whole.
	judge func(*play)
}

// All lists the failures in the order in which they are played.
func All() []Failure {
	return []Failure{
		entryKilled(), entryPaused(), entryReplaced(), plannedStop(),
		targetDies(), targetLeaving(), logDown(), twoOperators(),
		sameID(), poison(),
	}
}

// Find returns the failure of a name.
func Find(name string) (Failure, error) {
	for _, f := range All() {
		if f.Name == name {
			return f, nil
		}
	}
	return Failure{}, fmt.Errorf("%w: %q", ErrUnknown, name)
}

// seed of every failure's load.
const seed = 1

// Run brings a failure about on a deployment and returns what became of it. An
// error means that the failure could not be played; a failure that the product
// did not stand is in the result.
func Run(ctx context.Context, s *Stage, f Failure) (*Result, error) {
	t, err := f.trace(s)
	if err != nil {
		return nil, err
	}
	p := newPlay(ctx, s, &f, t)
	if err := p.run(); err != nil {
		return nil, fmt.Errorf("%s: %w", f.Name, err)
	}
	p.judge()
	return p.result, nil
}

// trace is the usual traffic of the deployment with the failure's own requests.
func (f *Failure) trace(s *Stage) (*trace.Trace, error) {
	t, err := trace.Generate(s.document, trace.Options{
		Deployment: trace.Tanglaw, Scenario: trace.Usual, Seed: seed, Load: f.Load, Seconds: f.Seconds,
	})
	if err != nil {
		return nil, err
	}
	if f.added != nil {
		t.Lines = mixed(t.Lines, f.added())
	}
	return t, nil
}

// mixed puts lines among others by time. Resend.Of counts within each list.
func mixed(lines, added []trace.Line) []trace.Line {
	all := slices.Clone(lines)
	for _, l := range added {
		if l.Resend != nil {
			again := *l.Resend
			again.Of += len(lines)
			l.Resend = &again
		}
		all = append(all, l)
	}
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(all[a].AtMS, all[b].AtMS) })
	place := make([]int, len(all))
	for to, from := range order {
		place[from] = to
	}
	sorted := make([]trace.Line, len(all))
	for to, from := range order {
		sorted[to] = all[from]
		if again := sorted[to].Resend; again != nil {
			moved := *again
			moved.Of = place[again.Of]
			sorted[to].Resend = &moved
		}
	}
	return sorted
}

// options of a live replay on the stage.
func (s *Stage) options(t *trace.Trace) live.Options {
	options := live.Options{
		Trace: t, Document: s.document, Tokens: s.tokens,
		Callers: live.DefaultCallers, Concurrency: live.DefaultConcurrency,
		WaitLimit: live.DefaultWaitLimit, GiveUp: live.DefaultGiveUp, Tolerance: live.DefaultTolerance,
	}
	for i := range s.entries {
		options.Entries = append(options.Entries, s.entries[i].callers)
	}
	return options
}

// joined adds the calls of another replay, its times moved to those of the first.
func joined(in *report.Input, other report.Input) {
	shift := other.Start.Sub(in.Start)
	for _, c := range other.Calls {
		c.Line = addedLine
		c.Sent += shift
		c.Ended += shift
		if c.First > 0 {
			c.First += shift
		}
		in.Calls = append(in.Calls, c)
	}
}

// addedLine stands for the trace's line of a call that is not of the trace.
const addedLine = -1

// Milliseconds forms the JSON of a duration.
func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
