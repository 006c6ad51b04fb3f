// Package enginemodel models an engine that batches continuously: no I/O, no
// clock, no goroutine. Time comes in as arguments, events go out, and equal
// calls give equal events. The live stand-in and the virtual replay share it.
//
// A step serves all running sequences: those whose prompt is computed gain one
// token, the others share the prefill chunk in order of arrival. It lasts
//
//	straggle * (StepBase + StepPerSequence*decoding + prefill/PrefillRate)
package enginemodel

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"sycamoretrail/internal/core/request"
)

// Reasons for which Submit takes nothing.
var (
	ErrFull     = errors.New("engine is full")
	ErrLeaving  = errors.New("engine is leaving")
	ErrTooLarge = errors.New("job exceeds the engine's KV capacity")
	ErrRunning  = errors.New("a job of this id is held already")
)

// Job is one stream to generate.
type Job struct {
	ID           string
	PromptTokens int
	MaxTokens    int
	// Prefixes are as in request.Request.
	Prefixes []uint64
	// HeldPrompt are prompt tokens that came with an imported KV cache.
	HeldPrompt int
	// FirstIndex is the token to go on from after such an import.
	FirstIndex int
}

// Usage is what a job has cost, in tokens.
type Usage struct {
	Prompt         int
	Cached         int
	ComputedPrompt int
	Tokens         int
}

// EventKind tells events apart.
type EventKind uint8

const (
	// Token: ID gained the token Index; Cached is set with the first one.
	Token EventKind = iota
	// Finished: ID has all its tokens; Usage is set.
	Finished
	// CacheAdded: the block Hash entered the prefix cache.
	CacheAdded
	// CacheDropped: the block Hash left the prefix cache.
	CacheDropped
)

// Event is one thing that happened at the end of a step.
type Event struct {
	Kind   EventKind
	At     time.Time
	ID     string
	Index  int
	Cached int
	Usage  Usage
	Hash   uint64
}

// Lost is a job that a crash ended.
type Lost struct {
	ID    string
	Usage Usage
}

// Load counts what the engine holds.
type Load struct {
	Running  int
	Waiting  int
	KVTokens int
}

// Model is one engine. It is not safe for concurrent use.
type Model struct {
	params   Params
	straggle float64
	leaving  bool
	waiting  []*sequence
	running  []*sequence
	reserved int // KV tokens that the running may come to hold
	cache    *prefixCache
	stepping bool
	stepEnd  time.Time
}

// New returns an idle engine; the parameters must be valid.
func New(p Params) *Model {
	return &Model{params: p, straggle: 1, cache: newPrefixCache(p.CacheTokens)}
}

// SetStraggle multiplies the time of the steps that start from now on; values
// that are not positive mean 1.
func (m *Model) SetStraggle(factor float64) {
	if factor <= 0 {
		factor = 1
	}
	m.straggle = factor
}

// SetLeaving makes Submit take nothing more; what is held goes on.
func (m *Model) SetLeaving(leaving bool) { m.leaving = leaving }

// Submit queues a job. Call Advance(now) before, so that now is not in the past
// of the engine.
func (m *Model) Submit(now time.Time, job Job) error {
	if m.leaving {
		return ErrLeaving
	}
	if m.held(job.ID) {
		return fmt.Errorf("%w: %s", ErrRunning, job.ID)
	}
	seq := newSequence(now, job)
	if seq.reservation() > m.params.KVTokens {
		return fmt.Errorf("%w: %d tokens", ErrTooLarge, seq.reservation())
	}
	if len(m.running)+len(m.waiting) >= m.params.MaxBatch+m.params.MaxWaiting {
		return ErrFull
	}
	m.waiting = append(m.waiting, seq)
	if !m.stepping {
		m.begin(now)
	}
	return nil
}

// Cancel ends a job and tells what it has cost; false when it is not held. The
// step that is under way keeps its length, and its prefill counts as computed.
func (m *Model) Cancel(_ time.Time, id string) (Usage, bool) {
	if i := find(m.waiting, id); i >= 0 {
		usage := m.waiting[i].usage()
		m.waiting = slices.Delete(m.waiting, i, i+1)
		return usage, true
	}
	i := find(m.running, id)
	if i < 0 {
		return Usage{}, false
	}
	seq := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	m.reserved -= seq.reservation()
	return seq.usage(), true
}

// Progress tells what a job has cost so far; false when it is not held.
func (m *Model) Progress(id string) (Usage, bool) {
	if i := find(m.running, id); i >= 0 {
		return m.running[i].usage(), true
	}
	if i := find(m.waiting, id); i >= 0 {
		return m.waiting[i].usage(), true
	}
	return Usage{}, false
}

// Next tells when the step under way ends; false when the engine is idle.
func (m *Model) Next() (time.Time, bool) { return m.stepEnd, m.stepping }

