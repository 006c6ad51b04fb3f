package answerheadtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// EarlyReset is how a server answers an upload before it has read it, and resets the connection.
type EarlyReset struct {
	// Read is the number of bytes of the upload that it reads first.
	Read int64
	// Delay is the time between the answer, which has no length, and the reset.
	Delay time.Duration
}

// EarlyResets returns some of them.
func EarlyResets() []EarlyReset {
	var resets []EarlyReset
	for _, read := range []int64{0, 40 << 10} {
		for _, delay := range []time.Duration{0, 2 * time.Millisecond, 50 * time.Millisecond} {
			resets = append(resets, EarlyReset{read, delay})
		}
	}
	return resets
}

func (r EarlyReset) String() string {
	return fmt.Sprintf("%d bytes read, reset after %v", r.Read, r.Delay)
}

// Serve starts a server that answers each request so. It returns the server's address. named returns the fields
// that name a request.
func (r EarlyReset) Serve(tb testing.TB, named func(*http.Request) string) string {
	return serveConns(tb, func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, request.Body, r.Read)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/plain\r\n\r\n%s", named(request), Body)
		time.Sleep(r.Delay)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
}
