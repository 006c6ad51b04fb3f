package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sycamoretrail/internal/core/dispatch"
)

// Simulated overload of one cell: several entries share engines of three speeds, callers send
// streams of three ranks and return once after a refusal.

const (
	waveEntries = 6
	waveTargets = 9
	waveSlots   = 4
	// waveReportDelay is the age of reports when they reach the other entries.
	waveReportDelay = 5 * time.Millisecond
)

// waveKind is a kind of stream: share is its part of the engines' time at a load of 1.
type waveKind struct {
	rank                 int
	share, prompt        float64
	minEvents, maxEvents int
	objective, timeout   time.Duration
}

var waveKinds = []waveKind{
	{rank: 0, share: 0.32, prompt: 3720, minEvents: 20, maxEvents: 30, objective: time.Second, timeout: 12 * time.Second},
	{rank: 1, share: 0.23, prompt: 2890, minEvents: 9, maxEvents: 13, objective: 500 * time.Millisecond, timeout: 5 * time.Second},
	{rank: 2, share: 0.45, prompt: 1110, minEvents: 29, maxEvents: 43, objective: 800 * time.Millisecond, timeout: 8 * time.Second},
}

// waveMSPerEvent and waveTokensPerMS are those of an engine of speed 1.
const (
	waveMSPerEvent  = 15.0
	waveTokensPerMS = 48.0
	wavePromptSigma = 1.1
)

func waveFirst(prompt int) float64 { return 14 + float64(prompt)/waveTokensPerMS }

// waveRequest is a caller's request with its attempts.
type waveRequest struct {
	kind            waveKind
	prompt, events  int
	arrived         time.Time
	attempts        []*waveAttempt
	first, finished time.Time
}

type waveAttempt struct {
	request          *waveRequest
	entry            *waveEntry
	ticket           *dispatch.Ticket
	arrived, granted time.Time
	refused          time.Time
	refusal          dispatch.Refusal
}

type waveEntry struct {
	name     string
	sched    *dispatch.Scheduler
	attempts map[*dispatch.Ticket]*waveAttempt
	changes  []waveChange
	dirty    bool
}

type waveChange struct {
	at     time.Duration
	closed int
}

type waveEngine struct {
	factor  float64
	running int
	queue   []*waveAttempt
}

type risingLoad struct {
	now     time.Time
	pending events
	// arrivals draws the load, random the rest, so that the load does not depend on decisions.
	arrivals, random *rand.Rand
	engines          map[string]*waveEngine
	entries          []*waveEntry
	all              []*waveRequest
	// capacity is the work a second of all engines, in seconds of an engine of speed 1.
	capacity float64
	returns  bool
	perKind  []float64
}

func newWave(seed uint64, admission, returns bool) *risingLoad {
	w := &risingLoad{now: start, arrivals: rand.New(rand.NewPCG(seed, 5)), random: rand.New(rand.NewPCG(seed, 6)), engines: make(map[string]*waveEngine), returns: returns}
	list := targets(waveTargets, waveSlots)
	for i, target := range list {
		factor := []float64{0.68, 0.68, 3}[i%3]
		w.engines[target.ID] = &waveEngine{factor: factor}
		w.capacity += waveSlots / factor
	}
	for i := range waveEntries {
		e := &waveEntry{name: fmt.Sprintf("e-%d", i), attempts: make(map[*dispatch.Ticket]*waveAttempt)}
		e.sched = dispatch.New(dispatch.Config{Name: e.name, Zone: "a", Admission: admission})
		e.sched.SetTargets(start, list)
		e.sched.SetEntries(waveEntries)
		w.entries = append(w.entries, e)
	}
	for _, k := range waveKinds {
		work := waveFirst(int(k.prompt)) + waveMSPerEvent*float64(k.minEvents+k.maxEvents)/2
		w.perKind = append(w.perKind, k.share*w.capacity/(work/1000))
	}
	return w
}

func (w *risingLoad) after(pause time.Duration, do func()) {
	heap.Push(&w.pending, event{w.now.Add(pause), do})
}

func (w *risingLoad) at() time.Duration { return w.now.Sub(start) }

// run offers a load, as a multiple of the capacity, for a time.
func (w *risingLoad) run(length time.Duration, load func(time.Duration) float64) {
	for i := range waveKinds {
		w.offer(i, length, load)
	}
	w.tick(length + 15*time.Second)
	for w.pending.Len() > 0 {
		next := heap.Pop(&w.pending).(event)
		w.now = next.at
		next.do()
	}
}

func (w *risingLoad) offer(kind int, length time.Duration, load func(time.Duration) float64) {
	if w.at() >= length {
		return
	}
	pause := w.arrivals.ExpFloat64() / (w.perKind[kind] * load(w.at()))
	w.after(time.Duration(pause*float64(time.Second)), func() {
		k := waveKinds[kind]
		prompt := 1 + int(min(40000, k.prompt*math.Exp(wavePromptSigma*w.arrivals.NormFloat64()-wavePromptSigma*wavePromptSigma/2)))
		r := &waveRequest{kind: k, prompt: prompt, events: k.minEvents + w.arrivals.IntN(k.maxEvents-k.minEvents+1), arrived: w.now}
		w.all = append(w.all, r)
		w.send(r)
		w.offer(kind, length, load)
	})
}

