package logclient

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/answerhead"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout is short, so that an append rarely uses a connection that the
	// server has closed, which would leave its effect unknown.
	idleTimeout = 5 * time.Second
	// maxAnswerBytes bounds an answer: a read of maxRecords records in base64.
	maxAnswerBytes = 64 << 20
)

// newClient returns an HTTP client that never retries a call: repeating an append
// after a lost answer could write a second record.
func newClient(traffic *Traffic) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "sycamoretrail",
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       maxAnswerBytes,
		ConfigureClient:           answerhead.Configure,
		Dial:                      func(address string) (net.Conn, error) { return dial(address, traffic) },
	}
}

// dial connects with net.DialTimeout, so that definite recognises every failure as a
// dial error, after which nothing was sent. fasthttp's own dialer returns other errors
// as well.
func dial(address string, traffic *Traffic) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &meteredConn{Conn: conn, traffic: traffic}, nil
}

// call makes one HTTP call and decodes its JSON answer into answer.
func call(client *fasthttp.Client, method, url string, body []byte, timeout time.Duration, answer any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(url)
	request.SetBodyRaw(body)
	if err := client.DoTimeout(request, response, timeout); err != nil {
		return fmt.Errorf("%s: %w", method, err)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return fmt.Errorf("%s: %w", method, &statusError{Status: status})
	}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return fmt.Errorf("%s: answer: %w", method, err)
	}
	return nil
}
