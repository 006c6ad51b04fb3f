package live

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/replay/trace"
)

// Names of the documented headers.
const (
	headerRequestID   = "X-Request-Id"
	headerKey         = "Idempotency-Key"
	headerTier        = "X-Tier"
	headerDeadline    = "X-Deadline-Ms"
	headerFirstToken  = "X-First-Token-Ms"
	headerIdempotent  = "X-Idempotent"
	headerStreamToken = "X-Stream-Token"
	headerOutcome     = "X-Outcome"
	headerReason      = "X-Reason"
	headerChecksum    = "X-Checksum"
)

// streamsPath is followed by a stream's token.
const streamsPath = "/v1/streams/"

// maxRedirects limits how many redirects of entries are followed.
const maxRedirects = 4

// errRedirects is returned for too many redirects and for an invalid Location.
var errRedirects = errors.New("redirected to no answer")

// errNoOutcome is returned for an answer without the outcome of the request.
var errNoOutcome = errors.New("answer says no outcome")

// refusal is the JSON body of every refusal.
type refusal struct {
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	Detail       string          `json:"detail"`
}

// exchange is one request in flight, over one or more entries.
type exchange struct {
	http  *fasthttp.Client
	line  *trace.Line
	id    string
	key   string
	token string
	body  []byte
	// stream is the stream token to attach with, empty until an entry returns one.
	stream string
	answer *answer
	sent   time.Time
	ended  time.Time
}

// send sends the request to an entry, or attaches to its stream there, follows
// redirects and returns the final status. After an error the caller tries another
// entry.
func (x *exchange) send(address string, until time.Time) (outcome.Status, error) {
	for range maxRedirects {
		status, next, err := x.sendOnce(address, until)
		if err != nil || next == "" {
			return status, err
		}
		address = next
	}
	return outcome.Status{}, errRedirects
}

// sendOnce sends the request to one entry. If the entry redirects, next is the address
// of the other entry.
func (x *exchange) sendOnce(address string, until time.Time) (status outcome.Status, next string, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	x.form(req, address)
	resp.StreamBody = true
	if err := x.http.DoDeadline(req, resp, until); err != nil {
		return outcome.Status{}, "", fmt.Errorf("ask %s: %w", address, err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() == fasthttp.StatusSeeOther {
		next, err = x.redirect(string(resp.Header.Peek(fasthttp.HeaderLocation)))
		return outcome.Status{}, next, err
	}
	status, err = x.read(resp)
	if err != nil {
		// The rest of a truncated answer must not be read by the next request.
		resp.SetConnectionClose()
		return outcome.Status{}, "", fmt.Errorf("answer of %s: %w", address, err)
	}
	x.ended = time.Now()
	return status, "", nil
}

// redirect stores the stream token of a Location and returns the entry's address.
func (x *exchange) redirect(location string) (string, error) {
	target, err := url.Parse(location)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errRedirects, err)
	}
	token, found := strings.CutPrefix(target.Path, streamsPath)
	if !found || target.Host == "" {
		return "", fmt.Errorf("%w: to %q", errRedirects, location)
	}
	x.stream = token
	return target.Host, nil
}

// form writes the request: the complete request, or an attach once there is a
// stream token.
func (x *exchange) form(req *fasthttp.Request, address string) {
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+x.token)
	req.Header.Set(headerRequestID, x.id)
	if x.stream != "" {
		query := "?from=" + strconv.Itoa(x.answer.next)
		req.SetRequestURI("http://" + address + streamsPath + url.PathEscape(x.stream) + query)
		return
	}
	path := "/v1/chat/completions"
	method := fasthttp.MethodPost
	if x.line.Kind == trace.Service {
		path = "/v1/services/" + x.line.Service + "/" + x.line.Path
		method = x.line.Method
	}
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.Set(headerTier, x.line.Tier)
	if x.key != "" {
		req.Header.Set(headerKey, x.key)
	}
	if x.line.DeadlineMS > 0 {
		req.Header.Set(headerDeadline, x.remaining(x.line.DeadlineMS))
	}
	if x.line.FirstTokenMS > 0 {
		req.Header.Set(headerFirstToken, x.remaining(x.line.FirstTokenMS))
	}
	if x.line.Kind == trace.Engine {
		req.Header.Set(headerIdempotent, strconv.FormatBool(x.line.Idempotent))
	}
	if method != fasthttp.MethodGet {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(x.body)
	}
}

// remaining returns the time left of a bound, in ms. It counts from the first
// attempt, so that trying another entry does not extend the caller's bounds.
func (x *exchange) remaining(boundMS int64) string {
	left := boundMS - time.Since(x.sent).Milliseconds()
	return strconv.FormatInt(max(left, 1), 10)
}

// read reads an entry's answer and returns the final status.
func (x *exchange) read(resp *fasthttp.Response) (outcome.Status, error) {
	if token := resp.Header.Peek(headerStreamToken); len(token) > 0 && x.line.Kind == trace.Engine {
		x.stream = string(token)
	}
	if resp.StatusCode() == fasthttp.StatusOK && x.line.Kind == trace.Engine {
		mark, err := x.answer.follow(resp.BodyStream())
		if err != nil {
			return outcome.Status{}, err
		}
		return outcome.Status{Outcome: mark.Outcome, Reason: mark.Reason, RetryAfter: retryAfter(mark.RetryAfterMS)}, nil
	}
	body, err := readAll(resp)
	if err != nil {
		return outcome.Status{}, err
	}
	declared := outcome.Outcome(resp.Header.Peek(headerOutcome))
	if declared == outcome.Answered {
		x.checkComplete(resp, body)
		return outcome.Complete(), nil
	}
	var r refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Outcome == "" {
		return outcome.Status{}, fmt.Errorf("%w: status %d", errNoOutcome, resp.StatusCode())
	}
	return outcome.Status{Outcome: r.Outcome, Reason: r.Reason, RetryAfter: retryAfter(r.RetryAfterMS), Detail: r.Detail}, nil
}

// checkComplete checks an answer that is not streamed.
func (x *exchange) checkComplete(resp *fasthttp.Response, body []byte) {
	now := time.Now()
	x.answer.first, x.answer.last = now, now
	// Stand-ins echo the request's id, so an empty body or that of another request
	// is detected even if its checksum is correct.
	id := string(resp.Header.Peek(headerRequestID))
	if !x.answer.own(id) || !bytes.Contains(body, []byte(id)) {
		x.answer.setFault(faultOtherRequest)
	}
	digest := xxhash.New()
	_, _ = digest.Write(body)
	if sum := string(resp.Header.Peek(headerChecksum)); sum != checksum(digest) {
		x.answer.setFault(faultChecksum)
	}
}

// entryFault returns why an entry gave no final outcome, without addresses.
func entryFault(err error) string {
	switch {
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, fasthttp.ErrDialTimeout):
		return "timeout"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "connection refused"
	case errors.Is(err, fasthttp.ErrConnectionClosed), errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	case errors.Is(err, errTruncated):
		return errTruncated.Error()
	case errors.Is(err, errNoOutcome):
		return errNoOutcome.Error()
	case errors.Is(err, errRedirects):
		return errRedirects.Error()
	}
	return "other: " + err.Error()
}

func readAll(resp *fasthttp.Response) ([]byte, error) {
	body, err := resp.BodyUncompressed()
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return append([]byte(nil), body...), nil
}

func retryAfter(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
