package entry

import (
	"fmt"
	"slices"
	"time"

	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
	"sycamoretrail/internal/replay/report"
)

// target is a fake back end. Its ledger lists all runs, for checking the
// promises.
type target struct {
	world      *world
	name, pool string
	up         bool
	// leaving is true once the target leaves. declares is true if its readiness
	// answer reports that and it refuses requests; otherwise only the list
	// shows it.
	leaving, declares bool
	// leavingSince is when its readiness answer or the list first showed that
	// it leaves.
	leavingSince time.Time
	runs         map[ident.RequestID]*targetRun
	ledger       []*report.Run
}

type targetRun struct {
	target      *target
	owner       *node
	call        *call
	ledgerEntry *report.Run
	ended       bool
	complete    bool
	followers   []*edge
}

func (w *world) target(name string) *target {
	at := slices.IndexFunc(w.targets, func(t *target) bool { return t.name == name })
	return w.targets[at]
}

// receive handles a Dispatch, which arrives at the target a little later.
func (t *target) receive(n *node, o Dispatch) {
	w := t.world
	at := slices.IndexFunc(w.calls, func(c *call) bool { return c.id == o.ID })
	r := &targetRun{target: t, owner: n, call: w.calls[at]}
	n.edge(o.ID).run = r
	w.after(w.randomBelow(3*time.Millisecond), func() { n.deliver(func() { t.arrive(n, o, r) }) })
}

func (t *target) arrive(n *node, o Dispatch, r *targetRun) {
	w := t.world
	result := message.ResultNotAdmitted
	if t.leaving && t.declares {
		result = message.ResultLeaving
	}
	if !t.up || t.leaving && t.declares || w.now.After(o.NotAfter) {
		r.ended = true
		w.after(time.Millisecond, func() { n.input(RunEnded{ID: o.ID, Result: result}) })
		return
	}
	if t.leaving && w.now.Sub(later(t.leavingSince, w.lastResume)) > leavingBound {
		w.reportViolation("leaving", "%s got %s, and started to leave at %s", t.name, o.ID, t.leavingSince.Sub(w.start))
	}
	r.ledgerEntry = &report.Run{Target: t.name, Pool: t.pool, ID: string(o.ID), Key: r.call.seen.Key, Began: w.since()}
	t.ledger = append(t.ledger, r.ledgerEntry)
	t.runs[o.ID] = r
	w.after(2*time.Millisecond, func() { n.input(RunStarted{ID: o.ID}) })
	w.after(20*time.Millisecond, func() { n.input(RunProgress{ID: o.ID, Tokens: 1}) })
	if r.call.crashing {
		w.after(30*time.Millisecond, func() { t.crash(300 * time.Millisecond) })
	}
	w.after(r.call.length, func() { t.end(r, message.ResultComplete) })
	w.after(o.Deadline.Sub(w.now), func() { t.end(r, message.ResultCancelled) })
}

// end ends a run and notifies its owner and its followers. A run of a service
// cannot be cancelled.
func (t *target) end(r *targetRun, result message.Result) {
	w := t.world
	if r.ended || r.ledgerEntry == nil || result == message.ResultCancelled && t.pool == "desk" {
		return
	}
	r.ended, r.complete = true, result == message.ResultComplete
	r.ledgerEntry.Ended, r.ledgerEntry.Complete = w.since(), r.complete
	if r.complete {
		for _, e := range r.followers {
			e.end(outcome.Complete())
		}
	} else {
		for _, e := range r.followers {
			e.end(outcome.Partial(outcome.ReasonTargetFailed, ""))
		}
	}
	n, id := r.owner, r.call.id
	if n == nil {
		return
	}
	w.after(w.randomBelow(3*time.Millisecond), func() {
		n.deliver(func() {
			if r.complete && r.owner != nil {
				e := n.edge(id)
				e.open = 0
				e.end(outcome.Complete())
			}
			n.input(RunEnded{ID: id, Result: result, Wrote: true, Sample: r.sample()})
		})
	})
}

// sample returns the measurements of the run. Engines make a token every 10 ms.
func (r *targetRun) sample() message.Sample {
	if r.target.pool == "desk" {
		return message.Sample{FirstToken: r.call.length}
	}
	return message.Sample{PromptTokens: promptTokens, FirstToken: stepTime, Tokens: r.call.tokens(), StepTime: stepTime}
}

// attached follows a run for a caller of another entry.
func (t *target) attached(id ident.RequestID, e *edge) {
	r := t.runs[id]
	switch {
	case r == nil || r.ended && !r.complete || !t.up:
		e.end(statusLost)
	case r.ended:
		e.end(outcome.Complete())
	default:
		r.followers = append(r.followers, e)
	}
}

func (t *target) crash(outage time.Duration) {
	if !t.up {
		return
	}
	t.up = false
	for _, r := range t.inOrder() {
		t.end(r, message.ResultAborted)
	}
	t.runs = map[ident.RequestID]*targetRun{}
	t.world.after(outage, func() { t.up = true })
}

func (t *target) inOrder() []*targetRun {
	var list []*targetRun
	for _, entered := range t.ledger {
		if r := t.runs[ident.RequestID(entered.ID)]; r != nil && !r.ended {
			list = append(list, r)
		}
	}
	return list
}

// call is one caller's request, which is resent until it has a final status.
type call struct {
	world    *world
	id       ident.RequestID
	length   time.Duration
	crashing bool
	// prefixOnly: the request shares only the beginning of its prompt with others.
	prefixOnly bool
	entryIndex int
	at         *node
	seen       report.Call
}

