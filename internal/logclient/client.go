package logclient

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout is short, so that an append rarely meets a connection that
	// the other side has closed, which would leave its effect unknown.
	idleTimeout = 5 * time.Second
	// maxAnswer bounds an answer: a read of maxRecords records in base64.
	maxAnswer = 64 << 20
)

// newClient makes an HTTP client that never repeats a call by itself: a second
// append after a lost answer would be a second record.
func newClient(traffic *Traffic) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "sycamoretrail",
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       maxAnswer,
		Dial:                      func(address string) (net.Conn, error) { return dial(address, traffic) },
	}
}

// dial wraps every failure as a dial error, also fasthttp's own, so that
// definite can tell that nothing was sent.
func dial(address string, traffic *Traffic) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &meteredConn{Conn: conn, traffic: traffic}, nil
}

// call does one HTTP call and reads its JSON answer into answer.
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
