// Package routing implements the owner's choice of a target for a request: filters
// exclude targets, scorers estimate the cost of each in seconds, and a picker selects
// one of those near the lowest cost. The choice is based on digests of the targets'
// schedulers, which are stale, so it is only a preference: the target's scheduler
// decides whether the request gets a slot.
//
// Router is a pure state machine: time and the seed of its random choices are
// arguments. It is not safe for concurrent use. Its memory is bounded by the number of
// targets and by the constants of the prefix index.
package routing

import (
	"math/rand/v2"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

// randomStream is the second half of the PCG seed; its value is arbitrary.
const randomStream = 0x9e3779b97f4a7c15

// Router chooses targets for the requests of one owner.
type Router struct {
	zone     string
	random   *rand.Rand
	targets  map[string]*target
	pools    map[string]*pool
	prefixes prefixes

	shortPrompt int
	tiers       int
	feasible    feasibleFilter
	filters     []filter
	scorers     []scorer
	picker      picker

	query      query
	candidates []candidate
	single     candidate
	choices    uint64
}

// New returns a router for an owner in a zone. The seed should differ between owners,
// so that they don't make the same random choices.
func New(seed uint64, zone string) *Router {
	r := &Router{
		zone:     zone,
		random:   rand.New(rand.NewPCG(seed, randomStream)),
		targets:  make(map[string]*target),
		pools:    make(map[string]*pool),
		prefixes: newPrefixes(),
	}
	r.filters = []filter{kindFilter{}, availableFilter{}, excludedFilter{}, &r.feasible}
	r.scorers = []scorer{finishScorer{}, zoneScorer{}, separationScorer{}}
	r.picker = &weightedByFreeSlots{random: r.random}
	return r
}

// Configure applies the document in force. The state of targets that remain in the
// document is kept.
func (r *Router) Configure(doc *document.Document) {
	r.shortPrompt = doc.Refusal.ShortPromptTokens
	r.tiers = len(doc.Tiers)
	r.feasible.early = doc.Refusal.Early
	r.configurePools(doc)
	classes := make(map[string]*document.Class, len(doc.Classes))
	for i := range doc.Classes {
		classes[doc.Classes[i].Name] = &doc.Classes[i]
	}
	previous := r.targets
	r.targets = make(map[string]*target, len(doc.Targets))
	for i := range doc.Targets {
		row := &doc.Targets[i]
		r.configureTarget(row, classes[row.Class], previous[row.Name])
	}
	for name, t := range previous {
		if r.targets[name] == nil {
			t.pool = nil
		}
	}
}

func (r *Router) configurePools(doc *document.Document) {
	previous := r.pools
	r.pools = make(map[string]*pool, len(doc.Pools))
	for i := range doc.Pools {
		name := doc.Pools[i].Name
		p := &pool{name: name}
		if old := previous[name]; old != nil {
			p.answers = old.answers
		}
		r.pools[name] = p
	}
}

func (r *Router) configureTarget(row *document.Target, class *document.Class, t *target) {
	p := r.pools[row.Pool]
	if p == nil || class == nil {
		return
	}
	if t == nil {
		t = newTarget(row.Name)
	}
	t.applyDocument(row, class)
	t.pool = p
	p.targets = append(p.targets, t)
	if t.zone == r.zone {
		p.sameZone = append(p.sameZone, t)
	}
	r.targets[row.Name] = t
}

// Digest applies a digest from the scheduler of a target.
func (r *Router) Digest(now time.Time, d message.Digest) {
	if t := r.targets[d.Target]; t != nil {
		t.setDigest(now, d)
	}
}

// SetAvailable applies the result of a probe: ok is false if the target is unreachable or
// announces its departure. The cache of a target that becomes reachable again is
// assumed to be empty.
func (r *Router) SetAvailable(name string, ok bool) {
	t := r.targets[name]
	if t == nil {
		return
	}
	if t.reachable && !ok {
		t.invalidateCache()
	}
	t.reachable = ok
}

// Report applies a load report of the engine itself, which lags. It is used where there
// is no current digest, and by TwoChoices.
func (r *Router) Report(now time.Time, name string, running, waiting int) {
	if t := r.targets[name]; t != nil {
		t.setReport(now, running, waiting)
	}
}

// Dispatched records that a request was sent to a target: it counts as load until the
// next digest, and its prefixes as held by the target's cache.
func (r *Router) Dispatched(now time.Time, name string, req *request.Request) {
	t := r.targets[name]
	if t == nil {
		return
	}
	t.addOwnRun(now, req.PromptTokens)
	t.pool.inFlight++
	if req.Kind == request.Engine {
		r.prefixes.record(t, req)
	}
}

// Offered records that a request was offered to a target. Until the next digest the
// offer counts as queued ahead of later requests.
//
// A digest is up to one heartbeat old and doesn't contain offers made since. If these
// were not counted, all requests of that time would join the queue that was shortest at
// the digest.
func (r *Router) Offered(now time.Time, name string) {
	if t := r.targets[name]; t != nil {
		t.addOwnOffer(now)
	}
}

// Observed applies the sample of a run: it corrects the assumed contents of the
// target's cache and, if the run is complete, the expected length of answers.
func (r *Router) Observed(name string, req *request.Request, s message.Sample, complete bool) {
	t := r.targets[name]
	if t == nil || req.Kind != request.Engine {
		return
	}
	if s.FirstToken > 0 {
		r.prefixes.observe(req.ID, t, s.CachedTokens)
	}
	if complete {
		t.pool.answers.Observe(s.Tokens, req.MaxTokens)
	}
}
