// Package gateway is an entry that routes requests by host and path to registered
// targets. It connects the decision logic of internal/core with callers, targets, the
// other entries and the metadata store.
//
// The path of a request, from the caller's connection to a target and back:
//
//  1. serve (call.go) receives it: admitHead finds route and organisation by its head, receive
//     (body.go) reads its body into memory that is reserved for it (memory.go), and admit chooses
//     the service and checks the quota. listeners.go opens the listeners, gates.go bounds their connections.
//  2. run (run.go) requests a slot; state.submit passes this on to dispatch.Scheduler, which
//     queues it, and Scheduler.choose (core/dispatch/choose.go) selects the target.
//  3. try sends it over a connection of upstream.Pool and reads the head of the answer.
//  4. An answer that is not a stream is buffered, then passed on (forwardBuffered,
//     sendAnswer); a stream is passed on event by event (stream.go) and, where the route
//     allows it, continues at another target if it is aborted (resume).
//  5. The outcome and what it shows of the target go back to the scheduler (report,
//     observe), and to the other entries with the next load report (loadreport.go).
//  6. end settles quota and metrics and writes the request's final log line.
//
// A stream continues only at the version that began it (reconnect.go); entries tell each other of
// the streams that they begin (origins.go).
//
// A request that can be brought to no target is handed off to another entry (handoff.go), which
// handoffpeers.go chooses; isolation.go tracks whether this entry reaches any target.
//
// feeds.go follows configuration and targets in the store, and entriesfeed.go the registry
// of entries.
//
// Messages between entries are heartbeats (links.go), digests that pass them on to other
// cells (digest.go) and load reports (loadreport.go); rotation.go limits their contents to what
// fits a datagram. receive.go handles all of them.
//
// Roll-outs of versions: the pool of a target and of a request (rollouts.go), the work of
// the leader and the others (rolloutlead.go), the record in the store (rolloutstore.go), and
// their messages (rolloutlinks.go).
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

// Envelope holds what a caller's request declares besides method, path and body.
type Envelope struct {
	// ID identifies one attempt of the caller; empty: the caller gave none.
	ID string
	// Key is the organisation's key; empty: the caller sent none.
	Key string
	// WaitLimit is how long the caller waits; 0: not declared.
	WaitLimit time.Duration
	// PromptTokens and OutputTokens are the length of the prompt and the largest number of
	// tokens to generate, where declared.
	PromptTokens, OutputTokens int
	DeclaresTokens             bool
	// SharedParts names the parts of the prompt that other requests may share, in order. The last
	// part of a prompt, which belongs to the request or its session, is left out.
	SharedParts []string
	// ExpectedOutput is the caller's estimate of the tokens that will be generated; 0: none.
	ExpectedOutput int
	// LastEvent is the id of the last event that the caller received of an earlier stream.
	LastEvent string
	// Resumes is the id of the attempt that brought the first event of that stream.
	Resumes string
}

// ForwardInfo holds what the gateway adds to a request that it forwards to a target.
type ForwardInfo struct {
	// Remaining is the time that the target has for the request.
	Remaining time.Duration
	// Organisation is the name of the caller's organisation; empty: none.
	Organisation string
	// Target is the id of the server that the request is meant for.
	Target string
	// LastEvent replaces the caller's; empty: the caller's is kept.
	LastEvent string
	// BodyLength is the length of the body that follows.
	BodyLength int
}

// HandoffInfo holds what the gateway changes in a request that it hands off to another entry.
type HandoffInfo struct {
	// Remaining is the time that is left for the request.
	Remaining time.Duration
	// LastEvent replaces the caller's; empty: the caller's is kept.
	LastEvent string
	// BodyLength is the length of the body that follows.
	BodyLength int
	// Runs is the number of targets that may have run the request.
	Runs int
	// Version is the version of the configuration by which the request was accepted.
	Version int64
	// Origin is the value of HeaderHandoffOrigin; empty: none is sent.
	Origin string
	// Send is the value of HeaderHandoffSend.
	Send string
}

// AnswerHead holds what the head of a target's answer declares.
type AnswerHead struct {
	// ID is the id of the request that the answer belongs to.
	ID string
	// Target is the id of the server that answers; empty: not declared.
	Target string
	// NotRun: the target declares that it did not run the request.
	NotRun bool
	// Replaced: the server at this address is not the one that the request was meant for.
	Replaced bool
	// Limit is the rate of requests that the target declares it accepts.
	Limit dispatch.Limit
	// Brittleness is what the target declares of the rejections that it bears.
	Brittleness dispatch.Brittleness
	// Leaving: the target announces that it is about to stop.
	Leaving bool
	// Pause is how long this entry should send no requests to the target; 0: not declared.
	Pause time.Duration
}

// Platform translates between the platform's interfaces and the gateway's types.
type Platform interface {
	feed.Log
	// ReadEnvelope reads a caller's headers.
	ReadEnvelope(*fasthttp.RequestHeader) (Envelope, error)
	// AppendHead appends the request line and headers for a target.
	AppendHead(dst []byte, header *fasthttp.RequestHeader, send ForwardInfo) []byte
	// AppendHandoffHead appends the request line and headers for another entry.
	AppendHandoffHead(dst []byte, header *fasthttp.RequestHeader, handoff HandoffInfo) []byte
	// AppendHealthHead appends a request for a target at a health path, which it answers with its id.
	AppendHealthHead(dst []byte, path string, target *catalog.Target) []byte
	// ReadAnswerHead reads the head of a target's answer.
	ReadAnswerHead(status int, header http.Header) AnswerHead
	// DecodeConfiguration returns nil for operators' records that hold no configuration.
	DecodeConfiguration(feed.Record) (*catalog.Configuration, error)
	// DecodeOrder returns nil for operators' records that hold no roll-out order.
	DecodeOrder(feed.Record) (*rollout.Order, error)
	// PutStatus publishes the phase of a roll-out to the operators. An earlier phase never
	// replaces a later one.
	PutStatus(rollout.Order, rollout.Phase) error
	// DecodeTarget decodes a target's record in the registry.
	DecodeTarget(feed.Record) (catalog.Target, error)
	// Directory returns a handler that serves the list of entries, Ready one that reports
	// readiness.
	Directory(list func() []string, life time.Duration) fasthttp.RequestHandler
	Ready(ready func() bool) fasthttp.RequestHandler
}
