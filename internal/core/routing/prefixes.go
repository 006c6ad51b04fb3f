package routing

import (
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/request"
)

const (
	// prefixesHeld bounds the prefix hashes remembered, predictionsHeld the
	// runs whose cached tokens were predicted and not seen yet.
	prefixesHeld    = 32768
	predictionsHeld = 4096
	// prefixHolders is how many targets are remembered for one prefix.
	prefixHolders = 3
	// depthsDense depths are all remembered; beyond, depthsPerDoubling for each
	// doubling, so that a brief of hundreds of blocks takes some thirty places
	// and a match understates what is shared by at most a fifth.
	depthsDense       = 8
	depthsPerDoubling = 4
	// trustGain is the weight of one seen run in a target's cache trust;
	// trustLeast keeps the ratio above zero.
	trustGain  = 0.2
	trustLeast = 0.01
)

// holder is a target whose cache was seen to take a prefix, in that epoch.
type holder struct {
	target *target
	epoch  uint32
}

type holders [prefixHolders]holder

// prediction is what was expected of a run's cached tokens.
type prediction struct {
	target *target
	tokens int
}

// hit is a target that may hold so many tokens of a prompt in its cache.
type hit struct {
	target *target
	tokens float64
}

// prefixes remembers which target computed which prefix, from own dispatches.
// Engines publish cache events late and with gaps; a wrong guess costs only
// prefill, so what is learned from the runs themselves is enough.
type prefixes struct {
	held      *lru[uint64, holders]
	predicted *lru[ident.RequestID, prediction]
}

func newPrefixes() prefixes {
	return prefixes{
		held:      newLRU[uint64, holders](prefixesHeld),
		predicted: newLRU[ident.RequestID, prediction](predictionsHeld),
	}
}

// shallower returns the next lesser depth that is remembered; 0 at the end.
func shallower(depth int) int {
	if depth <= depthsDense {
		return depth - 1
	}
	step := depthsDense / depthsPerDoubling
	for step*2*depthsPerDoubling < depth {
		step *= 2
	}
	return (depth - 1) / step * step
}

// find appends the targets that may hold part of the prompt, deepest first.
func (p *prefixes) find(req *request.Request, into []hit) []hit {
	for depth := len(req.Prefixes); depth > 0; depth = shallower(depth) {
		found := p.held.get(req.Prefixes[depth-1])
		if found == nil {
			continue
		}
		for _, h := range found {
			into = appendHit(into, h, depth)
		}
		if len(into) >= prefixHolders {
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

// record notes that the target computes the request's prompt now, and what it
// was expected to hold of it before.
func (p *prefixes) record(t *target, req *request.Request) {
	expected := 0
	for depth := len(req.Prefixes); depth > 0; depth = shallower(depth) {
		h := p.held.touch(req.Prefixes[depth-1])
		if expected == 0 && h.has(t) {
			expected = depth * request.PrefixBlockTokens
		}
		h.put(t)
	}
	if expected > 0 {
		*p.predicted.touch(req.ID) = prediction{target: t, tokens: min(expected, req.PromptTokens)}
	}
}

// seen corrects the trust in a target's cache by what a run really found there.
func (p *prefixes) seen(id ident.RequestID, t *target, cached int) {
	e := p.predicted.get(id)
	if e == nil || e.target != t || e.tokens <= 0 {
		return
	}
	share := min(float64(cached)/float64(e.tokens), 1)
	t.cacheTrust += trustGain * (share - t.cacheTrust)
	t.cacheTrust = max(t.cacheTrust, trustLeast)
	e.tokens = 0
}

func (h *holders) has(t *target) bool {
	for i := range h {
		if h[i].target == t && h[i].epoch == t.cacheEpoch {
			return true
		}
	}
	return false
}

// put makes the target the newest holder.
func (h *holders) put(t *target) {
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
