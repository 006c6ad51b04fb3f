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
	"sycamoretrail/internal/ingress"
)

// refusalError is a refusal by the edge; nothing was submitted to the core.
type refusalError struct{ status outcome.Status }

func (e *refusalError) Error() string {
	return fmt.Sprintf("refused (%s): %s", e.status.Reason, e.status.Detail)
}

// statusOf returns the status that the caller receives for an error of a check.
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

// notReadyRetry is the retry delay sent by an entry that temporarily accepts no requests.
const notReadyRetry = time.Second

// refusedBeforeSubmit refuses a request because of this entry's own state, before
// the core has looked up its id.
//
// A caller that lost an answer may resend the request to an entry that is
// starting or full, while the request runs at its owner or at an entry to which
// the id was handed over; this holds even for an id with this entry's prefix.
// After "not run" the caller would send it under a new id, and it would run
// twice. The outcome is therefore "not run" only for a request that carries
// neither an id nor an idempotency key, which cannot have been sent before.
func refusedBeforeSubmit(ctx *fasthttp.RequestCtx, reason outcome.Reason, detail string) error {
	status := outcome.Refused(reason, notReadyRetry, detail)
	if maybeResent(&ctx.Request.Header) {
		status.Outcome = outcome.Unknown
	}
	return &refusalError{status}
}

// maybeResent reports whether a request may have been sent before, judging by its
// header. An idempotency key counts even if it has no effect on the request:
// without a document the edge cannot decide that.
func maybeResent(header *fasthttp.RequestHeader) bool {
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

// identify makes the checks that all calls share: a document in force, the
// header size, and the organisation.
func (s *Server) identify(ctx *fasthttp.RequestCtx) (*call, error) {
	view := s.cfg.View()
	if view.Document == nil || view.State == message.Starting || view.State == message.Stopped {
		return nil, refusedBeforeSubmit(ctx, outcome.ReasonNotReady, "this entry is "+view.State.String())
	}
	if size := len(ctx.Request.Header.RawHeaders()); size > view.Document.Limits.HeaderBytes {
		return nil, refused(outcome.ReasonTooLarge, "the header has %d bytes; limits.header_bytes is %d", size, view.Document.Limits.HeaderBytes)
	}
	if err := ingress.CheckHeaderNames(&ctx.Request.Header); err != nil {
		return nil, refused(outcome.ReasonMalformed, "%v", err)
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

// describe returns a request with the fields that its header determines; model is
// the name of a model or a service.
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

// requestID returns the caller's id, or a new one that this entry owns.
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
		return "", refusedBeforeSubmit(c.ctx, outcome.ReasonNotReady, "this entry hands out no request ids now")
	}
	var random [suffixBytes]byte
	_, _ = rand.Read(random[:])
	return c.view.Prefix.ID(hex.EncodeToString(random[:])), nil
}

func (c *call) chooseTier() (request.Tier, error) {
	name := c.org.defaultTier
	if asked := c.ctx.Request.Header.Peek(headerTier); len(asked) > 0 {
		name = string(asked)
	}
	rank, allowed := c.org.tiers[name]
	if !allowed {
		return 0, refused(outcome.ReasonTierNotAllowed, "the organisation may not use the tier %q", name)
	}
	// The name becomes a metric label. Setting it only after the check keeps a
	// caller from creating a series for each name that it invents.
	c.tier = name
	return rank, nil
}

// setTimes sets the deadlines from the header, or by default from the tier.
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

// idempotentHeader parses X-Idempotent; it returns otherwise if the field is absent.
func (c *call) idempotentHeader(otherwise bool) (bool, error) {
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

// fingerprint hashes the organisation, the model and the parts of the body, without
// copying any of them.
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
