package ctl

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/outcome"
	"sycamoretrail/internal/operatorclient"
)

const (
	// tokenVariable names the environment variable with the organisation's token,
	// used if no flag gives the token.
	tokenVariable = "SYCAMORE_ORGANISATION_TOKEN"
	// answerMargin is the wait for the answer past the request's deadline;
	// answerTimeout is the whole wait if no deadline is given.
	answerMargin  = 10 * time.Second
	answerTimeout = 3 * time.Minute
)

type submission struct {
	entry, zone           string
	token, tokenFile      string
	model, prompt         string
	maxTokens             int
	service, method, path string
	body                  string
	tier, key             string
	deadlineMS            int
}

func (a *app) submitCommand() *cobra.Command {
	var s submission
	cmd := &cobra.Command{
		Use:   "submit",
		Short: "Send one request through the system as a caller would, and print the outcome",
		Long: `Asks which entry to use, sends one completion (--model, --prompt) or one service call
(--service, --path) there, and prints the outcome and the answer. The request is sent once.

Exit codes: 0 answered, 2 refused and not run, 3 unknown or ran in part, 4 no entry reached.`,
		Example: `  export SYCAMORE_ORGANISATION_TOKEN=...
  sycamorectl submit --model assistant --prompt "Where is the nearest free rack?" --tier rider
  sycamorectl submit --service reservations --path /slots/7`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return a.submit(s) },
	}
	f := cmd.Flags()
	f.StringVar(&s.entry, "entry", "", "callers' address of the entry to ask first (default: the first listed that answers)")
	f.StringVar(&s.zone, "zone", "", "availability zone to ask for")
	f.StringVar(&s.token, "organisation-token", "", "bearer token of the organisation; other users of the machine may see it, so prefer the file or "+tokenVariable)
	f.StringVar(&s.tokenFile, "organisation-token-file", "", "file with the token")
	f.StringVar(&s.model, "model", "", "model of a completion")
	f.StringVar(&s.prompt, "prompt", "", "prompt of a completion")
	f.IntVar(&s.maxTokens, "max-tokens", 64, "maximum number of tokens in the answer")
	f.StringVar(&s.service, "service", "", "service of a call")
	f.StringVar(&s.method, "method", fasthttp.MethodGet, "HTTP method of a service call")
	f.StringVar(&s.path, "path", "/", "path of a service call")
	f.StringVar(&s.body, "body", "", "file with the body of a service call, - for standard input")
	f.StringVar(&s.tier, "tier", "", "tier (default: the organisation's first)")
	f.IntVar(&s.deadlineMS, "deadline-ms", 0, "deadline in milliseconds (default: the tier's)")
	f.StringVar(&s.key, "idempotency-key", "", "key that identifies repeats of the request")
	cmd.MarkFlagsMutuallyExclusive("model", "service")
	cmd.MarkFlagsOneRequired("model", "service")
	cmd.MarkFlagsMutuallyExclusive("organisation-token", "organisation-token-file")
	return cmd
}

// submitResult is the JSON output of the submit command.
type submitResult struct {
	Entry      string `json:"entry"`
	HTTPStatus int    `json:"http_status"`
	RequestID  string `json:"request_id"`
	Outcome    string `json:"outcome"`
	Reason     string `json:"reason,omitempty"`
	RetryAfter string `json:"retry_after,omitempty"`
	Checksum   string `json:"checksum,omitempty"`
	Body       string `json:"body"`
}

