// Package request defines the metadata of a request as the core uses it: all that
// decisions need, and none of the content.
package request

import (
	"time"

	"sycamoretrail/internal/core/ident"
)

// Tier is a rank of importance: 0 is the highest.
type Tier uint8

// Above reports whether t is more important than other.
func (t Tier) Above(other Tier) bool { return t < other }

// Kind distinguishes requests for model engines from requests for plain services.
type Kind uint8

const (
	// Engine requests generate tokens and can be resumed by stream id.
	Engine Kind = iota
	// Service requests are plain HTTP calls that are forwarded in full.
	Service
)

// KeyHash is the hex SHA-256 of organisation and Idempotency-Key; empty: no key.
type KeyHash string

// Fingerprint identifies organisation, model and body. It is used to recognise a
// request that is sent again under another id.
type Fingerprint uint64

// Request is the metadata of one request.
type Request struct {
	ID           ident.RequestID
	Organisation string
	Tier         Tier
	Kind         Kind
	// Pool is the pool of targets that can serve the request, according to the
	// document.
	Pool string
	// Model is the model name; for a service, the service name.
	Model string
	// PromptTokens is an estimate from the body's size; 0 for services.
	PromptTokens int
	// MaxTokens bounds the answer, in tokens; 0 for services.
	MaxTokens int
	// Prefixes are cumulative hashes of the prompt's leading blocks, shortest
	// first, each covering PrefixBlockTokens more tokens.
	Prefixes []uint64
	// Idempotent: the request may be run again without harm.
	Idempotent  bool
	Key         KeyHash
	Fingerprint Fingerprint
	Arrived     time.Time
	// Deadline is when the complete answer must have been delivered.
	Deadline time.Time
	// FirstTokenBy is when the first token must have been delivered; zero: no bound.
	FirstTokenBy time.Time
}

// PrefixBlockTokens is the size of the blocks that prefix hashes cover.
const PrefixBlockTokens = 128

// Cost returns the work that a request causes, in tokens, for fair sharing.
func (r *Request) Cost() int {
	if r.Kind == Service {
		return ServiceCost
	}
	return r.PromptTokens + r.MaxTokens
}

// ServiceCost is the cost of one plain service call for fair sharing.
const ServiceCost = 100
