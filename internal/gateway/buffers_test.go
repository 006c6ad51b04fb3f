package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/upstream"
)

const oneMB = 1 << 20

// Guards against answers that are read at the same time using up the memory of the process, although
// each of them is within its bound.
func TestBufferedAnswersShareTheMemory(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 3*oneMB)
				_, _ = conn.Write(make([]byte, 3*oneMB))
			}()
		}
	}()
	gateway, _ := newLoggingGateway()
	gateway.buffers = &buffers{limit: 6 * oneMB}
	read := func() (*call, error) {
		conn, err := gateway.pool.Get(listener.Addr().String(), "id-1", time.Hour)
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := gateway.pool.Send(conn, &upstream.Exchange{
			Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
			Deadline: time.Now().Add(5 * time.Second), Matches: func(http.Header) bool { return true },
		})
		g.Expect(err).NotTo(HaveOccurred())
		defer answer.Close()
		c := &call{gateway: gateway}
		_, err = c.readBody(answer)
		return c, err
	}
	first, err := read()
	g.Expect(err).NotTo(HaveOccurred())
	second, err := read()
	g.Expect(err).To(MatchError(errNoMemory))
	second.releaseBody()
	first.releaseBody()
	third, err := read()
	g.Expect(err).NotTo(HaveOccurred())
	third.releaseBody()
	g.Expect(gateway.buffers.used.Load()).To(BeZero())
}
