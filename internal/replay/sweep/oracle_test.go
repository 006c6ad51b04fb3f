package sweep

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/replay/trace"
	"sycamoretrail/internal/replay/virtual"
	"sycamoretrail/internal/standin/enginemodel"
)

// oracle serves the engine requests of a trace at the engines of a pool without
// delays and with exact sizes and engine states. It serves the requests that the
// bound accepts, the earliest first-token bound first. Its result shows how tight
// the bound is.
type oracle struct {
	engines []*oracleEngine
	// queue holds the waiting requests by tier, then by urgency.
	queue []*oracleRequest
	byID  map[string]*oracleRequest
	now   time.Duration
}

type oracleEngine struct {
	model  *enginemodel.Model
	params enginemodel.Params
	// prefill is the earliest time at which all submitted prompts are computed.
	prefill time.Duration
}

type oracleRequest struct {
	line            *trace.Line
	id              string
	tier            int
	arrives         time.Duration
	firstBy, doneBy time.Duration
	first           time.Duration
	wanted, good    bool
}

// maxPendingPrefill is the maximum pending prefill of an engine that may receive more.
const maxPendingPrefill = 120 * time.Millisecond

var oracleEpoch = time.Unix(0, 0)

// reached returns the number of a trace's requests to a pool of engines that the
// oracle serves in time, by tier.
func reached(doc *document.Document, t *trace.Trace, pool string) []float64 {
	p := newPoolBound(doc, t, nil, pool)
	accepted := p.accepted()
	o := newOracle(doc, pool)
	var requests []*oracleRequest
	for i := range t.Lines {
		line := &t.Lines[i]
		if trace.PoolOf(doc, line) != pool {
			continue
		}
		j := &p.jobs[len(requests)]
		requests = append(requests, &oracleRequest{
			line: line, id: strconv.Itoa(i), tier: j.tier, arrives: j.arrives, wanted: accepted[len(requests)],
			firstBy: j.arrives + j.firstTokenOrWhole(), doneBy: j.arrives + j.whole,
		})
	}
	o.run(requests)
	good := make([]float64, len(doc.Tiers))
	for _, r := range requests {
		if r.good {
			good[r.tier]++
		}
	}
	return good
}

// accepted returns the jobs whose complete work fits before the bound of their first
// token, accepted by tier and then the cheapest first.
func (p *poolBound) accepted() []bool {
	f := newFluid(p.end, p.speed, p.families)
	order := make([]int, len(p.jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.jobs[a].tier, p.jobs[b].tier), cmp.Compare(p.jobs[a].work, p.jobs[b].work))
	})
	accepted := make([]bool, len(p.jobs))
	for _, i := range order {
		j := &p.jobs[i]
		w := job{family: j.family, work: j.work, begin: j.arrives, end: j.arrives + j.firstTokenOrWhole()}
		accepted[i] = f.accept(&w) > 0.5
	}
	return accepted
}

func newOracle(doc *document.Document, pool string) *oracle {
	o := &oracle{byID: map[string]*oracleRequest{}}
	for i := range doc.Targets {
		class := trace.ClassOf(doc, doc.Targets[i].Class)
		if doc.Targets[i].Pool != pool || class.Kind != document.KindEngine {
			continue
		}
		params := virtual.EngineParams(class)
		o.engines = append(o.engines, &oracleEngine{model: enginemodel.New(params), params: params})
	}
	return o
}

func (o *oracle) run(requests []*oracleRequest) {
	for {
		next := time.Duration(math.MaxInt64)
		if len(requests) > 0 {
			next = requests[0].arrives
		}
		for _, e := range o.engines {
			if at, stepping := e.model.Next(); stepping {
				next = min(next, at.Sub(oracleEpoch))
			}
		}
		if next == math.MaxInt64 {
			return
		}
		o.now = next
		for len(requests) > 0 && requests[0].arrives <= o.now {
			if requests[0].wanted {
				o.enqueue(requests[0])
			}
			requests = requests[1:]
		}
		for _, e := range o.engines {
			o.advance(e)
		}
		o.dispatch()
	}
}

