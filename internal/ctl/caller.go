package ctl

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/answerhead"
	"sycamoretrail/internal/operatorclient"
)

// Header fields of the callers' interface.
const (
	headerRequestID  = "X-Request-Id"
	headerOutcome    = "X-Outcome"
	headerReason     = "X-Reason"
	headerChecksum   = "X-Checksum"
	headerTier       = "X-Tier"
	headerDeadline   = "X-Deadline-Ms"
	headerKey        = "Idempotency-Key"
	pathEntries      = "/v1/entries"
	pathCompletions  = "/v1/chat/completions"
	pathServices     = "/v1/services/"
	resolveTimeout   = 5 * time.Second
	maxCallersAnswer = 64 << 20
)

// entriesAnswer answers GET /v1/entries.
type entriesAnswer struct {
	Entries   []entryRow `json:"entries"`
	GoodForMS int64      `json:"good_for_ms"`
	IDPrefix  string     `json:"id_prefix"`
}

type entryRow struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// callersAddress returns the given address or, where it is empty, the caller
// address of the first entry that answers.
func (a *app) callersAddress(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	client, err := a.client()
	if err != nil {
		return "", err
	}
	status, err := client.Status()
	if err != nil {
		return "", err
	}
	if status.Entry.CallerAddress == "" {
		return "", exit(exitUnreachable, "the entry reports no callers' address; give --entry IP:PORT")
	}
	return status.Entry.CallerAddress, nil
}

// resolve requests from the entry at address the entries that a caller in the
// zone should use.
func resolve(address, zone string) (entriesAnswer, error) {
	var answer entriesAnswer
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + pathEntries + "?zone=" + url.QueryEscape(zone))
	if err := callerHTTP().DoTimeout(req, resp, resolveTimeout); err != nil {
		return answer, fmt.Errorf("resolve entries: %w", operatorclient.CallError(address, err))
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		return answer, exit(exitRefused, "entry at %s reports no ready entry; see: sycamorectl status", address)
	}
	if err := json.Unmarshal(resp.Body(), &answer); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return answer, exit(exitFault, "what answers at %s is not the callers' interface of an entry (status %d); give its callers_address", address, resp.StatusCode())
	}
	return answer, nil
}

// callerHTTP returns an HTTP client that never retries, because a call may not
// be repeatable.
func callerHTTP() *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "sycamorectl",
		MaxResponseBodySize:       maxCallersAnswer,
		MaxIdemponentCallAttempts: 1,
		DialDualStack:             true,
		ConfigureClient:           answerhead.Configure,
	}
}
