// Package routing is the owner's choice of a target for a request: filters
// rule targets out, scorers estimate what each would cost in seconds, a picker
// takes one of the near-equal best. It works on digests of the targets'
// schedulers, which are stale, so its choice is a preference only: the
// target's scheduler has the last word on a place.
//
// Router is a pure state machine: time and the seed of its random choices come
// in as arguments. It is not safe for concurrent use. Its memory is bounded by
// the number of targets and by the constants of the prefix index.
package routing

import (
	"math/rand/v2"
	"time"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

// randomStream is the second half of the PCG seed; any constant does.
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
	able        ableFilter
	filters     []filter
	scorers     []scorer
	picker      picker

	query      query
	candidates []candidate
	single     candidate
	choices    uint64
}

// New starts a router for an owner in a zone; the seed should differ between
// owners, so that they don't make the same random choices.
func New(seed uint64, zone string) *Router {
	r := &Router{
		zone:     zone,
		random:   rand.New(rand.NewPCG(seed, randomStream)),
		targets:  make(map[string]*target),
		pools:    make(map[string]*pool),
		prefixes: newPrefixes(),
	}
	r.filters = []filter{kindFilter{}, availableFilter{}, excludedFilter{}, &r.able}
	r.scorers = []scorer{finishScorer{}, zoneScorer{}, separationScorer{}}
	r.picker = &nearByRoom{random: r.random}
	return r
}

// Configure takes the document in force. What is known of a target whose name
// stays is kept.
func (r *Router) Configure(doc *document.Document) {
	r.shortPrompt = doc.Refusal.ShortPromptTokens
	r.tiers = len(doc.Tiers)
	r.able.early = doc.Refusal.Early
	r.configurePools(doc)
	classes := make(map[string]*document.Class, len(doc.Classes))
	for i := range doc.Classes {
		classes[doc.Classes[i].Name] = &doc.Classes[i]
	}
	former := r.targets
	r.targets = make(map[string]*target, len(doc.Targets))
	for i := range doc.Targets {
		row := &doc.Targets[i]
		r.configureTarget(row, classes[row.Class], former[row.Name])
	}
	for name, t := range former {
		if r.targets[name] == nil {
			t.pool = nil
		}
	}
}

func (r *Router) configurePools(doc *document.Document) {
	former := r.pools
	r.pools = make(map[string]*pool, len(doc.Pools))
	for i := range doc.Pools {
		name := doc.Pools[i].Name
		p := &pool{name: name}
		if old := former[name]; old != nil {
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
	t.describe(row, class)
	t.pool = p
	p.targets = append(p.targets, t)
	if t.zone == r.zone {
		p.near = append(p.near, t)
	}
	r.targets[row.Name] = t
}

// Digest takes what the scheduler of a target says of it.
func (r *Router) Digest(now time.Time, d message.Digest) {
	if t := r.targets[d.Target]; t != nil {
		t.takeDigest(now, d)
	}
}

// Reachable takes the finding of a probe: false if the target can't be reached
// or says that it is leaving. A target that comes back comes with an empty cache.
func (r *Router) Reachable(name string, ok bool) {
	t := r.targets[name]
	if t == nil {
		return
	}
	if t.reachable && !ok {
		t.loseCache()
	}
	t.reachable = ok
}

// Report takes a load report of the engine itself, stale by the engine's lag.
// It counts where no digest does, and for TwoChoices.
func (r *Router) Report(now time.Time, name string, running, waiting int) {
	if t := r.targets[name]; t != nil {
		t.takeReport(now, running, waiting)
	}
}

// Dispatched notes that a request was sent to a target: load until the next
// digest, and prefixes that its cache will hold.
func (r *Router) Dispatched(now time.Time, name string, req *request.Request) {
	t := r.targets[name]
	if t == nil {
		return
	}
	t.addOwn(now, req.PromptTokens)
	t.pool.inFlight++
	if req.Kind == request.Engine {
		r.prefixes.record(t, req)
	}
}

// Offered notes that a place was asked for at a target: until its next digest the
// offer counts as ahead of those that are placed after it.
//
// Failure: a digest is up to a heartbeat old, and offers that wait are in none
// yet. Symptom: all that comes meanwhile joins the queue that was shortest.
func (r *Router) Offered(now time.Time, name string) {
	if t := r.targets[name]; t != nil {
		t.addOffer(now)
	}
}

// Observed takes what a run showed, to correct what was assumed of the
// target's cache, and of the length of answers where the run is complete.
func (r *Router) Observed(name string, req *request.Request, s message.Sample, complete bool) {
	t := r.targets[name]
	if t == nil || req.Kind != request.Engine {
		return
	}
	if s.FirstToken > 0 {
		r.prefixes.seen(req.ID, t, s.CachedTokens)
	}
	if complete {
		t.pool.answers.Observe(s.Tokens, req.MaxTokens)
	}
}
