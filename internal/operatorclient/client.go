// Package operatorclient is the HTTP client of the operators' interface of
// entries, for sycamorectl and the console. A read tries the listed entries in
// order until one answers. Error messages include the remedy.
package operatorclient

import (
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/answerhead"
	"sycamoretrail/internal/operators/api"
)

const (
	// DefaultTimeout bounds one call to one entry. It is longer than an entry
	// waits for the result of a publication.
	DefaultTimeout = 15 * time.Second
	// dialTimeout is short, so that an entry whose instance is unreachable does not
	// delay the call to the next in the list.
	dialTimeout = 2 * time.Second
	// maxAnswer bounds the body of one answer, in bytes. A document is at most 1 MiB.
	maxAnswer = 16 << 20
	bearer    = "Bearer "
	jsonType  = "application/json"
)

// Options configures a Client.
type Options struct {
	// Entries are operators' addresses (IP:port), tried in this order.
	Entries []string
	// Token is the operators' bearer token.
	Token string
	// Timeout bounds one call to one entry; zero means DefaultTimeout.
	Timeout time.Duration
}

// Client calls entries. It is safe for concurrent use.
type Client struct {
	entries []string
	token   string
	timeout time.Duration
	http    *fasthttp.Client
}

// New returns a client.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	return &Client{
		entries: options.Entries,
		token:   options.Token,
		timeout: options.Timeout,
		http:    newHTTP(options.Timeout),
	}
}

func newHTTP(timeout time.Duration) *fasthttp.Client {
	return &fasthttp.Client{
		Name: "sycamoretrail",
		Dial: func(address string) (net.Conn, error) {
			return fasthttp.DialDualStackTimeout(address, dialTimeout)
		},
		ReadTimeout:         timeout,
		WriteTimeout:        timeout,
		MaxResponseBodySize: maxAnswer,
		ConfigureClient:     answerhead.Configure,
		// The Client itself decides which calls are retried, and at which entry.
		MaxIdemponentCallAttempts: 1,
	}
}

// WithToken returns a client of the same entries that uses another token. Both
// clients share their connections.
func (c *Client) WithToken(token string) *Client {
	other := *c
	other.token = token
	return &other
}

// At returns a client that calls only the entry at the address.
func (c *Client) At(address string) *Client {
	other := *c
	other.entries = []string{address}
	return &other
}

// Entries returns the addresses in the order in which they are tried.
func (c *Client) Entries() []string { return c.entries }

// Status reads the state of the first entry that answers.
func (c *Client) Status() (api.Status, error) { return get[api.Status](c, api.PathStatus) }

// Targets reads the targets from the first entry that answers.
func (c *Client) Targets() (api.Targets, error) { return get[api.Targets](c, api.PathTargets) }

// Floors reads the tier floors in force from the first entry that answers.
func (c *Client) Floors() (api.Floors, error) { return get[api.Floors](c, api.PathFloors) }

// Document reads the document in force from the first entry that answers.
func (c *Client) Document() (api.Document, error) { return get[api.Document](c, api.PathDocument) }

// Explain reads the record of a request from the first entry that answers.
func (c *Client) Explain(id string) (api.Explanation, error) {
	return get[api.Explanation](c, api.PathExplain+"?id="+url.QueryEscape(id))
}

// Drain begins a planned stop of the entry at the address.
func (c *Client) Drain(address string) (api.Drain, error) {
	return callEntry[api.Drain](c, address, fasthttp.MethodPost, api.PathDrain, nil)
}

// SetLogLevel changes the log level of the entry at the address.
func (c *Client) SetLogLevel(address, level string) (api.LogLevel, error) {
	body, err := json.Marshal(api.LogLevel{Level: level})
	if err != nil {
		return api.LogLevel{}, err
	}
	return callEntry[api.LogLevel](c, address, fasthttp.MethodPost, api.PathLogLevel, body)
}

// get reads from the first entry that answers. An error that other entries would
// return too, such as for a wrong token, ends the search.
func get[T any](c *Client, path string) (T, error) {
	unreachable := &UnreachableError{}
	for _, address := range c.entries {
		answer, err := callEntry[T](c, address, fasthttp.MethodGet, path, nil)
		if err == nil || !tryNext(err) {
			return answer, err
		}
		unreachable.add(address, err)
	}
	var none T
	return none, unreachable
}

// tryNext reports whether another entry may answer after this error.
func tryNext(err error) bool {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status == fasthttp.StatusServiceUnavailable
	}
	return errors.Is(err, ErrNoAnswer)
}

// callEntry calls the entry at the address and decodes its answer.
func callEntry[T any](c *Client, address, method, path string, body []byte) (T, error) {
	var answer T
	status, data, err := c.call(address, method, path, body)
	if err != nil {
		return answer, err
	}
	if status >= fasthttp.StatusBadRequest {
		return answer, refusal(address, status, data)
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, &AnswerError{Address: address, Err: err}
	}
	return answer, nil
}

// call sends one request and returns a copy of the answer.
func (c *Client) call(address, method, path string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, bearer+c.token)
	if body != nil {
		req.Header.SetContentType(jsonType)
		req.SetBody(body)
	}
	if err := c.http.DoTimeout(req, resp, c.timeout); err != nil {
		return 0, nil, CallError(address, err)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
