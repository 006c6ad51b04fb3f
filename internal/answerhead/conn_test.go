package answerhead_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/answerhead"
	"sycamoretrail/internal/answerhead/answerheadtest"
)

func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }

// get returns the answer of a server that sends a text.
func get(t *testing.T, text string, dial fasthttp.DialFunc) (status int, body string, err error) {
	address := answerheadtest.Serve(t, func(*http.Request) string { return text })
	client := &fasthttp.HostClient{Addr: address, Dial: dial, MaxIdemponentCallAttempts: 1, ReadBufferSize: 64 << 10}
	status, got, err := client.GetTimeout(nil, "http://"+address+"/", 2*time.Second)
	return status, string(got), err
}

// Guards against the client library taking an invalid answer for one, or for a regular end of the connection.
func TestClientsGetNoInvalidAnswer(t *testing.T) {
	for name, answer := range answerheadtest.Invalid() {
		g := NewWithT(t)
		status, body, err := get(t, answer.Text(""), answerhead.Checked(dial))
		g.Expect(err).To(MatchError(answerhead.ErrInvalid), "%s: %d %q", name, status, body)
	}
}

// Guards against the check of heads changing what the client library makes of valid answers, but for
// informational ones, which it takes for final.
func TestClientsGetUnusualAnswers(t *testing.T) {
	for name, answer := range answerheadtest.Unusual() {
		g := NewWithT(t)
		status, body, err := get(t, answer.Text(""), answerhead.Checked(dial))
		if strings.HasPrefix(name, "informational") {
			g.Expect(status).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal(answerheadtest.Body))
			continue
		}
		wantStatus, wantBody, wantErr := get(t, answer.Text(""), dial)
		g.Expect(status).To(Equal(wantStatus), name)
		g.Expect(body).To(Equal(wantBody), name)
		g.Expect(err == nil).To(Equal(wantErr == nil), "%s: %v, %v", name, err, wantErr)
	}
}

// Guards against heads without an end being kept.
func TestEndlessHeadsAreGivenUp(t *testing.T) {
	for name, text := range map[string]string{
		"informational": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<16),
		"field":         "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 1<<20),
	} {
		g := NewWithT(t)
		_, _, err := get(t, text, answerhead.Checked(dial))
		g.Expect(err).To(HaveOccurred(), name)
	}
}

// Guards against a kept connection mixing up answers.
func TestKeptConnectionCarriesSeveralAnswers(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	conn, _ := answerhead.Checked(func(string) (net.Conn, error) { return near, nil })("")
	go func() {
		request := make([]byte, 1)
		for range 3 {
			_, _ = far.Read(request)
			_, _ = far.Write([]byte("HTTP/1.1 200 OK\r\n\r\nrest"))
		}
	}()
	for range 3 {
		_, err := conn.Write([]byte("r"))
		g.Expect(err).NotTo(HaveOccurred())
		answer := make([]byte, 100)
		n, err := conn.Read(answer)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(answer[:n])).To(Equal("HTTP/1.1 200 OK\r\n\r\nrest"))
	}
}
