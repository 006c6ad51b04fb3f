package routing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/request"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var start = time.Unix(1000, 0)

const (
	slowRate = 4000.0
	fastRate = 16000.0
)

// poolOf returns a document with a pool "chat" of n engines in three zones, of which
// the first ones, as many as fast, have fast prefill. A pool "desk" contains one
// service.
func poolOf(n, fast int) *document.Document {
	doc := &document.Document{
		Tiers: []document.Tier{{Name: "high"}, {Name: "low"}},
		Pools: []document.Pool{{Name: "chat"}, {Name: "desk"}, {Name: "empty"}},
		Classes: []document.Class{
			{Name: "slow", Kind: document.KindEngine, MaxInFlight: 16, PrefillRate: slowRate, StepMS: 20},
			{Name: "fast", Kind: document.KindEngine, MaxInFlight: 16, PrefillRate: fastRate, StepMS: 20},
			{Name: "desk", Kind: document.KindService, MaxInFlight: 4, StepMS: 30},
		},
		Refusal: document.Refusal{ShortPromptTokens: 1024, Early: true},
	}
	for i := range n {
		class := "slow"
		if i < fast {
			class = "fast"
		}
		doc.Targets = append(doc.Targets, document.Target{
			Name: targetName(i), Pool: "chat", Class: class, Zone: fmt.Sprintf("z%d", i%3)})
	}
	doc.Targets = append(doc.Targets, document.Target{Name: "d", Pool: "desk", Class: "desk", Zone: "z0"})
	return doc
}

func targetName(i int) string { return fmt.Sprintf("t%d", i) }

func routerFor(doc *document.Document, seed uint64) *Router {
	r := New(seed, "z0")
	r.Configure(doc)
	return r
}

var requests int

// newRequest returns a request of the low tier with ten seconds left.
func newRequest(prompt, tokens int) *request.Request {
	requests++
	return &request.Request{
		ID: ident.RequestID(fmt.Sprintf("i.0.%d", requests)), Pool: "chat", Tier: 1, Idempotent: true,
		PromptTokens: prompt, MaxTokens: tokens, Deadline: start.Add(10 * time.Second)}
}

// prefixed sets the prefix hashes of a request. The first blocks, as many as shared,
// are common to its family; the rest are unique to the request.
func prefixed(req *request.Request, family uint64, shared int) *request.Request {
	for i := range req.PromptTokens / request.PrefixBlockTokens {
		hash := family<<32 + uint64(i)
		if i >= shared {
			hash += uint64(requests) << 48
		}
		req.Prefixes = append(req.Prefixes, hash)
	}
	return req
}

func digest(name string, inFlight, limit int) message.Digest {
	return message.Digest{Target: name, Limit: limit, InFlight: inFlight, Available: true}
}
