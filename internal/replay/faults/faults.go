// Package faults injects failures into running processes on loopback while
// callers send traffic, and checks what these callers receive. It starts no
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
	// ErrStage is wrapped if the deployment is not as scripts/faults.sh starts it.
	ErrStage = errors.New("deployment cannot be used")
	// ErrUnknown is returned for an unknown name of a failure.
	ErrUnknown = errors.New("unknown failure")
)

// Failure is one failure that can be injected.
type Failure struct {
	Name string
	// About describes the failure in one line.
	About string
	// Load is the callers' demand as a multiple of the engines' capacity, over
	// Seconds.
	Load, Seconds float64
	// kills reports whether targets crash in this failure. In all others no caller
	// may receive an outcome with the reason that its target failed.
	kills bool
	// added returns requests in addition to the typical traffic.
	added func() []trace.Line
	// play injects the failure while the load runs.
	play func(*play) error
	// judge checks what callers received against the guarantees in this failure.
	judge func(*play)
}

// All returns the failures in the order in which they are run.
func All() []Failure {
	return []Failure{
		entryKilled(), entryPaused(), entryReplaced(), plannedStop(),
		targetDies(), targetLeaving(), logDown(), twoOperators(),
		sameID(), crashingRequest(),
	}
}

// Find returns the failure with the given name.
func Find(name string) (Failure, error) {
	for _, f := range All() {
		if f.Name == name {
			return f, nil
		}
	}
	return Failure{}, fmt.Errorf("%w: %q", ErrUnknown, name)
}

// seed is the seed of the load, the same for all failures.
const seed = 1

// Run injects a failure into a deployment and returns the result. An error means
// that the failure could not be injected; violated guarantees are in the result.
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

// trace returns the typical traffic of the deployment with the failure's own
// requests.
func (f *Failure) trace(s *Stage) (*trace.Trace, error) {
	t, err := trace.Generate(s.document, trace.Options{
		Deployment: trace.Tanglaw, Scenario: trace.Typical, Seed: seed, Load: f.Load, Seconds: f.Seconds,
	})
	if err != nil {
		return nil, err
	}
	if f.added != nil {
		t.Lines = merge(t.Lines, f.added())
	}
	return t, nil
}

// merge merges two lists of lines by time. Resend.Of is an index into the list of
// its line on input, and into the merged list on output.
func merge(lines, added []trace.Line) []trace.Line {
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

// options returns the options of a live replay on the stage.
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

// addCalls adds the calls of another replay and converts their times to be from the
// start of the first one.
func addCalls(in *report.Input, other report.Input) {
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

// addedLine is the line number of calls that are not in the trace.
const addedLine = -1

// milliseconds converts a duration to the milliseconds used in JSON.
func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
