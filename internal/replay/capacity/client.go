package capacity

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/answerhead"
)

const (
	clientDialTimeout = 2 * time.Second
	// clientConnections limits the connections to one address.
	clientConnections = 8192
	clientIdle        = 10 * time.Second
	bytesPerToken     = 4
	completionPath    = "/v1/chat/completions"
	jsonType          = "application/json"
	// requestTimeout is sent to entries as both deadlines, so that the measurement covers
	// the cost of the path and not the refusal policy.
	requestTimeout = deadlineMS * time.Millisecond
)

// newHTTP returns a client that does not retry requests.
func newHTTP() *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "sycamore-replay",
		Dial:                      func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, clientDialTimeout) },
		MaxConnsPerHost:           clientConnections,
		MaxIdleConnDuration:       clientIdle,
		MaxIdemponentCallAttempts: 1,
		ConfigureClient:           answerhead.Configure,
	}
}

// call is one request to an entry or directly to a target.
type call struct {
	address string
	method  string
	path    string
	// token identifies the organisation at an entry; empty at a target.
	token string
	// key is the idempotency key, or empty.
	key  string
	body []byte
}

func (c *call) form(req *fasthttp.Request) {
	req.SetRequestURI("http://" + c.address + c.path)
	req.Header.SetMethod(c.method)
	if c.token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
		limit := strconv.FormatInt(requestTimeout.Milliseconds(), 10)
		req.Header.Set("X-Deadline-Ms", limit)
		req.Header.Set("X-First-Token-Ms", limit)
	}
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	if len(c.body) > 0 {
		req.Header.SetContentType(jsonType)
		req.SetBodyRaw(c.body)
	}
}

// do sends the call and passes the answer, whose body is a stream, to read.
func (c *call) do(client *fasthttp.Client, read func(*fasthttp.Response) error) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.form(req)
	resp.StreamBody = true
	if err := client.DoTimeout(req, resp, requestTimeout); err != nil {
		return fmt.Errorf("call %s: %w", c.address, err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if err := read(resp); err != nil {
		resp.SetConnectionClose()
		return fmt.Errorf("answer of %s: %w", c.address, err)
	}
	return nil
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionBody returns the body of a streamed completion. The number makes each
// prompt unique, so that it is not served from a prefix cache.
func completionBody(model string, number, promptTokens, answerTokens int) ([]byte, error) {
	text := fmt.Sprintf("%08d ", number)
	if more := promptTokens*bytesPerToken - len(text); more > 0 {
		text += strings.Repeat("word", more/bytesPerToken)
	}
	body := chatBody{Model: model, Stream: true, MaxTokens: answerTokens, Messages: []chatMessage{{Role: "user", Content: text}}}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("form completion: %w", err)
	}
	return data, nil
}