func (o *oracle) enqueue(r *oracleRequest) {
	place, _ := slices.BinarySearchFunc(o.queue, r, func(a, b *oracleRequest) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.firstBy, b.firstBy))
	})
	o.queue = slices.Insert(o.queue, place, r)
	o.byID[r.id] = r
}

func (o *oracle) advance(e *oracleEngine) {
	for _, event := range e.model.Advance(oracleEpoch.Add(o.now)) {
		r := o.byID[event.ID]
		switch {
		case event.Kind == enginemodel.Token && event.Index == 0:
			r.first = event.At.Sub(oracleEpoch)
		case event.Kind == enginemodel.Finished:
			r.good = r.first <= r.firstBy && event.At.Sub(oracleEpoch) <= r.doneBy
		}
	}
}

// dispatch submits each waiting request to the engine with the earliest first token,
// among those with a free slot and at most maxPendingPrefill queued.
func (o *oracle) dispatch() {
	for place := 0; place < len(o.queue); {
		r := o.queue[place]
		best, at := o.soonest(r)
		if best == nil {
			place++
			continue
		}
		o.queue = slices.Delete(o.queue, place, place+1)
		if at > r.firstBy {
			continue
		}
		best.prefill = at
		err := best.model.Submit(oracleEpoch.Add(o.now), enginemodel.Job{
			ID: r.id, PromptTokens: r.line.PromptTokens, MaxTokens: r.line.MaxTokens, ImportedPromptTokens: sharedTokens(r.line),
		})
		if err != nil {
			panic(err)
		}
	}
}

func (o *oracle) soonest(r *oracleRequest) (best *oracleEngine, at time.Duration) {
	at = math.MaxInt64
	for _, e := range o.engines {
		load := e.model.Load()
		if load.Running+load.Waiting >= e.params.MaxBatch || e.prefill > o.now+maxPendingPrefill {
			continue
		}
		if first := e.firstAt(r, o.now); first < at {
			best, at = e, first
		}
	}
	return best, at
}

// firstAt estimates the time of the first token.
func (e *oracleEngine) firstAt(r *oracleRequest, now time.Duration) time.Duration {
	at := now
	if next, stepping := e.model.Next(); stepping {
		at = next.Sub(oracleEpoch)
	}
	missing := float64(r.line.PromptTokens - sharedTokens(r.line))
	return max(at, e.prefill) + time.Duration(missing/e.params.PrefillRate*float64(time.Second)) + e.params.StepBase
}

// BenchmarkOracle reports the share of the bound that the oracle reaches, in the top
// tier and in total.
func BenchmarkOracle(b *testing.B) {
	for _, deployment := range []trace.Deployment{trace.Tanglaw, trace.Quebracho} {
		data, err := os.ReadFile("../../../examples/" + string(deployment) + ".json")
		if err != nil {
			b.Fatal(err)
		}
		doc := &document.Document{}
		if err := json.Unmarshal(data, doc); err != nil {
			b.Fatal(err)
		}
		for _, load := range []float64{1, 1.3, 2, 4} {
			b.Run(fmt.Sprintf("%s/load=%g", deployment, load), func(b *testing.B) { measureOracle(b, doc, deployment, load) })
		}
	}
}

func measureOracle(b *testing.B, doc *document.Document, deployment trace.Deployment, load float64) {
	t, err := trace.Generate(doc, trace.Options{Deployment: deployment, Scenario: trace.Typical, Seed: 1, Load: load, Seconds: 60})
	if err != nil {
		b.Fatal(err)
	}
	var good, best []float64
	for range b.N {
		good = reached(doc, t, doc.Pools[0].Name)
		best = newPoolBound(doc, t, nil, doc.Pools[0].Name).inPriority()
	}
	b.ReportMetric(good[0]/best[0], "top/bound")
	b.ReportMetric(sum(good)/sum(best), "all/bound")
}
