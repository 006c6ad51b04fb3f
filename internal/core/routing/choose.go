package routing

import (
	"math"
	"time"

	"sycamoretrail/internal/core/request"
)

const (
	// scoreAll is the size up to which every target of a pool is scored.
	scoreAll = 16
	// drawBest candidates are drawn from the pool's best (drawBestLong for a long
	// prompt), drawNear from the owner's zone, drawAny from the whole pool; those
	// that hold a prefix of the prompt come on top. All owners have the same best
	// ones, so more draws from there bring herds.
	drawBest     = 1
	drawBestLong = 4
	drawNear     = 3
	drawAny      = 3
	// widenTo candidates are added when none of the sample is in time and has a
	// place: half from the top of the pool's best, half from anywhere. All are scored only when the filters left none, so
	// that a choice stays cheap in an overload.
	widenTo = 16
)

// Choose names the target that a request should ask for a place at. exclude
// rules targets out (nil: none); Status says why none was found.
func (r *Router) Choose(now time.Time, req *request.Request, exclude func(target string) bool) (string, Status) {
	q, status := r.ask(now, req, exclude)
	if !status.OK() {
		return "", status
	}
	q.pool.refresh(now)
	if r.able.infeasible(q) {
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

// Last reports whether at most one target of the pool is left for the request,
// so that its refusal is the last word.
func (r *Router) Last(now time.Time, req *request.Request, exclude func(target string) bool) bool {
	q, status := r.ask(now, req, exclude)
	if !status.OK() {
		return true
	}
	left := 0
	for _, t := range q.pool.targets {
		if r.admits(q, r.look(t)) {
			left++
		}
		if left > 1 {
			return false
		}
	}
	return true
}

// ask forms the query of a request.
func (r *Router) ask(now time.Time, req *request.Request, exclude func(string) bool) (*query, Status) {
	p := r.pools[req.Pool]
	switch {
	case p == nil:
		return nil, UnknownPool
	case len(p.targets) == 0:
		return nil, EmptyPool
	}
	q := &r.query
	q.now, q.req, q.exclude, q.pool, q.zone = now, req, exclude, p, r.zone
	q.tokens = p.answers.Expect(req.MaxTokens)
	q.remaining = secondsUntil(now, req.Deadline)
	q.firstBy = secondsUntil(now, req.FirstTokenBy)
	q.tierShare = float64(req.Tier+1) / float64(max(r.tiers, int(req.Tier)+1))
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

// draw fills candidates with a sample of a large pool, a wider one if none of
// the first is in time and has a place.
func (r *Router) draw(q *query) {
	r.choices++
	r.candidates = r.candidates[:0]
	if len(q.pool.targets) <= scoreAll {
		return
	}
	for i := range q.cached {
		r.take(q, q.cached[i].target)
	}
	best, draws := q.pool.best[listShort], drawBest
	if q.long {
		best, draws = q.pool.best[listLong], drawBestLong
	}
	r.drawFrom(q, best, draws)
	r.drawFrom(q, q.pool.near, drawNear)
	r.drawFrom(q, q.pool.targets, drawAny)
	if r.anyFit(q) {
		return
	}
	for _, t := range best[:min(widenTo/2, len(best))] {
		r.take(q, t)
	}
	r.drawFrom(q, q.pool.targets, widenTo/2)
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
		r.take(q, from[r.random.IntN(len(from))])
	}
}

// take makes a target a candidate unless it is one or the filters drop it.
func (r *Router) take(q *query, t *target) {
	if t.drawn == r.choices {
		return
	}
	t.drawn = r.choices
	r.candidates = append(r.candidates, candidate{target: t})
	if !r.consider(q, &r.candidates[len(r.candidates)-1]) {
		r.candidates = r.candidates[:len(r.candidates)-1]
	}
}

// scan makes every target that the filters keep a candidate; if none, the
// status is that of the filter that the targets came furthest to.
func (r *Router) scan(q *query) Status {
	r.candidates = r.candidates[:0]
	furthest := 0
	for _, t := range q.pool.targets {
		r.candidates = append(r.candidates, candidate{target: t})
		c := &r.candidates[len(r.candidates)-1]
		stage := r.passed(q, c)
		if stage == len(r.filters) {
			r.rate(q, c)
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

// consider filters and scores a candidate.
func (r *Router) consider(q *query, c *candidate) bool {
	if !r.admits(q, c) {
		return false
	}
	r.rate(q, c)
	return true
}

// look makes a target the one candidate of a question beside a choice.
func (r *Router) look(t *target) *candidate {
	r.single = candidate{target: t}
	return &r.single
}

func (r *Router) admits(q *query, c *candidate) bool {
	return r.passed(q, c) == len(r.filters)
}

// passed is how many filters, in order, keep the candidate.
func (r *Router) passed(q *query, c *candidate) int {
	c.view = c.target.view(q.now)
	affinity{}.credit(q, c)
	c.prepare(q)
	for i, f := range r.filters {
		if !f.keep(q, c) {
			return i
		}
	}
	return len(r.filters)
}

func (r *Router) rate(q *query, c *candidate) {
	c.cost, c.preference = 0, 0
	for _, s := range r.scorers {
		s.score(q, c)
	}
	c.cost += c.preference
}
