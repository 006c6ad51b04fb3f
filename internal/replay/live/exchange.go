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

// Names of documented headers.
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

// redirects bounds how often an entry may name another one.
const redirects = 4

// errRedirects: an entry named another one in a way that leads nowhere.
var errRedirects = errors.New("redirected to no answer")

// errNoOutcome: an answer that does not say what became of the request.
var errNoOutcome = errors.New("answer says no outcome")

// refusal is the JSON body of every refusal.
type refusal struct {
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	Detail       string          `json:"detail"`
}

// exchange is one request under way, over as many entries as it takes.
type exchange struct {
	http  *fasthttp.Client
	line  *trace.Line
	id    string
	key   string
	token string
	body  []byte
	// stream is the token to attach with, once an entry gave it.
	stream string
	answer *answer
	sent   time.Time
	ended  time.Time
}

// ask sends the request to an entry, or attaches to its stream there, and
// returns the final status. An error means that another entry is to be asked.
func (x *exchange) ask(address string, until time.Time) (outcome.Status, error) {
	for range redirects {
		status, next, err := x.once(address, until)
		if err != nil || next == "" {
			return status, err
		}
		address = next
	}
	return outcome.Status{}, errRedirects
}

// once asks one entry; next is the entry that it names instead of answering.
func (x *exchange) once(address string, until time.Time) (status outcome.Status, next string, err error) {
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
		// What is left of a broken answer must not reach the next request.
		resp.SetConnectionClose()
		return outcome.Status{}, "", fmt.Errorf("answer of %s: %w", address, err)
	}
	x.ended = time.Now()
	return status, "", nil
}

// redirect takes the entry and the stream's token from a Location.
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

// form writes the request: the first time whole, later an attach by token.
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

// remaining is what is left of a bound, in ms: an entry that is asked after
// another must not begin the caller's time anew.
func (x *exchange) remaining(boundMS int64) string {
	left := boundMS - time.Since(x.sent).Milliseconds()
	return strconv.FormatInt(max(left, 1), 10)
}

// read takes an entry's answer apart.
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
	said := outcome.Outcome(resp.Header.Peek(headerOutcome))
	if said == outcome.Answered {
		x.checkWhole(resp, body)
		return outcome.Complete(), nil
	}
	var r refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Outcome == "" {
		return outcome.Status{}, fmt.Errorf("%w: status %d", errNoOutcome, resp.StatusCode())
	}
	return outcome.Status{Outcome: r.Outcome, Reason: r.Reason, RetryAfter: retryAfter(r.RetryAfterMS), Detail: r.Detail}, nil
}

// checkWhole checks an answer that came in one piece.
func (x *exchange) checkWhole(resp *fasthttp.Response, body []byte) {
	now := time.Now()
	x.answer.first, x.answer.last = now, now
	// Stand-ins echo the request's id, so an empty or foreign body shows even if
	// its checksum is right.
	id := string(resp.Header.Peek(headerRequestID))
	if !x.answer.own(id) || !bytes.Contains(body, []byte(id)) {
		x.answer.setFault(faultForeign)
	}
	digest := xxhash.New()
	_, _ = digest.Write(body)
	if sum := string(resp.Header.Peek(headerChecksum)); sum != checksum(digest) {
		x.answer.setFault(faultChecksum)
	}
}

// entryFault names why an entry gave no final word, without addresses.
func entryFault(err error) string {
	switch {
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, fasthttp.ErrDialTimeout):
		return "timeout"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "connection refused"
	case errors.Is(err, fasthttp.ErrConnectionClosed), errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	case errors.Is(err, errCut):
		return errCut.Error()
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
