package virtual

import (
	"fmt"
	"slices"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/replay/report"
	"sycamoretrail/internal/replay/trace"
	"sycamoretrail/internal/standin/enginemodel"
)

// target is a fake target: an engine or a plain service.
type target struct {
	world                     *world
	name, pool, address, zone string
	up, leaving               bool
	straggle                  float64
	// ledger is for evaluation and survives a crash.
	ledger []*report.Run
	held   map[string]*held
	// generation distinguishes events scheduled before a crash from later ones.
	generation int

	engine  *enginemodel.Model
	pumping bool
	loads   []loadReport

	slots        int
	callDuration time.Duration
	busy         int
	waiting      []*held

	model, version string
	adapters       []string
	fencing        int64
	checksFencing  bool
}

// held is a request at a target.
type held struct {
	id        string
	run       *report.Run
	followers []*stream
	tokens    int
	cached    int
	ended     bool
	endedAt   time.Time
}

type loadReport struct {
	at   time.Time
	load enginemodel.Load
}

func newTarget(w *world, declared *document.Target) (*target, error) {
	t := &target{
		world: w, name: declared.Name, pool: declared.Pool, address: declared.Address, zone: declared.Zone,
		up: true, straggle: 1, held: map[string]*held{},
	}
	class := trace.ClassOf(w.options.Document, declared.Class)
	if class == nil {
		return nil, fmt.Errorf("target %q: no class %q", declared.Name, declared.Class)
	}
	t.checksFencing = class.ChecksFencing
	if class.Kind == document.KindEngine {
		t.engine = enginemodel.New(EngineParams(class))
		t.holdDeclaredModel()
		return t, nil
	}
	t.slots = max(class.MaxInFlight, 1)
	t.callDuration = time.Duration(trace.ServiceMS(class) * float64(time.Millisecond))
	return t, nil
}

// EngineParams returns the parameters of an engine with the declared speed of a
// class. Half of step_ms at a full batch is the fixed part of a step.
func EngineParams(class *document.Class) enginemodel.Params {
	p := enginemodel.Newer()
	step := time.Duration(class.StepMS * float64(time.Millisecond))
	if class.PrefillRate > 0 {
		p.PrefillRate = class.PrefillRate
	}
	if class.MaxInFlight > 0 {
		p.MaxBatch = class.MaxInFlight
	}
	if step > 0 {
		p.StepBase = step / 2
		p.StepPerSequence = step / 2 / time.Duration(p.MaxBatch)
	}
	return p
}

func (t *target) holdDeclaredModel() {
	for _, m := range t.world.options.Document.Models {
		if m.Pool == t.pool {
			t.model, t.version, t.adapters = m.Name, m.Version, m.Adapters
			return
		}
	}
}

// state returns the result of a probe: the current readiness, and a load report of
// the age of ReportAge.
func (t *target) state() entry.TargetState {
	s := entry.TargetState{
		Target: t.name, Reachable: t.up, Leaving: t.leaving,
		Model: t.model, Version: t.version, Adapters: slices.Clone(t.adapters),
	}
	if t.engine == nil {
		return s
	}
	t.loads = append(t.loads, loadReport{t.world.now, t.engine.Load()})
	visible := t.world.now.Add(-t.world.options.ReportAge)
	for len(t.loads) > 1 && !t.loads[1].at.After(visible) {
		t.loads = t.loads[1:]
	}
	if seen := t.loads[0]; !seen.at.After(visible) {
		s.Running, s.Waiting = seen.load.Running, seen.load.Waiting
	}
	return s
}

// order makes the target load a model, unless it has received a newer order.
func (t *target) order(o entry.Order) entry.OrderDone {
	if t.checksFencing && o.Fencing < t.fencing {
		return entry.OrderDone{Target: t.name, Refused: true}
	}
	t.fencing = max(t.fencing, o.Fencing)
	t.model, t.version, t.adapters = o.Model, o.Version, o.Adapters
	return entry.OrderDone{Target: t.name}
}

// reply runs do at the entry of a stream after the delay of the link.
func (t *target) reply(s *stream, do func()) {
	t.world.after(targetDelay, func() { s.host.deliver(do) })
}

// submit handles a request of a stream.
func (t *target) submit(s *stream, r *request.Request, crashes bool) {
	run := &report.Run{
		Target: t.name, Pool: t.pool, ID: string(r.ID), Key: string(r.Key),
		Began: t.world.sinceStart(), PromptTokens: r.PromptTokens,
	}
	if known := t.held[run.ID]; t.up && known != nil && !known.ended {
		// This is a second dispatch while the first one runs; the ledger records it.
		run.Ended = run.Began
		t.ledger = append(t.ledger, run)
		t.reply(s, func() { s.end(message.ResultAborted, true) })
		return
	}
	result, admitted := t.admit(r)
	if !admitted {
		t.reply(s, func() { s.end(result, false) })
		return
	}
	t.ledger = append(t.ledger, run)
	h := &held{id: run.ID, run: run, followers: []*stream{s}}
	t.held[run.ID] = h
	t.reply(s, s.started)
	if crashes {
		t.world.after(crashDelay, func() { t.crash(crashOutage) })
	}
	if t.engine != nil {
		t.pump()
		return
	}
	t.waiting = append(t.waiting, h)
	t.serve()
}

