package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/answerhead/answerheadtest"
	"sycamoretrail/internal/upstream"
)

const (
	headerID   = "X-Request-Id"
	namesFirst = headerID + ": id-1\r\n"
	// anotherAnswer belongs to another request.
	anotherAnswer = "HTTP/1.1 503 No\r\n" + headerID + ": earlier\r\nContent-Length: 4\r\n\r\nfull"
)

// exchangeFor sends a request to a target that answers with a text.
func exchangeFor(t *testing.T, text string) (answer *upstream.Answer, body string, err error) {
	address := serveOnce(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
	})
	pool := newPool()
	conn, err := pool.Get(address, "id-1", time.Hour)
	if err != nil {
		return nil, "", err
	}
	x := exchange(nil)
	x.Matches = func(h http.Header) bool { return h.Get(headerID) == "id-1" }
	answer, err = pool.Send(conn, x)
	if err != nil {
		return nil, "", err
	}
	defer answer.Close()
	read, err := io.ReadAll(answer)
	return answer, string(read), err
}

// Guards against an answer whose head violates the protocol passing for one, for a lost connection, or for
// the answer that follows it; also where an answer to another request precedes it.
func TestInvalidAnswersAreErrors(t *testing.T) {
	for name, answer := range answerheadtest.Invalid() {
		for _, before := range []string{"", anotherAnswer} {
			g := NewWithT(t)
			_, body, err := exchangeFor(t, before+answer.Text(namesFirst))
			g.Expect(err).To(MatchError(upstream.ErrInvalidAnswer), "%s: %q", name, body)
		}
	}
}

// Guards against a valid answer being refused or changed.
func TestUnusualAnswersAreRead(t *testing.T) {
	for name, unusual := range answerheadtest.Unusual() {
		for _, before := range []string{"", anotherAnswer} {
			g := NewWithT(t)
			answer, body, err := exchangeFor(t, before+unusual.Text(namesFirst))
			g.Expect(err).NotTo(HaveOccurred(), name)
			g.Expect(answer.Status).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal(answerheadtest.Body), name)
		}
	}
}

// Guards against trailers that violate the protocol passing as part of a complete answer.
func TestInvalidTrailersAreErrors(t *testing.T) {
	for name, valid := range map[string]bool{"X-Sum": true, "X Sum": false, "X-Sum ": false, "X\x01Sum": false, "": false} {
		g := NewWithT(t)
		_, _, err := exchangeFor(t, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n%s: 1\r\n\r\n", namesFirst, name))
		if valid {
			g.Expect(err).NotTo(HaveOccurred(), "%q", name)
			continue
		}
		g.Expect(err).To(MatchError(upstream.ErrInvalidAnswer), "%q", name)
	}
}

// Guards against long heads taking a connection out of use, or mixing up the answers that follow them.
func TestLongHeadsKeepTheConnection(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go answerWithLongHeads(listener)
	pool := newPool()
	for i := range 10 {
		conn, err := pool.Get(listener.Addr().String(), fmt.Sprint(i), time.Hour)
		g.Expect(err).NotTo(HaveOccurred())
		x := exchange(nil)
		x.ID = fmt.Sprint(i)
		answer, err := pool.Send(conn, x)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(answer)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(HaveLen(len(answer.Header.Get("X-Long"))))
		g.Expect(answer.Close()).To(BeTrue())
	}
	g.Expect(pool.Opened()).To(Equal(int64(1)))
}

// answerWithLongHeads gives answers of many lengths, whose body is as long as a field of their head.
func answerWithLongHeads(listener net.Listener) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	reader := bufio.NewReader(conn)
	for length := 1000; ; length += 5000 {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		long := strings.Repeat("x", length)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%s", long, length, long)
	}
}
