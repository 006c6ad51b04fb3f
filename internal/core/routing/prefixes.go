package routing

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/request"
)

const (
	// maxPrefixes bounds the prefix hashes remembered, maxPredictions the runs whose
	// cached tokens were predicted and not observed yet.
	maxPrefixes    = 32768
	maxPredictions = 4096
	// holdersPerPrefix is the number of targets remembered for one prefix.
	holdersPerPrefix = 3
	// Every depth up to denseDepths is remembered, and depthsPerDoubling depths for
	// each doubling beyond. A prompt of hundreds of blocks then takes some thirty
	// entries, and a match understates the shared prefix by at most a fifth.
	denseDepths       = 8
	depthsPerDoubling = 4
	// trustGain is the weight of one observed run in a target's cache trust. minTrust
	// keeps the trust above zero.
	trustGain = 0.2
	minTrust  = 0.01
)

// holder is a target that computed a prefix, and its cache epoch at that time.
type holder struct {
	target *target
	epoch  uint32
}

type holders [holdersPerPrefix]holder

// prediction is the number of cached tokens expected for a run.
type prediction struct {
	target *target
	tokens int
}

// hit is a target whose cache may hold that many tokens of a prompt.
type hit struct {
	target *target
	tokens float64
}

// prefixes records which target computed which prefix, based on the owner's own
// dispatches. Engines publish cache events late and with gaps. A wrong prediction costs
// only prefill time, so learning from the runs themselves is sufficient.
type prefixes struct {
	byHash    *lru[uint64, holders]
	predicted *lru[ident.RequestID, prediction]
}

func newPrefixes() prefixes {
	return prefixes{
		byHash:    newLRU[uint64, holders](maxPrefixes),
		predicted: newLRU[ident.RequestID, prediction](maxPredictions),
	}
}

// nextDepth returns the next smaller depth that is remembered, or 0 if there is none.
func nextDepth(depth int) int {
	if depth <= denseDepths {
		return depth - 1
	}
	step := denseDepths / depthsPerDoubling
	for step*2*depthsPerDoubling < depth {
		step *= 2
	}
	return (depth - 1) / step * step
}

// find appends the targets that may hold part of the prompt, longest match first.
func (p *prefixes) find(req *request.Request, into []hit) []hit {
	for depth := len(req.Prefixes); depth > 0; depth = nextDepth(depth) {
		found := p.byHash.get(req.Prefixes[depth-1])
		if found == nil {
			continue
		}
		for _, h := range found {
			into = appendHit(into, h, depth)
		}
		if len(into) >= holdersPerPrefix {
			break
		}
	}
	return into
}

func appendHit(into []hit, h holder, depth int) []hit {
	if h.target == nil || h.epoch != h.target.cacheEpoch {
		return into
	}
	for i := range into {
		if into[i].target == h.target {
			return into
		}
	}
	tokens := float64(depth*request.PrefixBlockTokens) * h.target.cacheTrust
	return append(into, hit{target: h.target, tokens: tokens})
}

// record stores that the target is computing the request's prompt, and predicts how
// much of it the target already held.
func (p *prefixes) record(t *target, req *request.Request) {
	expected := 0
	for depth := len(req.Prefixes); depth > 0; depth = nextDepth(depth) {
		h := p.byHash.touch(req.Prefixes[depth-1])
		if expected == 0 && h.contains(t) {
			expected = depth * request.PrefixBlockTokens
		}
		h.moveToFront(t)
	}
	if expected > 0 {
		*p.predicted.touch(req.ID) = prediction{target: t, tokens: min(expected, req.PromptTokens)}
	}
}

// observe adjusts the trust in a target's cache according to the cached tokens of a
// run.
func (p *prefixes) observe(id ident.RequestID, t *target, cached int) {
	e := p.predicted.get(id)
	if e == nil || e.target != t || e.tokens <= 0 {
		return
	}
	share := min(float64(cached)/float64(e.tokens), 1)
	t.cacheTrust += trustGain * (share - t.cacheTrust)
	t.cacheTrust = max(t.cacheTrust, minTrust)
	e.tokens = 0
}

func (h *holders) contains(t *target) bool {
	for i := range h {
		if h[i].target == t && h[i].epoch == t.cacheEpoch {
			return true
		}
	}
	return false
}

// moveToFront makes the target the most recent holder.
func (h *holders) moveToFront(t *target) {
	at := len(h) - 1
	for i := range h {
		if h[i].target == t || h[i].target == nil {
			at = i
			break
		}
	}
	copy(h[1:at+1], h[:at])
	h[0] = holder{target: t, epoch: t.cacheEpoch}
}