func (a *app) submit(s submission) error {
	if err := a.readToken(&s); err != nil {
		return err
	}
	resolver, err := a.callersAddress(s.entry)
	if err != nil {
		return err
	}
	answer, err := resolve(resolver, s.zone)
	if err != nil {
		return err
	}
	if len(answer.Entries) == 0 || answer.IDPrefix == "" {
		return exit(exitRefused, "entry at %s returned no entry to use; see: sycamorectl status", resolver)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	address := answer.Entries[0].Address
	id := answer.IDPrefix + rand.Text()
	if err := a.fillRequest(req, address, id, s); err != nil {
		return err
	}
	return a.send(req, address, id, s.deadlineMS)
}

// readToken reads the organisation's token from a flag, a file or the
// environment.
func (a *app) readToken(s *submission) error {
	if s.tokenFile != "" {
		data, err := a.readFile(s.tokenFile)
		if err != nil {
			return err
		}
		s.token = strings.TrimSpace(string(data))
	}
	if s.token == "" {
		s.token = os.Getenv(tokenVariable)
	}
	if s.token == "" {
		return exit(exitFault, "no organisation token; set %s or give --organisation-token-file", tokenVariable)
	}
	return nil
}

// completion is the body of a completion request.
type completion struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (a *app) fillRequest(req *fasthttp.Request, address, id string, s submission) error {
	header := &req.Header
	header.Set(fasthttp.HeaderAuthorization, "Bearer "+s.token)
	header.Set(headerRequestID, id)
	setHeader(header, headerTier, s.tier)
	setHeader(header, headerKey, s.key)
	if s.deadlineMS > 0 {
		header.Set(headerDeadline, strconv.Itoa(s.deadlineMS))
	}
	if s.service != "" {
		header.SetMethod(s.method)
		req.SetRequestURI("http://" + address + pathServices + s.service + "/" + strings.TrimPrefix(s.path, "/"))
		return a.fillBody(req, s.body)
	}
	body, err := json.Marshal(completion{Model: s.model, Messages: []message{{Role: "user", Content: s.prompt}}, MaxTokens: s.maxTokens})
	if err != nil {
		return err
	}
	header.SetMethod(fasthttp.MethodPost)
	header.SetContentType("application/json")
	req.SetRequestURI("http://" + address + pathCompletions)
	req.SetBody(body)
	return nil
}

func setHeader(header *fasthttp.RequestHeader, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func (a *app) fillBody(req *fasthttp.Request, path string) error {
	if path == "" {
		return nil
	}
	data, err := a.readFile(path)
	if err != nil {
		return err
	}
	req.SetBody(data)
	return nil
}

// send sends the request once. If the answer is lost, the outcome is unknown,
// because the request may have run.
func (a *app) send(req *fasthttp.Request, address, id string, deadlineMS int) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	timeout := answerTimeout
	if deadlineMS > 0 {
		timeout = time.Duration(deadlineMS)*time.Millisecond + answerMargin
	}
	if err := callerHTTP().DoTimeout(req, resp, timeout); err != nil {
		err = operatorclient.CallError(address, err)
		if errors.Is(err, operatorclient.ErrNotSent) {
			return err
		}
		return exit(exitUnknown, "unknown: %v; request %s may have run; see: sycamorectl explain %s", err, id, id)
	}
	header := &resp.Header
	result := submitResult{
		Entry:      address,
		HTTPStatus: resp.StatusCode(),
		RequestID:  string(header.Peek(headerRequestID)),
		Outcome:    string(header.Peek(headerOutcome)),
		Reason:     string(header.Peek(headerReason)),
		RetryAfter: string(header.Peek(fasthttp.HeaderRetryAfter)),
		Checksum:   string(header.Peek(headerChecksum)),
		Body:       string(resp.Body()),
	}
	if err := a.print(result, func(w io.Writer) { writeSubmitResult(w, result) }); err != nil {
		return err
	}
	return exitQuietly(outcomeCode(result.Outcome))
}

func outcomeCode(value string) int {
	switch outcome.Outcome(value) {
	case outcome.Answered:
		return exitDone
	case outcome.NotRun:
		return exitRefused
	}
	return exitUnknown
}

func writeSubmitResult(w io.Writer, s submitResult) {
	fmt.Fprintf(w, "entry: %s\nstatus: %d\n", s.Entry, s.HTTPStatus)
	for _, field := range [][2]string{
		{headerRequestID, s.RequestID}, {headerOutcome, s.Outcome}, {headerReason, s.Reason},
		{fasthttp.HeaderRetryAfter, s.RetryAfter}, {headerChecksum, s.Checksum},
	} {
		if field[1] != "" {
			fmt.Fprintf(w, "%s: %s\n", field[0], field[1])
		}
	}
	fmt.Fprintf(w, "\n%s\n", s.Body)
}
