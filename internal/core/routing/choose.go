package routing

import (
	"math"
	"time"

	"sycamoretrail/internal/core/request"
)

const (
	// scoreAllSize is the largest pool of which every target is scored.
	scoreAllSize = 16
	// drawBest candidates are drawn from the pool's best targets (drawBestLong for a
	// long prompt), drawSameZone from the owner's zone and drawAny from the whole pool,
	// in addition to the targets that hold a prefix of the prompt. All owners have
	// nearly the same best targets, so more draws from these would make them converge
	// on a few.
	drawBest     = 1
	drawBestLong = 4
	drawSameZone = 3
	drawAny      = 3
	// extraCandidates are added if no sampled target is in time and has a free slot:
	// half from the top of the pool's best targets, half from the whole pool. All
	// targets are scored only if the filters left none, so that a choice remains cheap
	// under overload.
	extraCandidates = 16
)

// Choose returns the target whose scheduler should be offered the request. Targets for
// which exclude returns true are skipped; exclude may be nil. The Status gives the
// reason if there is no target.
func (r *Router) Choose(now time.Time, req *request.Request, exclude func(target string) bool) (string, Status) {
	q, status := r.newQuery(now, req, exclude)
	if !status.OK() {
		return "", status
	}
	q.pool.refresh(now)
	if r.feasible.poolTooSlow(q) {
		return "", NoneInTime
	}
	if t := r.trial(q); t != nil {
		return t.name, Chosen
	}
	r.draw(q)
	if len(r.candidates) == 0 {
		if status = r.scan(q); !status.OK() {
			return "", status
		}
	}
	c := &r.candidates[r.picker.pick(q, r.candidates)]
	if !c.inTime(q) {
		return c.target.name, ChosenLate
	}
	return c.target.name, Chosen
}

// LastCandidate reports whether at most one target of the pool remains for the request,
// so that a refusal by that target is final.
func (r *Router) LastCandidate(now time.Time, req *request.Request, exclude func(target string) bool) bool {
	q, status := r.newQuery(now, req, exclude)
	if !status.OK() {
		return true
	}
	left := 0
	for _, t := range q.pool.targets {
		if r.admits(q, r.singleCandidate(t)) {
			left++
		}
		if left > 1 {
			return false
		}
	}
	return true
}

// newQuery prepares the query of a request. The result is valid until the next call.
func (r *Router) newQuery(now time.Time, req *request.Request, exclude func(string) bool) (*query, Status) {
	p := r.pools[req.Pool]
	switch {
	case p == nil:
		return nil, UnknownPool
	case len(p.targets) == 0:
		return nil, EmptyPool
	}
	q := &r.query
	q.now, q.req, q.exclude, q.pool, q.zone = now, req, exclude, p, r.zone
	q.answerTokens = p.answers.Expect(req.MaxTokens)
	q.remaining = secondsUntil(now, req.Deadline)
	q.firstTokenRemaining = secondsUntil(now, req.FirstTokenBy)
	q.tierWaitShare = float64(req.Tier+1) / float64(max(r.tiers, int(req.Tier)+1))
	q.long = r.shortPrompt > 0 && req.PromptTokens > r.shortPrompt
	q.cached = q.cached[:0]
	if req.Kind == request.Engine {
		q.cached = r.prefixes.find(req, q.cached)
	}
	return q, Chosen
}

func secondsUntil(now, then time.Time) float64 {
	if then.IsZero() {
		return math.Inf(1)
	}
	return then.Sub(now).Seconds()
}

// draw fills candidates with a sample of a large pool, and extends the sample if none
// of it is in time and has a free slot.
func (r *Router) draw(q *query) {
	r.choices++
	r.candidates = r.candidates[:0]
	if len(q.pool.targets) <= scoreAllSize {
		return
	}
	for i := range q.cached {
		r.addCandidate(q, q.cached[i].target)
	}
	best, draws := q.pool.best[listShort], drawBest
	if q.long {
		best, draws = q.pool.best[listLong], drawBestLong
	}
	r.drawFrom(q, best, draws)
	r.drawFrom(q, q.pool.sameZone, drawSameZone)
	r.drawFrom(q, q.pool.targets, drawAny)
	if r.anyFit(q) {
		return
	}
	for _, t := range best[:min(extraCandidates/2, len(best))] {
		r.addCandidate(q, t)
	}
	r.drawFrom(q, q.pool.targets, extraCandidates/2)
}

func (r *Router) anyFit(q *query) bool {
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.inTime(q) && c.view.inFlight < c.view.limit {
			return true
		}
	}
	return false
}

func (r *Router) drawFrom(q *query, from []*target, n int) {
	if len(from) == 0 {
		return
	}
	for range n {
		r.addCandidate(q, from[r.random.IntN(len(from))])
	}
}

// addCandidate filters and scores a target and adds it to the candidates, unless it has
// been drawn before or a filter drops it.
func (r *Router) addCandidate(q *query, t *target) {
	if t.drawn == r.choices {
		return
	}
	t.drawn = r.choices
	r.candidates = append(r.candidates, candidate{target: t})
	if !r.consider(q, &r.candidates[len(r.candidates)-1]) {
		r.candidates = r.candidates[:len(r.candidates)-1]
	}
}

// scan makes every target that passes the filters a candidate. If there is none, it
// returns the status of the last filter that any target reached.
func (r *Router) scan(q *query) Status {
	r.candidates = r.candidates[:0]
	furthest := 0
	for _, t := range q.pool.targets {
		r.candidates = append(r.candidates, candidate{target: t})
		c := &r.candidates[len(r.candidates)-1]
		stage := r.filtersPassed(q, c)
		if stage == len(r.filters) {
			r.scoreCandidate(q, c)
			continue
		}
		furthest = max(furthest, stage)
		r.candidates = r.candidates[:len(r.candidates)-1]
	}
	if len(r.candidates) == 0 {
		return r.filters[furthest].status()
	}
	return Chosen
}

// consider scores a candidate if it passes the filters, and reports whether it does.
func (r *Router) consider(q *query, c *candidate) bool {
	if !r.admits(q, c) {
		return false
	}
	r.scoreCandidate(q, c)
	return true
}

// singleCandidate returns a candidate for a target that is evaluated outside of the
// sample.
func (r *Router) singleCandidate(t *target) *candidate {
	r.single = candidate{target: t}
	return &r.single
}

func (r *Router) admits(q *query, c *candidate) bool {
	return r.filtersPassed(q, c) == len(r.filters)
}

// filtersPassed returns the number of filters, in order, that keep the candidate.
func (r *Router) filtersPassed(q *query, c *candidate) int {
	c.view = c.target.view(q.now)
	affinity{}.credit(q, c)
	c.estimatePrefill(q)
	for i, f := range r.filters {
		if !f.keep(q, c) {
			return i
		}
	}
	return len(r.filters)
}

func (r *Router) scoreCandidate(q *query, c *candidate) {
	c.cost, c.preference = 0, 0
	for _, s := range r.scorers {
		s.score(q, c)
	}
	c.cost += c.preference
}
