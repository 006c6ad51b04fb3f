package upstream_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sycamoretrail/internal/upstream"
)

const nameHeader = "X-Name"

// Guards against the beginning of an answer without a length passing for the whole where its end is seen
// late, so that another process may have taken the target's address; and against a whole one passing for
// truncated.
func TestEndThatIsSeenLateNeedsTheSameTarget(t *testing.T) {
	paused := func(time.Time) bool { return true }
	for name, test := range map[string]struct {
		// paused tells the pool that the process was paused; delay is the time before the answer is read.
		paused func(time.Time) bool
		delay  time.Duration
		// named is what the process at the address says at its health path; "": it doesn't answer.
		named      string
		unnameable bool
		whole      bool
	}{
		"paused, same target":               {paused: paused, named: "i-1", whole: true},
		"paused, another target":            {paused: paused, named: "i-2"},
		"paused, no answer":                 {paused: paused},
		"paused, target without a path":     {paused: paused, named: "i-1", unnameable: true},
		"read late, same target":            {delay: 700 * time.Millisecond, named: "i-1", whole: true},
		"read late, another target":         {delay: 700 * time.Millisecond, named: "i-2"},
		"read at once, target is not asked": {whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = listener.Close() }()
			go answerOnceThenName(listener, test.named)
			options := poolOptions()
			options.Paused = test.paused
			pool := upstream.NewPool(options)
			conn, err := pool.Get(listener.Addr().String(), "id-1", time.Hour)
			g.Expect(err).NotTo(HaveOccurred())
			x := exchange(nil)
			if !test.unnameable {
				x.Identity = &upstream.Identity{
					Head:     func() []byte { return []byte("GET /health HTTP/1.1\r\nHost: a\r\n\r\n") },
					Confirms: func(h http.Header) bool { return h.Get(nameHeader) == "i-1" },
				}
			}
			answer, err := pool.Send(conn, x)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(test.delay)
			text, err := io.ReadAll(answer)
			answer.Close()
			g.Expect(string(text)).To(Equal(answerText))
			g.Expect(err == nil).To(Equal(test.whole), "%v", err)
			g.Expect(err == nil || errors.Is(err, upstream.ErrBroken)).To(BeTrue(), "%v", err)
		})
	}
}

// answerOnceThenName answers the first connection, ends the answer with it, and answers with a name on
// further ones.
func answerOnceThenName(listener net.Listener, name string) {
	for first := true; ; first = false {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil || !first && name == "" {
				return
			}
			if !first {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", nameHeader, name)
				return
			}
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n")
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprint(conn, answerText)
			_ = conn.Close()
		}()
	}
}
