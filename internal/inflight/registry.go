package inflight

import (
	"sync"
	"time"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
)

// Config bounds a Registry.
type Config struct {
	// MaxOpen bounds flights that have not ended.
	MaxOpen int
	// Retain is how long an ended flight is kept for re-reading, RetainBytes the
	// total memory that answers of ended flights may take.
	Retain      time.Duration
	RetainBytes int
	// Now is the clock; time.Now when nil.
	Now func() time.Time
}

// endedOverhead is added to the size of an ended flight's answer, in bytes, so that
// the number of empty answers is bounded too.
const endedOverhead = 1 << 10

// Registry finds the flights of one entry by request id. It is safe for
// concurrent use.
type Registry struct {
	cfg Config

	mu      sync.Mutex
	flights map[ident.RequestID]*Flight
	open    int
	// ended is a queue of ended flights, the oldest first.
	ended      []endedFlight
	endedBytes int
}

type endedFlight struct {
	flight *Flight
	bytes  int
}

// NewRegistry returns an empty registry.
func NewRegistry(cfg Config) *Registry {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Registry{cfg: cfg, flights: make(map[ident.RequestID]*Flight)}
}

// Put adds a flight, or returns the existing one of the same id. It returns nil when
// the registry is full. It replaces a flight that ended in doubt; see InDoubt.
func (r *Registry) Put(f *Flight) (existing *Flight, added bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
	if known, there := r.flights[f.ID]; there && !known.InDoubt() {
		return known, false
	}
	if r.open >= r.cfg.MaxOpen {
		return nil, false
	}
	f.mu.Lock()
	f.registry = r
	f.mu.Unlock()
	r.flights[f.ID] = f
	r.open++
	return f, true
}

// Get returns a flight, or nil if none is held under the id.
func (r *Registry) Get(id ident.RequestID) *Flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flights[id]
}

// Remove removes a flight that was never submitted to the core.
func (r *Registry) Remove(f *Flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.flights[f.ID] != f || f.done {
		return
	}
	delete(r.flights, f.ID)
	r.open--
}

// retain moves an ended flight to those kept for re-reading.
func (r *Registry) retain(f *Flight) {
	bytes := f.Answer.size() + endedOverhead
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.flights[f.ID] != f {
		return
	}
	f.done = true
	f.ended = r.cfg.Now()
	r.open--
	r.ended = append(r.ended, endedFlight{flight: f, bytes: bytes})
	r.endedBytes += bytes
	r.sweep()
}

// Drop removes an ended flight before its retention ends.
func (r *Registry) Drop(f *Flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.done && r.flights[f.ID] == f {
		delete(r.flights, f.ID)
	}
}

// sweep drops ended flights beyond the retention time or memory.
func (r *Registry) sweep() {
	oldest := r.cfg.Now().Add(-r.cfg.Retain)
	drop := 0
	for drop < len(r.ended) {
		e := r.ended[drop]
		if r.endedBytes <= r.cfg.RetainBytes && e.flight.ended.After(oldest) {
			break
		}
		if r.flights[e.flight.ID] == e.flight {
			delete(r.flights, e.flight.ID)
		}
		r.endedBytes -= e.bytes
		r.ended[drop] = endedFlight{}
		drop++
	}
	r.ended = r.ended[drop:]
}

// Sweep drops ended flights whose retention is over. It is called periodically, so
// that an idle entry frees them too.
func (r *Registry) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
}

// Settle ends a flight with the final status that the core decided.
func (r *Registry) Settle(s entry.Settle) {
	if f := r.Get(s.ID); f != nil {
		f.Finish(s.Status)
	}
}

// Join carries out the core's decision that a submission joins another run at this
// entry. For a run of the same id, the reader follows its flight already, unless the
// answer has been dropped.
func (r *Registry) Join(j entry.Join) {
	f := r.Get(j.ID)
	if f == nil {
		return
	}
	if j.Of != j.ID {
		r.joinOther(f, j.Of)
		return
	}
	if f.countJoin() {
		f.Finish(answerNotHeld())
	}
}

// Stats counts what a registry holds.
type Stats struct {
	Open, Ended, EndedBytes int
}

// Stats returns the current counts.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Open: r.open, Ended: len(r.ended), EndedBytes: r.endedBytes}
}