// Advance ends every step that is due by now and returns what happened, in order.
func (m *Model) Advance(now time.Time) []Event {
	var events []Event
	for m.stepping && !m.stepEnd.After(now) {
		at := m.stepEnd
		events = m.end(at, events)
		m.begin(at)
	}
	return events
}

// Load counts what is held now.
func (m *Model) Load() Load {
	load := Load{Running: len(m.running), Waiting: len(m.waiting)}
	for _, seq := range m.running {
		load.KVTokens += seq.cached + seq.computed + seq.tokens
	}
	return load
}

// Reset forgets everything, as a crash does, and returns what was lost, oldest
// first. Straggle factor and leaving stay: they belong to the machine.
func (m *Model) Reset() []Lost {
	var lost []Lost
	for _, seq := range append(m.running, m.waiting...) {
		lost = append(lost, Lost{ID: seq.job.ID, Usage: seq.usage()})
	}
	m.waiting, m.running, m.reserved, m.stepping = nil, nil, 0, false
	m.cache = newPrefixCache(m.params.CacheTokens)
	return lost
}

func (m *Model) held(id string) bool {
	return find(m.running, id) >= 0 || find(m.waiting, id) >= 0
}

// begin plans the step that starts at the given time.
func (m *Model) begin(at time.Time) {
	m.stepping = false
	if len(m.running) == 0 && len(m.waiting) > 0 && m.waiting[0].submitted.After(at) {
		at = m.waiting[0].submitted
	}
	m.admit(at)
	if len(m.running) == 0 {
		return
	}
	decoding, prefill := m.plan()
	work := float64(m.params.StepBase) + float64(m.params.StepPerSequence)*float64(decoding)
	work += float64(prefill) / m.params.PrefillRate * float64(time.Second)
	m.stepEnd = at.Add(time.Duration(work * m.straggle))
	m.stepping = true
}

// admit moves waiting jobs into the batch, in order of arrival.
func (m *Model) admit(at time.Time) {
	for len(m.waiting) > 0 && len(m.running) < m.params.MaxBatch {
		seq := m.waiting[0]
		if seq.submitted.After(at) || m.reserved+seq.reservation() > m.params.KVTokens {
			return
		}
		m.waiting = m.waiting[1:]
		m.reserved += seq.reservation()
		seq.blocks = m.cache.match(seq.job.Prefixes)
		seq.reuse(seq.blocks * request.PrefixBlockTokens)
		m.running = append(m.running, seq)
	}
}

// plan gives every sequence its part of the step.
func (m *Model) plan() (decoding, prefill int) {
	budget := m.params.PrefillChunk
	for _, seq := range m.running {
		missing := seq.missing()
		seq.chunk = min(missing, budget)
		budget -= seq.chunk
		prefill += seq.chunk
		seq.yields = seq.chunk == missing
		if missing == 0 {
			decoding++
		}
	}
	return decoding, prefill
}

// end applies the step and appends its events.
func (m *Model) end(at time.Time, events []Event) []Event {
	kept := m.running[:0]
	for _, seq := range m.running {
		events = m.apply(at, seq, events)
		if seq.tokens < seq.job.MaxTokens {
			kept = append(kept, seq)
			continue
		}
		m.reserved -= seq.reservation()
		events = append(events, Event{Kind: Finished, At: at, ID: seq.job.ID, Usage: seq.usage()})
	}
	clear(m.running[len(kept):])
	m.running = kept
	return events
}

func (m *Model) apply(at time.Time, seq *sequence, events []Event) []Event {
	seq.computed += seq.chunk
	seq.chunk = 0
	events = m.cacheBlocks(at, seq, events)
	if !seq.yields {
		return events
	}
	token := Event{Kind: Token, At: at, ID: seq.job.ID, Index: seq.tokens}
	if seq.tokens == seq.job.FirstIndex {
		token.Cached = seq.cached
	}
	seq.tokens++
	seq.yields = false
	return append(events, token)
}

// cacheBlocks puts the blocks that are now computed into the prefix cache.
func (m *Model) cacheBlocks(at time.Time, seq *sequence, events []Event) []Event {
	whole := min((seq.cached+seq.computed)/request.PrefixBlockTokens, len(seq.job.Prefixes))
	if seq.blocks >= whole {
		return events
	}
	for ; seq.blocks < whole; seq.blocks++ {
		hash := seq.job.Prefixes[seq.blocks]
		added, dropped, evicted := m.cache.add(hash)
		if evicted {
			events = append(events, Event{Kind: CacheDropped, At: at, Hash: dropped})
		}
		if added {
			events = append(events, Event{Kind: CacheAdded, At: at, Hash: hash})
		}
	}
	m.cache.match(seq.job.Prefixes[:whole])
	return events
}
