// Package enginemodel simulates an engine with continuous batching. It performs
// no I/O, reads no clock and starts no goroutines: times are arguments, events
// are results, and equal calls return equal events. It is used by the live
// stand-in and by the virtual replay.
//
// A step serves all running sequences: each one whose prompt is computed
// generates one token, the others share the prefill chunk in order of arrival.
// The duration of a step is
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

// Errors returned by Submit when it rejects a job.
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
	// Prefixes has the same meaning as in request.Request.
	Prefixes []uint64
	// ImportedPromptTokens is the number of prompt tokens in an imported KV cache.
	ImportedPromptTokens int
	// FirstIndex is the index of the first token to generate after an import.
	FirstIndex int
}

// Usage is the resource usage of a job, in tokens.
type Usage struct {
	Prompt         int
	Cached         int
	ComputedPrompt int
	Tokens         int
}

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// Token: the job ID generated the token Index. Cached is set on its first event.
	Token EventKind = iota
	// Finished: the job ID has generated all its tokens. Usage is set.
	Finished
	// CacheAdded: the block Hash was added to the prefix cache.
	CacheAdded
	// CacheDropped: the block Hash was evicted from the prefix cache.
	CacheDropped
)

// Event describes one effect of a completed step.
type Event struct {
	Kind   EventKind
	At     time.Time
	ID     string
	Index  int
	Cached int
	Usage  Usage
	Hash   uint64
}

// Lost is a job that was terminated by a crash.
type Lost struct {
	ID    string
	Usage Usage
}

// Load is the number of jobs and KV tokens in the engine.
type Load struct {
	Running  int
	Waiting  int
	KVTokens int
}

// Model simulates one engine. It is not safe for concurrent use.
type Model struct {
	params   Params
	straggle float64
	leaving  bool
	waiting  []*sequence
	running  []*sequence
	reserved int // KV tokens reserved by running sequences
	cache    *prefixCache
	stepping bool
	stepEnd  time.Time
}

// New returns an idle engine. The parameters must be valid.
func New(p Params) *Model {
	return &Model{params: p, straggle: 1, cache: newPrefixCache(p.CacheTokens)}
}

// SetStraggle sets the factor by which the duration of subsequent steps is
// multiplied. Values that are not positive mean 1.
func (m *Model) SetStraggle(factor float64) {
	if factor <= 0 {
		factor = 1
	}
	m.straggle = factor
}

// SetLeaving makes Submit reject new jobs. Jobs already submitted continue.
func (m *Model) SetLeaving(leaving bool) { m.leaving = leaving }

// Submit queues a job. Advance(now) must be called first, so that now is not
// earlier than the model's time.
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

// Cancel removes a job and returns its usage, or false if there is no such job.
// The duration of the current step does not change, and its prefill counts as
// computed.
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

// Progress returns the usage of a job so far, or false if there is no such job.
func (m *Model) Progress(id string) (Usage, bool) {
	if i := find(m.running, id); i >= 0 {
		return m.running[i].usage(), true
	}
	if i := find(m.waiting, id); i >= 0 {
		return m.waiting[i].usage(), true
	}
	return Usage{}, false
}

// Next returns the end of the current step, or false if the engine is idle.
func (m *Model) Next() (time.Time, bool) { return m.stepEnd, m.stepping }

// Advance completes every step that ends by now and returns the events in order.
func (m *Model) Advance(now time.Time) []Event {
	var events []Event
	for m.stepping && !m.stepEnd.After(now) {
		at := m.stepEnd
		events = m.end(at, events)
		m.begin(at)
	}
	return events
}

// Load returns the current load.
func (m *Model) Load() Load {
	load := Load{Running: len(m.running), Waiting: len(m.waiting)}
	for _, seq := range m.running {
		load.KVTokens += seq.cached + seq.computed + seq.tokens
	}
	return load
}

// Reset discards all jobs and the cache, as a crash does, and returns the lost
// jobs, oldest first. The straggle factor and the leaving state are kept because
// they are properties of the machine.
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

// admit moves waiting jobs to the batch in order of arrival.
func (m *Model) admit(at time.Time) {
	for len(m.waiting) > 0 && len(m.running) < m.params.MaxBatch {
		seq := m.waiting[0]
		if seq.submitted.After(at) || m.reserved+seq.reservation() > m.params.KVTokens {
			return
		}
		m.waiting = m.waiting[1:]
		m.reserved += seq.reservation()
		seq.blocks = m.cache.match(seq.job.Prefixes)
		seq.countCached(seq.blocks * request.PrefixBlockTokens)
		m.running = append(m.running, seq)
	}
}

// plan assigns the work of the step to the sequences.
func (m *Model) plan() (decoding, prefill int) {
	budget := m.params.PrefillChunk
	for _, seq := range m.running {
		missing := seq.missing()
		seq.chunk = min(missing, budget)
		budget -= seq.chunk
		prefill += seq.chunk
		seq.generates = seq.chunk == missing
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
	if !seq.generates {
		return events
	}
	token := Event{Kind: Token, At: at, ID: seq.job.ID, Index: seq.tokens}
	if seq.tokens == seq.job.FirstIndex {
		token.Cached = seq.cached
	}
	seq.tokens++
	seq.generates = false
	return append(events, token)
}

// cacheBlocks adds newly computed blocks to the prefix cache.
func (m *Model) cacheBlocks(at time.Time, seq *sequence, events []Event) []Event {
	complete := min((seq.cached+seq.computed)/request.PrefixBlockTokens, len(seq.job.Prefixes))
	if seq.blocks >= complete {
		return events
	}
	for ; seq.blocks < complete; seq.blocks++ {
		hash := seq.job.Prefixes[seq.blocks]
		added, dropped, evicted := m.cache.add(hash)
		if evicted {
			events = append(events, Event{Kind: CacheDropped, At: at, Hash: dropped})
		}
		if added {
			events = append(events, Event{Kind: CacheAdded, At: at, Hash: hash})
		}
	}
	m.cache.match(seq.job.Prefixes[:complete])
	return events
}
