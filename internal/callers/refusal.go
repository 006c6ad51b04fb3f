package callers

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/outcome"
)

// Header fields of the interface towards callers.
const (
	headerRequestID   = "X-Request-Id"
	headerStreamToken = "X-Stream-Token"
	headerOutcome     = "X-Outcome"
	headerReason      = "X-Reason"
	headerChecksum    = "X-Checksum"
	headerTier        = "X-Tier"
	headerDeadline    = "X-Deadline-Ms"
	headerFirstToken  = "X-First-Token-Ms"
	headerIdempotent  = "X-Idempotent"
	headerKey         = "Idempotency-Key"

	jsonType        = "application/json"
	eventStreamType = "text/event-stream"
)

// Ran reports in a refusal whether the request ran.
type Ran string

const (
	RanNo      Ran = "no"
	RanInPart  Ran = "in_part"
	RanUnknown Ran = "unknown"
)

// Refusal is the body of a response that does not carry the complete answer.
type Refusal struct {
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason"`
	Ran          Ran             `json:"ran"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	RequestID    string          `json:"request_id"`
	Detail       string          `json:"detail"`
}

func ran(o outcome.Outcome) Ran {
	switch o {
	case outcome.NotRun:
		return RanNo
	case outcome.RanInPart:
		return RanInPart
	}
	return RanUnknown
}

// statusCode returns the HTTP status code of a refusal.
func statusCode(status outcome.Status) int {
	if status.Reason == outcome.ReasonDeadlinePassed {
		return fasthttp.StatusGatewayTimeout
	}
	if status.Reason == outcome.ReasonDuplicateKey {
		return fasthttp.StatusConflict
	}
	if status.Outcome != outcome.NotRun {
		return fasthttp.StatusBadGateway
	}
	switch status.Reason {
	case outcome.ReasonMalformed, outcome.ReasonTierNotAllowed, outcome.ReasonQuarantined,
		outcome.ReasonIDExpired, outcome.ReasonVoided:
		return fasthttp.StatusBadRequest
	case outcome.ReasonUnauthorised:
		return fasthttp.StatusUnauthorized
	case outcome.ReasonUnknownModel, outcome.ReasonUnknownService:
		return fasthttp.StatusNotFound
	case outcome.ReasonTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case outcome.ReasonOrganisationLimit:
		return fasthttp.StatusTooManyRequests
	}
	return fasthttp.StatusServiceUnavailable
}

// refuse answers with a refusal.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, code int, id string, status outcome.Status) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(code)
	ctx.SetContentType(jsonType)
	ctx.Response.Header.Set(headerOutcome, string(status.Outcome))
	ctx.Response.Header.Set(headerReason, string(status.Reason))
	if id != "" {
		ctx.Response.Header.Set(headerRequestID, id)
	}
	if code == fasthttp.StatusUnauthorized {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	if status.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(ceilSeconds(status.RetryAfter), 10))
	}
	ctx.SetBody(refusalBody(id, status))
}

func refusalBody(id string, status outcome.Status) []byte {
	body, err := json.Marshal(Refusal{
		Outcome: status.Outcome, Reason: status.Reason, Ran: ran(status.Outcome),
		RetryAfterMS: status.RetryAfter.Milliseconds(), RequestID: id, Detail: status.Detail,
	})
	if err != nil {
		return nil
	}
	return body
}

// ceilSeconds rounds up, since Retry-After takes whole seconds only.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// unreadableStatus returns the refusal for an error of reading a request.
func unreadableStatus(err error) (int, outcome.Status) {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge, outcome.Refused(outcome.ReasonTooLarge, 0, "the body is larger than limits.body_bytes")
	case errors.As(err, &small):
		return fasthttp.StatusRequestEntityTooLarge, outcome.Refused(outcome.ReasonTooLarge, 0, "the header is larger than limits.header_bytes")
	case errors.As(err, &network) && network.Timeout():
		return fasthttp.StatusRequestTimeout, outcome.Refused(outcome.ReasonMalformed, 0, "the request did not arrive in time")
	}
	return fasthttp.StatusBadRequest, outcome.Refused(outcome.ReasonMalformed, 0, "the request can't be read as HTTP")
}
