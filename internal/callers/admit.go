package callers

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/core/request"
)

// refusalError is a refusal that the edge decided; the core got nothing.
type refusalError struct{ status outcome.Status }

func (e *refusalError) Error() string {
	return fmt.Sprintf("refused (%s): %s", e.status.Reason, e.status.Detail)
}

// statusOf is the status that an error of a check gives its caller.
func statusOf(err error) outcome.Status {
	var r *refusalError
	if errors.As(err, &r) {
		return r.status
	}
	return outcome.Refused(outcome.ReasonMalformed, 0, err.Error())
}

func refused(reason outcome.Reason, format string, args ...any) error {
	return &refusalError{outcome.Refused(reason, 0, fmt.Sprintf(format, args...))}
}

// notReadyRetry is the advice of an entry that can take no request for a moment.
const notReadyRetry = time.Second

// refusedUnasked refuses a request for this entry's own state, before the core
// was asked about its id.
//
// Failure: a caller lost an answer and sends the request again, to an entry that
// starts or is full. The request may be running at its owner, or at a third
// entry to which the id was given up, even an id of this entry's own prefix.
// Symptom of "not run" here: the caller sends it under a new id, and it runs
// twice. So "not run" is said only where there was no earlier sending to ask
// for: of a request that came with neither an id nor a key of its own.
func refusedUnasked(ctx *fasthttp.RequestCtx, reason outcome.Reason, detail string) error {
	status := outcome.Refused(reason, notReadyRetry, detail)
	if sentBefore(&ctx.Request.Header) {
		status.Outcome = outcome.Unknown
	}
	return &refusalError{status}
}

// sentBefore reports whether a request may have been sent before, as far as its
// header tells. A key counts although it may not bind the request: without a
// document the edge can't tell.
func sentBefore(header *fasthttp.RequestHeader) bool {
	return len(header.Peek(headerRequestID)) > 0 || len(header.Peek(headerKey)) > 0
}

// call is a request that is being checked.
type call struct {
	ctx  *fasthttp.RequestCtx
	view *entry.View
	ix   *index
	org  *organisation
	tier string
	id   ident.RequestID
}

// identify checks what all calls share: a document in force, header size, and
// the organisation.
func (s *Server) identify(ctx *fasthttp.RequestCtx) (*call, error) {
	view := s.cfg.View()
	if view.Document == nil || view.State == message.Starting || view.State == message.Stopped {
		return nil, refusedUnasked(ctx, outcome.ReasonNotReady, "this entry is "+view.State.String())
	}
	if size := len(ctx.Request.Header.RawHeaders()); size > view.Document.Limits.HeaderBytes {
		return nil, refused(outcome.ReasonTooLarge, "the header has %d bytes; limits.header_bytes is %d", size, view.Document.Limits.HeaderBytes)
	}
	c := &call{ctx: ctx, view: view, ix: s.indexFor(view)}
	token, found := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), []byte("Bearer "))
	if !found {
		return nil, refused(outcome.ReasonUnauthorised, "send Authorization: Bearer and the organisation's key")
	}
	if c.org = c.ix.organisationOf(token); c.org == nil {
		return nil, refused(outcome.ReasonUnauthorised, "no organisation has this key")
	}
	return c, nil
}

// describe forms the part of a request that its header determines; model is the
// name of a model or a service.
func (c *call) describe(now time.Time, model string) (request.Request, error) {
	req := request.Request{Organisation: c.org.name, Model: model, Idempotent: true, Arrived: now}
	var err error
	if req.ID, err = c.requestID(); err != nil {
		return req, err
	}
	c.id = req.ID
	if req.Tier, err = c.chooseTier(); err != nil {
		return req, err
	}
	if err = c.setTimes(&req); err != nil {
		return req, err
	}
	req.Key = c.keyHash()
	return req, nil
}

const suffixBytes = 12

// requestID takes the caller's id, or forms one that this entry owns.
func (c *call) requestID() (ident.RequestID, error) {
	given := c.ctx.Request.Header.Peek(headerRequestID)
	if len(given) > 0 {
		id := ident.RequestID(given)
		if _, err := ident.Parse(id); err != nil {
			return "", refused(outcome.ReasonMalformed, "X-Request-Id: %v", err)
		}
		return id, nil
	}
	if c.view.Prefix == "" {
		return "", refusedUnasked(c.ctx, outcome.ReasonNotReady, "this entry hands out no request ids now")
	}
	var random [suffixBytes]byte
	_, _ = rand.Read(random[:])
	return c.view.Prefix.ID(hex.EncodeToString(random[:])), nil
}

func (c *call) chooseTier() (request.Tier, error) {
	name := c.org.first
	if asked := c.ctx.Request.Header.Peek(headerTier); len(asked) > 0 {
		name = string(asked)
	}
	rank, allowed := c.org.tiers[name]
	if !allowed {
		return 0, refused(outcome.ReasonTierNotAllowed, "the organisation may not use the tier %q", name)
	}
	// Set only now: the name goes into the metrics, which would otherwise grow by
	// a series for each text that a caller makes up.
	c.tier = name
	return rank, nil
}

// setTimes sets the deadlines from the header, else from the tier.
func (c *call) setTimes(req *request.Request) error {
	tier := &c.view.Document.Tiers[req.Tier]
	longest := c.view.Document.Limits.DeadlineMS
	deadline, err := c.milliseconds(headerDeadline, tier.DeadlineMS, longest)
	if err != nil {
		return err
	}
	first, err := c.milliseconds(headerFirstToken, tier.FirstTokenMS, longest)
	if err != nil {
		return err
	}
	req.Deadline = req.Arrived.Add(document.Milliseconds(deadline))
	if first > 0 {
		req.FirstTokenBy = req.Arrived.Add(document.Milliseconds(first))
	}
	return nil
}

func (c *call) milliseconds(header string, otherwise, longest int) (int, error) {
	given := c.ctx.Request.Header.Peek(header)
	if len(given) == 0 {
		return otherwise, nil
	}
	ms, err := strconv.Atoi(string(given))
	if err != nil || ms <= 0 {
		return 0, refused(outcome.ReasonMalformed, "%s is not a positive number of milliseconds", header)
	}
	if ms > longest {
		return 0, refused(outcome.ReasonMalformed, "%s is above limits.deadline_ms, %d", header, longest)
	}
	return ms, nil
}

func (c *call) keyHash() request.KeyHash {
	key := c.ctx.Request.Header.Peek(headerKey)
	if len(key) == 0 {
		return ""
	}
	digest := sha256.New()
	_, _ = digest.Write([]byte(c.org.name))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(key)
	return request.KeyHash(hex.EncodeToString(digest.Sum(nil)))
}

// idempotentMark reads X-Idempotent; otherwise holds when it is absent.
func (c *call) idempotentMark(otherwise bool) (bool, error) {
	switch string(c.ctx.Request.Header.Peek(headerIdempotent)) {
	case "":
		return otherwise, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, refused(outcome.ReasonMalformed, "X-Idempotent is neither true nor false")
}

// fingerprint hashes what a request asks for, its body in one or more parts, none
// of which is copied.
func fingerprint(organisation, model string, body ...[]byte) request.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(organisation)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	for _, part := range body {
		_, _ = digest.Write(part)
	}
	return request.Fingerprint(digest.Sum64())
}
