package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/settings"
)

// handoffHead is a platform that writes the heads of hand-offs only.
type handoffHead struct{ Platform }

func (handoffHead) AppendHandoffHead(dst []byte, _ *fasthttp.RequestHeader, handoff HandoffInfo) []byte {
	return fmt.Appendf(dst, "GET / HTTP/1.1\r\nHost: a\r\n%s: %s\r\n\r\n", HeaderHandoffSend, handoff.Send)
}

// newHandoffCall returns a call of an entry that writes the heads of hand-offs only.
func newHandoffCall() *call {
	s := settings.DefaultGateway()
	s.Name, s.Zone = "entry-1", "a"
	return &call{
		gateway: New(s, handoffHead{}, logrus.New()), ctx: &fasthttp.RequestCtx{}, expires: time.Now().Add(time.Second),
		config: &catalog.Configuration{}, route: &catalog.Route{Kind: catalog.Unsafe},
	}
}

// Guards against an entry's answer to another send of a request passing for the answer to this one.
func TestAnswerToAnotherHandoffIsDiscarded(t *testing.T) {
	g := NewWithT(t)
	address := serveOnce(t, func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 No\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", HeaderHandoffSend)
		_, _ = fmt.Fprint(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderHandoffSend, request.Header.Get(HeaderHandoffSend))
	})
	c := newHandoffCall()
	answer, err := c.sendToPeer(peerset.Entry{Name: "entry-2", Links: address})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Status).To(Equal(http.StatusOK))
	g.Expect(answer.Header.Get(HeaderHandoffSend)).To(BeEmpty())
	g.Expect(c.use.Skipped).To(Equal(2))
}

// Guards against a promise of another entry that doesn't say how many targets may have run the request:
// an entry of an earlier release passes on such answers of targets that have run it.
func TestPromiseOfPeerNeedsItsRecord(t *testing.T) {
	for runs, want := range map[string]int{"": http.StatusBadGateway, "1": http.StatusBadGateway, "x": http.StatusBadGateway, "0": http.StatusServiceUnavailable} {
		t.Run("runs "+runs, func(t *testing.T) {
			g := NewWithT(t)
			address := serveOnce(t, func(conn net.Conn, request *http.Request) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 No\r\n%s: %s\r\n", HeaderHandoffSend, request.Header.Get(HeaderHandoffSend))
				if runs != "" {
					_, _ = fmt.Fprintf(conn, "%s: %s\r\n", HeaderHandoffRuns, runs)
				}
				_, _ = fmt.Fprint(conn, "Content-Length: 0\r\n\r\n")
			})
			c := newHandoffCall()
			peer := peerset.Entry{Name: "entry-2", Links: address}
			answer, err := c.sendToPeer(peer)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(c.forwardHandedOff(peer, answer)).To(BeTrue())
			g.Expect(c.ctx.Response.StatusCode()).To(Equal(want))
			g.Expect(c.ctx.Response.Header.Peek(HeaderHandoffRuns)).To(BeEmpty())
		})
	}
}