func (w *risingLoad) send(r *waveRequest) {
	e := w.entries[w.random.IntN(len(w.entries))]
	a := &waveAttempt{request: r, entry: e, arrived: w.now}
	r.attempts = append(r.attempts, a)
	ask := dispatch.Request{
		ID: fmt.Sprint(len(w.all), len(r.attempts)), Service: service, Class: fmt.Sprint(r.kind.rank), Rank: r.kind.rank, Arrived: w.now,
		Objective: w.now.Add(r.kind.objective), BeginBy: w.now.Add(max(2*time.Second, 4*r.kind.objective, 4*time.Second)), Expires: r.arrived.Add(r.kind.timeout),
		Gap: 500 * time.Millisecond, Work: dispatch.Work{Prompt: r.prompt, Output: r.events}, Waited: w.now.Sub(r.arrived),
	}
	ticket, effects := e.sched.Submit(w.now, ask)
	a.ticket = ticket
	e.attempts[ticket] = a
	w.apply(e, effects)
}

func (w *risingLoad) apply(e *waveEntry, effects dispatch.Effects) {
	for _, c := range e.sched.LevelChanges() {
		e.changes = append(e.changes, waveChange{w.at(), c.Closed})
	}
	for _, refusal := range effects.Refusals {
		a := e.attempts[refusal.Ticket]
		delete(e.attempts, refusal.Ticket)
		a.refused, a.refusal = w.now, refusal
		w.comeBack(a)
	}
	for _, grant := range effects.Grants {
		a := e.attempts[grant.Ticket]
		a.granted = w.now
		at := w.engines[grant.Target.ID]
		at.queue = append(at.queue, a)
		w.start(at)
	}
	w.reportSoon(e)
}

// comeBack lets a refused caller return once. It waits as long as it was told, but at most a
// third of the time that it has left.
func (w *risingLoad) comeBack(a *waveAttempt) {
	r := a.request
	if !w.returns || len(r.attempts) > 1 {
		return
	}
	left := r.arrived.Add(r.kind.timeout).Sub(w.now)
	pause := a.refusal.RetryAfter
	if !a.refusal.Admission.Scheduled {
		pause = pause/2 + time.Duration(w.random.Float64()*float64(pause))
	}
	w.after(min(left/3, pause), func() { w.send(r) })
}

// reportSoon sends an entry's load to the others; changes within the delay share a report.
func (w *risingLoad) reportSoon(e *waveEntry) {
	if e.dirty {
		return
	}
	e.dirty = true
	w.after(waveReportDelay, func() { w.report(e) })
}

func (w *risingLoad) report(e *waveEntry) {
	e.dirty = false
	load := e.sched.OwnLoad(w.now)
	for _, other := range w.entries {
		if other != e {
			w.apply2(other, other.sched.SetPeerLoad(w.now, e.name, load))
		}
	}
}

// apply2 applies the effects of a report; those without any cause no further report.
func (w *risingLoad) apply2(e *waveEntry, effects dispatch.Effects) {
	if len(effects.Grants)+len(effects.Refusals) > 0 {
		w.apply(e, effects)
	}
}

func (w *risingLoad) tick(until time.Duration) {
	for _, e := range w.entries {
		w.apply2(e, e.sched.Tick(w.now))
	}
	if w.at() < until {
		w.after(10*time.Millisecond, func() { w.tick(until) })
	}
}

func (w *risingLoad) start(at *waveEngine) {
	for at.running < waveSlots && len(at.queue) > 0 {
		a := at.queue[0]
		at.queue = at.queue[1:]
		at.running++
		r := a.request
		first := time.Duration(at.factor * waveFirst(r.prompt) * float64(time.Millisecond))
		rest := time.Duration(at.factor * waveMSPerEvent * float64(r.events) * float64(time.Millisecond))
		w.after(first, func() {
			r.first = w.now
			a.entry.sched.ObserveFirstEvent(w.now, a.ticket)
		})
		w.after(first+rest, func() {
			r.finished = w.now
			at.running--
			w.start(at)
			w.apply(a.entry, a.entry.sched.Done(w.now, a.ticket, dispatch.Report{
				Outcome: dispatch.Answered, First: first, Rest: rest, Latency: rest / time.Duration(r.events), LongestPause: rest / time.Duration(r.events),
			}))
		})
	}
}

// last returns the last attempt of a request.
func (r *waveRequest) last() *waveAttempt { return r.attempts[len(r.attempts)-1] }

func (r *waveRequest) served() bool { return !r.finished.IsZero() }

// inTime reports whether the answer began within the objective of the attempt, and in time.
func (r *waveRequest) inTime() bool {
	return r.served() && r.first.Sub(r.last().arrived) <= r.kind.objective && r.finished.Sub(r.arrived) <= r.kind.timeout
}

// share returns the part of the requests of a rank that arrived in a period for which a
// condition holds; a negative rank means all.
func (w *risingLoad) share(rank int, from, until time.Duration, holds func(*waveRequest) bool) float64 {
	in, all := 0, 0
	for _, r := range w.all {
		if at := r.arrived.Sub(start); rank >= 0 && r.kind.rank != rank || at < from || at >= until {
			continue
		}
		all++
		if holds(r) {
			in++
		}
	}
	return float64(in) / float64(max(1, all))
}

// crest returns a load that rises to a height for four seconds.
func crest(height float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= crestFrom && at < crestUntil {
			return height
		}
		return quietLoad
	}
}

const (
	crestFrom  = 10 * time.Second
	crestUntil = 14 * time.Second
	quietLoad  = 0.7
)