// admit reports whether the target accepts a request, and submits it to an engine.
func (t *target) admit(r *request.Request) (message.Result, bool) {
	if !t.up {
		return message.ResultNotAdmitted, false
	}
	if t.leaving {
		return message.ResultLeaving, false
	}
	if t.engine == nil {
		return 0, true
	}
	t.advance()
	err := t.engine.Submit(t.world.now, enginemodel.Job{
		ID: string(r.ID), PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Prefixes: r.Prefixes,
	})
	return message.ResultNotAdmitted, err == nil
}

// pump schedules the end of the current step of the engine.
func (t *target) pump() {
	next, running := t.engine.Next()
	if t.pumping || !running {
		return
	}
	t.pumping = true
	generation := t.generation
	t.world.at(next, func() {
		if generation != t.generation {
			return
		}
		t.pumping = false
		t.advance()
		t.pump()
	})
}

func (t *target) advance() {
	for _, e := range t.engine.Advance(t.world.now) {
		h := t.held[e.ID]
		if h == nil {
			continue
		}
		switch e.Kind {
		case enginemodel.Token:
			h.addToken(t, e)
		case enginemodel.Finished:
			h.run.Complete = true
			h.recordUsage(e.Usage)
			t.finish(h, message.ResultComplete)
		}
	}
}

func (h *held) addToken(t *target, e enginemodel.Event) {
	if e.Index == 0 {
		h.cached = e.Cached
	}
	h.tokens = e.Index + 1
	for _, s := range h.followers {
		t.reply(s, func() { s.token(e.Index, h.cached) })
	}
}

func (h *held) recordUsage(u enginemodel.Usage) {
	h.run.CachedTokens, h.run.ComputedPromptTokens, h.run.Tokens = u.Cached, u.ComputedPrompt, u.Tokens
}

// finish closes the run in the ledger and notifies its followers.
func (t *target) finish(h *held, result message.Result) {
	h.ended, h.endedAt = true, t.world.now
	h.run.Ended = t.world.sinceStart()
	for _, s := range h.followers {
		t.reply(s, func() { s.end(result, true) })
	}
	h.followers = nil
}

// serve starts waiting calls of a plain service while there are free slots.
func (t *target) serve() {
	for t.busy < t.slots && len(t.waiting) > 0 {
		h := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.busy++
		generation := t.generation
		t.world.after(time.Duration(float64(t.callDuration)*t.straggle), func() {
			if generation != t.generation {
				return
			}
			t.busy--
			h.run.Complete = true
			t.finish(h, message.ResultComplete)
			t.serve()
		})
	}
}

// cancel ends a stream of an engine. A plain call cannot be cancelled: it
// continues without its caller.
func (t *target) cancel(s *stream) {
	h := t.held[string(s.flight.id)]
	if !t.up || h == nil || h.ended {
		return
	}
	if t.engine == nil {
		h.followers = slices.DeleteFunc(h.followers, func(other *stream) bool { return other == s })
		t.reply(s, func() { s.end(message.ResultCancelled, true) })
		return
	}
	t.advance()
	if usage, running := t.engine.Cancel(t.world.now, h.id); running {
		h.run.Cancelled = true
		h.recordUsage(usage)
		t.finish(h, message.ResultCancelled)
	}
}

// attach sends a stream again from the first token that its reader lacks.
func (t *target) attach(s *stream, id string) {
	h := t.held[id]
	expired := h != nil && h.ended && t.world.now.Sub(h.endedAt) > streamHeld
	if !t.up || h == nil || expired || h.ended && !h.run.Complete {
		t.reply(s, s.lost)
		return
	}
	t.reply(s, s.started)
	for index := s.tokens; index < h.tokens; index++ {
		t.reply(s, func() { s.token(index, h.cached) })
	}
	if h.ended {
		t.reply(s, func() { s.end(message.ResultComplete, true) })
		return
	}
	h.followers = append(h.followers, s)
}

// crash discards all running and retained requests and refuses connections for the
// time of the outage.
func (t *target) crash(outage time.Duration) {
	if !t.up {
		return
	}
	t.up = false
	t.generation++
	t.pumping, t.busy, t.waiting = false, 0, nil
	if t.engine != nil {
		for _, lost := range t.engine.Reset() {
			t.held[lost.ID].recordUsage(lost.Usage)
		}
	}
	// The ledger is in the order of the runs, which the map is not.
	for _, run := range t.ledger {
		if h := t.held[run.ID]; h != nil && h.run == run && !h.ended {
			t.finish(h, message.ResultAborted)
		}
	}
	t.held = map[string]*held{}
	t.world.recordList()
	t.world.after(outage, func() {
		t.up = true
		t.world.recordList()
	})
}

func (t *target) setStraggle(factor float64) {
	t.straggle = factor
	if t.engine != nil {
		t.engine.SetStraggle(factor)
	}
}
