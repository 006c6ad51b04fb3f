// Package operatorclient speaks the operators' interface of entries over HTTP.
// sycamorectl and the console share it. A read goes to the listed entries in
// order until one answers; the texts of its errors say the remedy.
package operatorclient

import (
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/operators/api"
)

const (
	// DefaultTimeout bounds one call at one entry. It is longer than an entry
	// waits for the verdict on a publication.
	DefaultTimeout = 15 * time.Second
	// dialTimeout is short: an entry whose instance is gone must not hold up the
	// next in the list.
	dialTimeout = 2 * time.Second
	// maxAnswer bounds what is read of one answer. A document is at most 1 MiB.
	maxAnswer = 16 << 20
	bearer    = "Bearer "
	jsonType  = "application/json"
)

// Options says whom to ask and how.
type Options struct {
	// Entries are operators' addresses (IP:port), tried in this order.
	Entries []string
	// Token is the operators' bearer token.
	Token string
	// Timeout bounds one call at one entry; DefaultTimeout where zero.
	Timeout time.Duration
}

// Client calls entries. It may be used from several goroutines.
type Client struct {
	entries []string
	token   string
	timeout time.Duration
	http    *fasthttp.Client
}

// New makes a client.
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
		// The client itself decides what is asked again, and of whom.
		MaxIdemponentCallAttempts: 1,
	}
}

// WithToken returns a client of the same entries that shows another token. Both
// share their connections.
func (c *Client) WithToken(token string) *Client {
	other := *c
	other.token = token
	return &other
}

// At returns a client of one entry only.
func (c *Client) At(address string) *Client {
	other := *c
	other.entries = []string{address}
	return &other
}

// Entries lists the addresses in the order in which they are tried.
func (c *Client) Entries() []string { return c.entries }

// Status reads the state of the first entry that answers.
func (c *Client) Status() (api.Status, error) { return get[api.Status](c, api.PathStatus) }

// Targets reads the targets as the first entry that answers sees them.
func (c *Client) Targets() (api.Targets, error) { return get[api.Targets](c, api.PathTargets) }

// Floors reads the floors that stand at the first entry that answers.
func (c *Client) Floors() (api.Floors, error) { return get[api.Floors](c, api.PathFloors) }

// Document reads what is in force at the first entry that answers.
func (c *Client) Document() (api.Document, error) { return get[api.Document](c, api.PathDocument) }

// Explain asks the first entry that answers what it remembers of a request.
func (c *Client) Explain(id string) (api.Explanation, error) {
	return get[api.Explanation](c, api.PathExplain+"?id="+url.QueryEscape(id))
}

// Drain begins a planned stop of the entry at the address.
func (c *Client) Drain(address string) (api.Drain, error) {
	return one[api.Drain](c, address, fasthttp.MethodPost, api.PathDrain, nil)
}

// SetLogLevel changes the level of the logs of the entry at the address.
func (c *Client) SetLogLevel(address, level string) (api.LogLevel, error) {
	body, err := json.Marshal(api.LogLevel{Level: level})
	if err != nil {
		return api.LogLevel{}, err
	}
	return one[api.LogLevel](c, address, fasthttp.MethodPost, api.PathLogLevel, body)
}

// get reads from the first entry that answers. An entry that says no for a
// reason of its own, such as a wrong token, ends the search.
func get[T any](c *Client, path string) (T, error) {
	unreachable := &UnreachableError{}
	for _, address := range c.entries {
		answer, err := one[T](c, address, fasthttp.MethodGet, path, nil)
		if err == nil || !tryNext(err) {
			return answer, err
		}
		unreachable.add(address, err)
	}
	var none T
	return none, unreachable
}

// tryNext: another entry may answer where this one could not.
func tryNext(err error) bool {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status == fasthttp.StatusServiceUnavailable
	}
	return errors.Is(err, ErrNoAnswer)
}

// one calls one entry and decodes its answer.
func one[T any](c *Client, address, method, path string, body []byte) (T, error) {
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