// The cost of a request at an engine, as declared in the document's class.
const (
	promptTokens = 40
	stepTime     = 10 * time.Millisecond
)

func (c *call) tokens() int { return int(c.length / stepTime) }

// sharedPrefix, as the last number of a crashingCall or an engineCall, gives the request a body of its own whose
// prompt begins as those of the others do.
const sharedPrefix = 1000

// newCall forms the id with the prefix of an entry, as callers do. If that
// entry has no view, it uses the next entry's prefix.
func (w *world) newCall(s step) *call {
	c := &call{world: w, length: time.Duration(20+s.c*60) * time.Millisecond, crashing: s.kind == crashingCall, entryIndex: s.b}
	c.prefixOnly = s.d == sharedPrefix
	if c.crashing {
		c.length = 200 * time.Millisecond // the target crashes first
	}
	tier := s.c % 3
	c.seen = report.Call{
		Line: len(w.calls), Organisation: []string{"a", "b"}[s.a%2], Tier: request.Tier(tier), Pool: "engines",
		Idempotent: s.d%4 != 3, Sent: w.since(), Deadline: []time.Duration{900, 1200, 1500}[tier] * time.Millisecond,
	}
	if s.kind == serviceCall || s.kind == keyedCall {
		c.seen.Kind, c.seen.Pool, c.seen.Idempotent = request.Service, "desk", false
	}
	if s.kind == keyedCall {
		c.seen.Key, c.seen.Organisation = fmt.Sprint("key-", s.d%3), "a"
	}
	for i := range w.nodes {
		if v := w.nodes[(s.a+i)%entries].view; v != nil {
			c.id = v.Prefix.ID(fmt.Sprint("c", len(w.calls)))
			break
		}
	}
	c.seen.ID = string(c.id)
	w.calls = append(w.calls, c)
	return c
}

// resend sends the same id from another caller, which waits as well.
func (w *world) resend(of *call, index int) {
	c := *of
	c.entryIndex = index
	c.seen = report.Call{
		Line: len(w.calls), ID: of.seen.ID, Key: of.seen.Key, Organisation: of.seen.Organisation, Tier: of.seen.Tier,
		Pool: of.seen.Pool, Kind: of.seen.Kind, Idempotent: of.seen.Idempotent, Sent: w.since(), Deadline: of.seen.Deadline,
	}
	w.calls = append(w.calls, &c)
	c.send()
}

func (c *call) sendToNextEntry() {
	if !c.seen.Settled {
		c.entryIndex++
		c.send()
	}
}

// send sends the request to the entry at entryIndex, and to the next one if
// that entry does not answer.
func (c *call) send() {
	w := c.world
	n := w.nodes[c.entryIndex%entries]
	c.at = n
	index, sent := c.entryIndex, w.now
	w.after(c.seen.Deadline+callerWait, func() {
		if c.entryIndex == index && !c.seen.Settled {
			if c.at == n && n.up && !n.paused && n.resumedAt.Before(sent) {
				w.reportViolation("final outcome", "%s did not settle %s", n.self.Name, c.id)
			}
			c.leave()
			c.sendToNextEntry()
		}
	})
	if !n.up || n.closing || n.view == nil || n.view.State == message.Starting {
		w.after(20*time.Millisecond, func() {
			if c.entryIndex == index {
				c.sendToNextEntry()
			}
		})
		return
	}
	arrived := w.now
	n.deliver(func() {
		if c.at != n || c.seen.Settled {
			return
		}
		if w.random.IntN(2) == 0 {
			arrived = w.now // it was queued in the kernel, not in the process
		}
		e := n.edge(c.id)
		if e.open == 0 && e.status != nil && e.status.Outcome != outcome.Answered {
			e.status = nil // the core settles the resent id again
		}
		e.open++
		e.waiters = append(e.waiters, c)
		n.input(Submit{Request: c.request(arrived)})
	})
}

func (c *call) request(arrived time.Time) request.Request {
	r := request.Request{
		ID: c.id, Organisation: c.seen.Organisation, Tier: c.seen.Tier, Kind: c.seen.Kind, Pool: c.seen.Pool, Model: "m",
		PromptTokens: promptTokens, MaxTokens: c.tokens(), Idempotent: c.seen.Idempotent, Arrived: arrived, Deadline: arrived.Add(c.seen.Deadline),
		Fingerprint: request.Fingerprint(len(c.id)) + request.Fingerprint(c.seen.Line),
	}
	if c.crashing && !c.prefixOnly {
		r.Fingerprint = 1
	}
	if c.prefixOnly {
		r.Prefixes = []uint64{1}
	}
	if c.seen.Kind == request.Service {
		r.Model, r.PromptTokens, r.MaxTokens = "s", 0, 0
	}
	if c.seen.Key != "" {
		r.Key = request.KeyHash(c.seen.Organisation + "/" + c.seen.Key)
	}
	return r
}

// leave closes the caller's connection.
func (c *call) leave() {
	n := c.at
	n.deliver(func() {
		if e := n.edge(c.id); slices.Contains(e.waiters, c) {
			e.waiters = slices.DeleteFunc(e.waiters, func(other *call) bool { return other == c })
			if len(e.waiters) == 0 {
				n.input(CallerLeft{ID: c.id})
			}
		}
	})
}

func (c *call) settle(status outcome.Status) {
	if c.seen.Settled {
		return
	}
	c.seen.Settled, c.seen.Status, c.seen.Ended = true, status, c.world.since()
}
