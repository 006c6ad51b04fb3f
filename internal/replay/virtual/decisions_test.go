package virtual

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/replay/trace"
)

// recorder is a real core that records its inputs, so that they can be replayed
// to the core alone and timed with the real clock.
type recorder struct {
	cfg    entry.Config
	begun  time.Time
	core   *entry.Entry
	inputs []recorded
	tally  decisions
}

type recorded struct {
	at time.Time
	in entry.Input
}

// decisions counts the decisions of a core on requests: dispatches and refusals.
type decisions struct{ dispatched, refused int }

func (d *decisions) count(outputs []entry.Output) {
	for _, out := range outputs {
		switch o := out.(type) {
		case entry.Dispatch:
			d.dispatched++
		case entry.Settle:
			if o.Status.Outcome == outcome.NotRun {
				d.refused++
			}
		}
	}
}

func (r *recorder) Step(now time.Time, in entry.Input) []entry.Output {
	r.inputs = append(r.inputs, recorded{now, in})
	outputs := r.core.Step(now, in)
	r.tally.count(outputs)
	return outputs
}

// again replays the inputs to a new core and returns its decisions.
func (r *recorder) again() decisions {
	core := entry.New(r.cfg, r.begun)
	var made decisions
	for i := range r.inputs {
		made.count(core.Step(r.inputs[i].at, r.inputs[i].in))
	}
	return made
}

// BenchmarkDecisions measures the cores alone, on one processor, with the inputs
// of a virtual replay of 20 s with 6 entries. It reports the real time and the
// allocations of all steps (offers, grants, heartbeats, ticks, reports) per
// decision.
func BenchmarkDecisions(b *testing.B) {
	for _, deployment := range []trace.Deployment{trace.Tanglaw, trace.Quebracho} {
		for _, load := range []float64{1, 2, 4} {
			for _, policy := range []entry.Policy{entry.PolicyScheduler, entry.PolicyShares, entry.PolicyIndependent} {
				b.Run(fmt.Sprintf("%s/load=%g/%s", deployment, load, policy), func(b *testing.B) {
					measure(b, recordReplay(b, deployment, load, policy))
				})
			}
		}
	}
}

func recordReplay(b *testing.B, deployment trace.Deployment, load float64, policy entry.Policy) []*recorder {
	data, err := os.ReadFile("../../../examples/" + string(deployment) + ".json")
	if err != nil {
		b.Fatal(err)
	}
	doc := &document.Document{}
	if err := json.Unmarshal(data, doc); err != nil {
		b.Fatal(err)
	}
	t, err := trace.Generate(doc, trace.Options{Deployment: deployment, Seed: 1, Load: load, Seconds: 20, Scenario: trace.Typical})
	if err != nil {
		b.Fatal(err)
	}
	var cores []*recorder
	_, err = Run(Options{
		Trace: t, Document: doc, Policy: policy, Entries: 6, Seed: 1, ReportAge: time.Second,
		NewCore: func(cfg entry.Config, now time.Time) Core {
			r := &recorder{cfg: cfg, begun: now, core: entry.New(cfg, now)}
			cores = append(cores, r)
			return r
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	return cores
}

func measure(b *testing.B, cores []*recorder) {
	made, steps := decisions{}, 0
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for range b.N {
		for _, r := range cores {
			again := r.again()
			if again != r.tally {
				b.Fatalf("decided %v, at first %v", again, r.tally)
			}
			made.dispatched += again.dispatched
			made.refused += again.refused
			steps += len(r.inputs)
		}
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	all := float64(made.dispatched + made.refused)
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(all/seconds, "decisions/s")
	b.ReportMetric(1e6*seconds/all, "µs/decision")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/all, "allocs/decision")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/all, "B/decision")
	b.ReportMetric(1e6*seconds/float64(steps), "µs/step")
	b.ReportMetric(float64(made.refused)/all, "refused-share")
}
