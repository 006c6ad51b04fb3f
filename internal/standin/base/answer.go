package base

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// HeaderNotAdmitted is the header of answers to requests that were certainly not
// run. Its value is the reason.
const HeaderNotAdmitted = "X-Not-Admitted"

// Values of HeaderNotAdmitted.
const (
	NotAdmittedFull    = "full"
	NotAdmittedLeaving = "leaving"
)

// Problem is the body of every error answer, in the format that clients of
// OpenAI-compatible engines expect.
type Problem struct {
	Error ProblemDetail `json:"error"`
}

// ProblemDetail describes an error.
type ProblemDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// Ready is the body of the answer to /ready.
type Ready struct {
	State string `json:"state"`
}

// JSON answers with a status and a value encoded as JSON.
func JSON(ctx *fasthttp.RequestCtx, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// Fail answers with a status and a Problem.
func Fail(ctx *fasthttp.RequestCtx, status int, message string) {
	JSON(ctx, status, Problem{Error: ProblemDetail{Message: message, Type: fasthttp.StatusMessage(status)}})
}

// NotAdmitted answers that the request was not admitted.
func NotAdmitted(ctx *fasthttp.RequestCtx, reason string) {
	Fail(ctx, fasthttp.StatusServiceUnavailable, "not admitted: "+reason)
	ctx.Response.Header.Set(HeaderNotAdmitted, reason)
}

// AnswerReady answers /ready.
func AnswerReady(ctx *fasthttp.RequestCtx, f Faults) {
	if f.Leaving {
		JSON(ctx, fasthttp.StatusServiceUnavailable, Ready{State: "leaving"})
		return
	}
	JSON(ctx, fasthttp.StatusOK, Ready{State: "ready"})
}

// DropConnection closes the caller's connection without an answer.
func DropConnection(ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

// PathValue returns a decoded path parameter. It is a copy, because the router's
// string refers to the request buffer, which the next call overwrites.
func PathValue(ctx *fasthttp.RequestCtx, name string) string {
	raw, _ := ctx.UserValue(name).(string)
	value, err := url.PathUnescape(raw)
	if err != nil {
		value = raw
	}
	return strings.Clone(value)
}

// UintArgument returns a query argument, or the value absent if there is none. It
// answers 400 and returns false if the argument is not a number.
func UintArgument(ctx *fasthttp.RequestCtx, name string, absent int) (int, bool) {
	if !ctx.QueryArgs().Has(name) {
		return absent, true
	}
	value, err := ctx.QueryArgs().GetUint(name)
	if err != nil {
		Fail(ctx, fasthttp.StatusBadRequest, name+" is not a number")
		return 0, false
	}
	return value, true
}

// answerTooMany answers 429 with Retry-After in whole seconds, at least one.
func answerTooMany(ctx *fasthttp.RequestCtx, wait time.Duration) {
	Fail(ctx, fasthttp.StatusTooManyRequests, "over the rate")
	seconds := max(1, int(math.Ceil(wait.Seconds())))
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
}

// DecodeStrict decodes exactly one JSON value into target and rejects unknown
// fields.
func DecodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one value")
	}
	return nil
}
