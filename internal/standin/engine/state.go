package engine

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/standin/base"
	"sycamoretrail/internal/standin/enginemodel"
)

// driveSteps advances the model at the end of each step.
func (s *Server) driveSteps() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(s.untilStepEnd())
		select {
		case <-s.Done():
			return
		case <-s.wake:
		case <-timer.C:
			s.advance()
		}
	}
}

// cleanupInterval is the interval at which an idle engine removes expired streams.
const cleanupInterval = time.Second

func (s *Server) untilStepEnd() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, stepping := s.model.Next()
	if !stepping {
		return cleanupInterval
	}
	return max(0, time.Until(next))
}

func (s *Server) advance() {
	s.mu.Lock()
	crashes := s.advanceLocked(time.Now())
	s.mu.Unlock()
	if crashes {
		s.Crash()
	}
}

// advanceLocked advances the state to now. It reports whether a request has
// crashed the engine.
func (s *Server) advanceLocked(now time.Time) (crashes bool) {
	for _, event := range s.model.Advance(now) {
		switch event.Kind {
		case enginemodel.Token:
			crashes = s.addToken(event) || crashes
		case enginemodel.Finished:
			s.finish(now, event)
		case enginemodel.CacheAdded:
			s.cache.add(event.At, opAdd, event.Hash)
		case enginemodel.CacheDropped:
			s.cache.add(event.At, opDrop, event.Hash)
		}
	}
	s.removeExpired(now)
	s.loads.Set(now, s.faults.Lag(), s.model.Load())
	return crashes
}

func (s *Server) addToken(event enginemodel.Event) (crashes bool) {
	st := s.jobs[event.ID]
	if st.crashing {
		return true
	}
	st.tokens = event.Index + 1
	st.notify()
	return false
}

func (s *Server) finish(now time.Time, event enginemodel.Event) {
	st := s.jobs[event.ID]
	if st.crashing {
		return
	}
	st.usage = event.Usage
	st.done = true
	s.endRun(st, func(run *base.Run) { run.Complete = true })
	s.markEnded(now, st)
}

// markEnded marks a stream as ended. It remains readable until it expires.
func (s *Server) markEnded(now time.Time, st *stream) {
	delete(s.jobs, st.job)
	st.endedAt = now
	st.notify()
	s.ended = append(s.ended, st)
}

func (s *Server) endRun(st *stream, mark func(*base.Run)) {
	s.Ledger().End(st.ticket, func(run *base.Run) {
		run.PromptTokens = st.usage.Prompt
		run.CachedTokens = st.usage.Cached
		run.ComputedPromptTokens = st.usage.ComputedPrompt
		run.Tokens = st.usage.Tokens
		mark(run)
	})
}

func (s *Server) removeExpired(now time.Time) {
	for len(s.ended) > 0 && now.Sub(s.ended[0].endedAt) >= s.params.retention() {
		st := s.ended[0]
		s.ended = s.ended[1:]
		if s.streams[st.id] == st {
			delete(s.streams, st.id)
		}
	}
}

// admission is a request that has not been submitted yet.
type admission struct {
	id     string
	job    enginemodel.Job
	stream *stream
}

// submit submits a request to the model. begun is false if the engine has
// crashed since the request was received.
func (s *Server) submit(ctx *fasthttp.RequestCtx, a admission) (begun bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.advanceOrCrash(now)
	if !s.serves(a.stream.model) {
		return true, fmt.Errorf("%w: %s", errModel, a.stream.model)
	}
	s.jobCount++
	a.stream.job = a.id + "#" + strconv.Itoa(s.jobCount)
	a.job.ID = a.stream.job
	s.useImport(a.id, &a.job)
	if err := s.model.Submit(now, a.job); err != nil {
		return true, err
	}
	ticket, begun := s.Ledger().Begin(ctx, a.id)
	if !begun {
		s.model.Cancel(now, a.job.ID)
		return false, nil
	}
	delete(s.imports, a.id)
	a.stream.ticket = ticket
	a.stream.tokens = a.job.FirstIndex
	s.jobs[a.job.ID] = a.stream
	s.streams[a.id] = a.stream
	s.loads.Set(now, s.faults.Lag(), s.model.Load())
	s.wakeDriver()
	return true, nil
}

// advanceOrCrash advances the state. A crash runs in another goroutine because
// it acquires the lock that the caller holds.
func (s *Server) advanceOrCrash(now time.Time) {
	if s.advanceLocked(now) {
		go s.Crash()
	}
}

func (s *Server) serves(model string) bool {
	return s.loaded.Model == "" || s.loaded.Model == model || slices.Contains(s.loaded.Adapters, model)
}

// cancel ends a stream and returns its usage, or false if the id is unknown.
func (s *Server) cancel(id string) (enginemodel.Usage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.advanceOrCrash(now)
	st := s.streams[id]
	if st == nil {
		return enginemodel.Usage{}, false
	}
	usage, running := s.model.Cancel(now, st.job)
	if !running {
		return st.usage, true
	}
	st.usage = usage
	st.aborted = true
	s.endRun(st, func(run *base.Run) { run.Cancelled = true })
	s.markEnded(now, st)
	s.loads.Set(now, s.faults.Lag(), s.model.Load())
	return usage, true
}

func (s *Server) find(id string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(time.Now())
	return s.streams[id]
}

func (s *Server) snapshot(st *stream) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	return view{tokens: st.tokens, usage: st.usage, done: st.done, aborted: st.aborted, changed: st.changed}
}

func (s *Server) wakeDriver() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// applied applies changed faults.
func (s *Server) applied(f base.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.model.SetStraggle(f.Slowdown())
}

// crashed discards all state. The host closes the connections of the readers.
func (s *Server) crashed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lost := range s.model.Reset() {
		s.jobs[lost.ID].usage = lost.Usage
	}
	for _, st := range s.jobs {
		st.aborted = true
		s.endRun(st, func(*base.Run) {})
		st.notify()
	}
	s.reset()
}

// reset sets the state of a newly started process.
func (s *Server) reset() {
	s.jobs = make(map[string]*stream)
	s.streams = make(map[string]*stream)
	s.imports = make(map[string]kvState)
	s.ended = nil
	s.cache = newCacheLog()
	s.loads.Reset()
	s.loaded = assignment{Model: s.params.Model, Version: s.params.Version, Adapters: s.params.Adapters, Role: s.params.Role}
	s.fencing = 0
	s.orderCount++
}
