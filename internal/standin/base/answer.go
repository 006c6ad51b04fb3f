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

// HeaderNotAdmitted says that a request was provably not taken, and why.
const HeaderNotAdmitted = "X-Not-Admitted"

// Reasons in HeaderNotAdmitted.
const (
	NotAdmittedFull    = "full"
	NotAdmittedLeaving = "leaving"
)

// Problem is the body of every answer that is an error, in the shape that
// clients of OpenAI-compatible engines read.
type Problem struct {
	Error ProblemDetail `json:"error"`
}

// ProblemDetail says what is wrong.
type ProblemDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// Ready is the answer of /ready.
type Ready struct {
	State string `json:"state"`
}

// JSON answers with a status and a value.
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

// NotAdmitted answers that the request was not taken.
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

// DropConnection closes the caller's connection in place of an answer.
func DropConnection(ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

// PathValue returns a decoded part of the path. It is a copy: the router's own
// string lies in the request's buffer, which the next call overwrites.
func PathValue(ctx *fasthttp.RequestCtx, name string) string {
	raw, _ := ctx.UserValue(name).(string)
	value, err := url.PathUnescape(raw)
	if err != nil {
		value = raw
	}
	return strings.Clone(value)
}

// UintArgument reads a query argument; it answers 400 when it is no number.
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

// DecodeStrict reads one JSON value into target and takes no unknown field.
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
