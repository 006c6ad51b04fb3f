// Package gateway is an entry that routes requests by host and path to targets
// which registered themselves. It joins the decisions of internal/core with the
// connections to callers, targets, the other entries and the metadata store.
//
// A request's way, from socket to target and back:
//
//  1. serve (call.go) takes it; admit finds route, organisation and service, and
//     checks the quota.
//  2. run (run.go) asks for a place; state.submit hands it to dispatch.Scheduler, which
//     queues it, and Scheduler.choose (core/dispatch/choose.go) picks the target.
//  3. try sends it over a connection of upstream.Pool and reads the head of the answer.
//  4. An answer that is not a stream is read whole, then passed on (whole, answer); a
//     stream is passed on event by event (stream.go) and, where the route allows, goes
//     on at another target when its own breaks (resume).
//  5. What was seen of the target goes back to the scheduler (report, observe), and to
//     the other entries with the next load report (report.go).
//  6. end settles quota and metrics and writes the request's line.
//
// What governs all this, configuration and targets, is followed from the store by
// feeds.go, and who the other entries are by entriesfeed.go.
//
// Words between entries: heartbeats (links.go), digests that pass them on to other cells
// (digest.go), loads (report.go), and how much of them fits a datagram (share.go). All are
// heard in receive.go.
//
// Roll-outs of versions: which pool a target and a request belong to (rollouts.go), what the
// leader and the others do (rolloutlead.go), the record that lasts (rolloutstore.go), and
// their words (rolloutlinks.go).
package gateway

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/core/rollout"
	"sycamoretrail/internal/feed"
)

// Envelope is what a caller's request says of itself besides method, path and body.
type Envelope struct {
	// ID identifies one attempt of the caller; empty: it gave none.
	ID string
	// Key is the organisation's key; empty: none shown.
	Key string
	// Patience is how long the caller waits; 0: it does not say.
	Patience time.Duration
	// PromptTokens and OutputTokens are the length of the prompt and the most that
	// may be generated, where declared.
	PromptTokens, OutputTokens int
	DeclaresTokens             bool
	// ExpectedOutput is the caller's guess of what will be generated; 0: none.
	ExpectedOutput int
	// LastEvent is the last event that the caller has of an earlier stream.
	LastEvent string
}

// Send is what the gateway adds to a request for a target.
type Send struct {
	// Left is how long the target may work on it.
	Left time.Duration
	// Organisation is empty where callers show no keys.
	Organisation string
	// Target is the id of the server that the request is meant for.
	Target string
	// LastEvent goes before the caller's; empty: the caller's is kept.
	LastEvent string
	// BodyLength is the length of the body that follows.
	BodyLength int
}

// AnswerMark is what a target's answer says of itself.
type AnswerMark struct {
	// ID is the id of the request that it belongs to.
	ID string
	// NotRun: the target says that it did not run the request.
	NotRun bool
	// Replaced: the server at this address is not the one that was meant.
	Replaced bool
	// Limit is the rate of requests that the target declares it can take.
	Limit dispatch.Limit
	// Leaving: the target says that it is about to stop.
	Leaving bool
	// Pause is for how long the target wants nothing from this entry; 0: it does not say.
	Pause time.Duration
}

// Platform translates between the platform's interfaces and the gateway's types.
type Platform interface {
	feed.Log
	// ReadEnvelope reads a caller's headers.
	ReadEnvelope(*fasthttp.RequestHeader) (Envelope, error)
	// AppendHead appends the request line and headers for a target.
	AppendHead(dst []byte, header *fasthttp.RequestHeader, send Send) []byte
	// ReadMark reads the head of a target's answer.
	ReadMark(status int, header http.Header) AnswerMark
	// DecodeConfiguration returns nil for records of the operators that are not one.
	DecodeConfiguration(feed.Record) (*catalog.Configuration, error)
	// DecodeOrder returns nil for records of the operators that are no order of a roll-out.
	DecodeOrder(feed.Record) (*rollout.Order, error)
	// PutStatus tells the operators how far a roll-out is. An earlier phase never replaces a
	// later one.
	PutStatus(rollout.Order, rollout.Phase) error
	// DecodeTarget decodes a target's entry in the register.
	DecodeTarget(feed.Record) (catalog.Target, error)
	// Directory and Ready answer the platform's and the callers' questions.
	Directory(list func() []string, life time.Duration) fasthttp.RequestHandler
	Ready(ready func() bool) fasthttp.RequestHandler
}
