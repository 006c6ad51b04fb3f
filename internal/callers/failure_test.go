package callers_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/message"
	"sycamoretrail/internal/core/outcome"
)

// truncatingServer answers each connection's first request with the text that write
// returns, and closes the connection. It counts the complete requests of each method.
type truncatingServer struct {
	posts, gets, deletes atomic.Int32
	// write returns the answer to a request line; "" closes without an answer.
	write func(line string) string
}

func (s *truncatingServer) start() string {
	ln := listen()
	DeferCleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.answer(conn)
		}
	}()
	return ln.Addr().String()
}

func (s *truncatingServer) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var req fasthttp.Request
	if req.Read(bufio.NewReader(conn)) != nil {
		return
	}
	switch string(req.Header.Method()) {
	case "POST":
		s.posts.Add(1)
	case "GET":
		s.gets.Add(1)
	case "DELETE":
		s.deletes.Add(1)
	}
	_, _ = conn.Write([]byte(s.write(string(req.Header.Method()) + " " + string(req.RequestURI()))))
}

// chunked returns an event stream in chunked coding, with the last chunk only if
// complete.
func chunked(events string, complete bool) string {
	text := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n", len(events), events)
	if complete {
		text += "0\r\n\r\n"
	}
	return text
}

const notFound = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

var _ = Describe("an id whose owner could not be reached", func() {
	// The caller receives "unknown" and resends the same id to the same entry. By
	// then the owner replies that it handed the id over: the request runs once, and
	// its caller receives the answer instead of the earlier "unknown".
	It("is looked up again when it is resent", func() {
		var posts atomic.Int32
		engine := serve(func(ctx *fasthttp.RequestCtx) {
			posts.Add(1)
			ctx.SetBodyString(`{"choices":[]}`)
		})
		n := newNode(engine, "")
		found := n.core.decide
		n.core.answerWith(func(s entry.Submit) {
			n.flights.Settle(entry.Settle{ID: s.Request.ID, Status: outcome.Undetermined(outcome.ReasonOwnerUnreachable, "")})
		})
		id := map[string]string{"X-Request-Id": "fedcba9876543210-1.0.x"}
		resp, body := n.call("POST", "/v1/chat/completions", nonStreamingBody, id)
		Expect(resp.StatusCode).To(Equal(502))
		Expect(refusal(body).Ran).To(BeEquivalentTo("unknown"))
		n.core.answerWith(found)
		for range 2 {
			resp, body = n.call("POST", "/v1/chat/completions", nonStreamingBody, id)
			Expect(resp.StatusCode).To(Equal(200), "%s", body)
		}
		Expect(posts.Load()).To(Equal(int32(1)))
	})

	// The caller resent its id to a second entry, received "unknown", and then reads
	// the stream there with its token. The second entry's flight of the id holds only
	// that outcome; the engine holds the stream, which the caller receives.
	It("does not prevent its stream from being read again", func() {
		engine := &truncatingServer{write: func(string) string { return chunked(token(0)+doneEvent, true) }}
		address := engine.start()
		owner, other := newNode(address, ""), newNode(address, "")
		resp, _ := owner.call("POST", "/v1/chat/completions", chatBody, nil)
		id := map[string]string{"X-Request-Id": resp.Header.Get("X-Request-Id")}
		other.core.answerWith(func(s entry.Submit) {
			other.flights.Settle(entry.Settle{ID: s.Request.ID, Status: outcome.Undetermined(outcome.ReasonOwnerUnreachable, "")})
		})
		other.call("POST", "/v1/chat/completions", chatBody, id)
		_, body := other.call("GET", "/v1/streams/"+resp.Header.Get("X-Stream-Token"), "", nil)
		_, chunks, endEvent := readStream(body)
		Expect(chunks).To(HaveLen(1))
		Expect(endEvent.Outcome).To(Equal("answered"))
		Expect(engine.posts.Load()).To(Equal(int32(1)))
	})
})

var _ = Describe("a target whose answer is truncated", func() {
	// The caller receives the complete answer, each token once. The engine's
	// connection breaks after two tokens; the edge requests the stream from token 2
	// on, and the engine repeats token 1 first. The engine holds streams across lost
	// connections, so no second dispatch is needed.
	It("is requested to send the rest of the stream", func() {
		engine := &truncatingServer{write: func(line string) string {
			if strings.HasPrefix(line, "POST") {
				return chunked(token(0)+token(1), false)
			}
			if strings.HasSuffix(line, "?from=2") {
				return chunked(token(1)+token(2)+usageEvent+doneEvent, true)
			}
			return notFound
		}}
		n := newNode(engine.start(), "")
		_, body := n.call("POST", "/v1/chat/completions", chatBody, nil)
		ids, chunks, endEvent := readStream(body)
		Expect(ids).To(Equal([]string{"0", "1", "2", "3"}))
		Expect(chunks[2]).To(ContainSubstring("t2"))
		Expect(endEvent.Outcome).To(Equal("answered"))
		Expect(engine.posts.Load()).To(Equal(int32(1)))
	})

	// The caller receives every token although the engine sends token 0 and then 2:
	// the edge detects by the numbers that 1 is missing and reads the stream again
	// from there.
	It("is requested to send a token that it left out", func() {
		engine := &truncatingServer{write: func(line string) string {
			if strings.HasPrefix(line, "POST") {
				return chunked(token(0)+token(2)+doneEvent, true)
			}
			if strings.HasSuffix(line, "?from=1") {
				return chunked(token(1)+token(2)+doneEvent, true)
			}
			return notFound
		}}
		n := newNode(engine.start(), "")
		_, body := n.call("POST", "/v1/chat/completions", chatBody, nil)
		ids, chunks, endEvent := readStream(body)
		Expect(ids).To(Equal([]string{"0", "1", "2"}))
		Expect(chunks[1]).To(ContainSubstring("t1"))
		Expect(endEvent.Chunks).To(Equal(3))
	})

	// The caller receives the outcome ran_in_part after the tokens that arrived. The
	// engine crashes mid-stream and does not hold the stream any more when it is
	// requested again; nothing is dispatched a second time.
	It("ends the stream with ran_in_part when the stream is lost", func() {
		engine := &truncatingServer{write: func(line string) string {
			if strings.HasPrefix(line, "POST") {
				return chunked(token(0), false)
			}
			return notFound
		}}
		n := newNode(engine.start(), "")
		resp, body := n.call("POST", "/v1/chat/completions", chatBody, nil)
		Expect(resp.StatusCode).To(Equal(200))
		_, chunks, endEvent := readStream(body)
		Expect(chunks).To(HaveLen(1))
		Expect(endEvent.Outcome).To(Equal("ran_in_part"))
		Expect(endEvent.Reason).To(Equal("target_failed"))
		Expect(engine.posts.Load()).To(Equal(int32(1)))
	})

	// The caller receives 502 and not "not run". The engine reads the request and
	// closes the connection without an answer: the request may have run. fasthttp
	// retries such a request by default; the edge must not.
	DescribeTable("receives a request that may have arrived exactly once", func(method, path string) {
		target := &truncatingServer{write: func(line string) string {
			if strings.Contains(line, "/streams/") {
				return notFound
			}
			return ""
		}}
		address := target.start()
		n := newNode(address, address)
		resp, body := n.call(method, path, chatBody, nil)
		Expect(resp.StatusCode).To(Equal(502))
		Expect(refusal(body).Ran).NotTo(BeEquivalentTo("no"))
		ended := all[entry.RunEnded](n.core)
		Expect(ended).To(HaveLen(1))
		Expect(ended[0].Result).To(Equal(message.ResultAborted))
		Expect(ended[0].Wrote).To(BeTrue())
		if method == "GET" {
			Expect(target.gets.Load()).To(Equal(int32(1)))
		} else {
			Expect(target.posts.Load()).To(Equal(int32(1)))
		}
	},
		Entry("completion", "POST", "/v1/chat/completions"),
		Entry("service call that may not be repeated", "POST", "/v1/services/slots/reserve"),
		Entry("service call with a method that is idempotent in HTTP", "GET", "/v1/services/slots/free"),
	)

	// The caller receives its complete answer. A first request leaves a keep-alive
	// connection, which the target then closes. The second request must detect that
	// before its first byte and use a new connection, not fail as "unknown".
	It("fails no request when it closes an idle connection between requests", func() {
		var served atomic.Int32
		srv := &fasthttp.Server{Logger: quiet(), Handler: func(ctx *fasthttp.RequestCtx) {
			served.Add(1)
			ctx.SetBodyString("ok")
		}}
		closed := make(chan struct{}, 1)
		srv.ConnState = func(_ net.Conn, state fasthttp.ConnState) {
			if state == fasthttp.StateClosed {
				closed <- struct{}{}
			}
		}
		ln := listen()
		conns := make(chan net.Conn, 4)
		go func() { _ = srv.Serve(&tappedListener{Listener: ln, conns: conns}) }()
		DeferCleanup(func() { _ = srv.Shutdown() })
		n := newNode("", ln.Addr().String())
		resp, _ := n.call("POST", "/v1/services/slots/reserve", "a", nil)
		Expect(resp.StatusCode).To(Equal(200))
		Expect((<-conns).Close()).To(Succeed())
		Eventually(closed).Should(Receive())
		resp, _ = n.call("POST", "/v1/services/slots/reserve", "b", nil)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(served.Load()).To(Equal(int32(2)))
		Expect(conns).To(HaveLen(1))
	})

	// The caller receives "not run". Nothing listens at the target's address, so no
	// byte was sent, and the core may choose another target.
	It("has run nothing where the connection is refused", func() {
		ln := listen()
		address := ln.Addr().String()
		Expect(ln.Close()).To(Succeed())
		n := newNode(address, "")
		resp, body := n.call("POST", "/v1/chat/completions", chatBody, nil)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(refusal(body).Ran).To(BeEquivalentTo("no"))
		ended := all[entry.RunEnded](n.core)
		Expect(ended).To(HaveLen(1))
		Expect(ended[0].Result).To(Equal(message.ResultNotAdmitted))
		Expect(ended[0].Wrote).To(BeFalse())
		Expect(all[entry.RunStarted](n.core)).To(BeEmpty())
	})

	DescribeTable("declares that it did not admit the request", func(notAdmitted string, result message.Result) {
		engine := serve(func(ctx *fasthttp.RequestCtx) {
			ctx.Response.Header.Set("X-Not-Admitted", notAdmitted)
			ctx.SetStatusCode(503)
		})
		n := newNode(engine, "")
		resp, _ := n.call("POST", "/v1/chat/completions", chatBody, nil)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(all[entry.RunEnded](n.core)[0].Result).To(Equal(result))
	},
		Entry("full", "full", message.ResultNotAdmitted),
		Entry("leaving", "leaving", message.ResultLeaving),
	)

	// A caller that asked for a complete answer receives one. The engine's answer is
	// truncated before any of it was forwarded, so the edge reads the stream of the
	// same request and assembles the answer from it.
	It("has a truncated complete answer assembled from its stream", func() {
		engine := &truncatingServer{write: func(line string) string {
			if strings.HasPrefix(line, "POST") {
				return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 900\r\n\r\n{\"choices\""
			}
			return chunked(token(0)+token(1)+usageEvent+doneEvent, true)
		}}
		n := newNode(engine.start(), "")
		resp, body := n.call("POST", "/v1/chat/completions", nonStreamingBody, nil)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(resp.Header.Get("X-Outcome")).To(Equal("answered"))
		Expect(body).To(ContainSubstring(`"content":"t0 t1 "`))
		Expect(engine.posts.Load()).To(Equal(int32(1)))
	})
})

// tappedListener also sends the connections that it accepts to conns.
type tappedListener struct {
	net.Listener
	conns chan net.Conn
}

func (l *tappedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.conns <- conn
	}
	return conn, err
}

var _ = Describe("a caller that has disconnected", func() {
	// The caller closes its connection before the first token, when there is nothing
	// to write yet. The edge detects that by polling the socket and reports it to the
	// core, which cancels the engine's stream.
	It("has its request cancelled before the first token", func() {
		release := make(chan struct{})
		deleted := make(chan string, 1)
		began := make(chan struct{}, 1)
		engine := serve(func(ctx *fasthttp.RequestCtx) {
			if ctx.IsDelete() {
				deleted <- string(ctx.Path())
				return
			}
			began <- struct{}{}
			<-release
		})
		DeferCleanup(func() { close(release) })
		n := newNode(engine, "")
		cancelWhenGone(n)
		conn, err := net.Dial("tcp", n.address)
		Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(chatBody), chatBody)
		Expect(err).NotTo(HaveOccurred())
		Eventually(began).Should(Receive())
		Expect(conn.Close()).To(Succeed())
		Eventually(deleted).Should(Receive(HavePrefix("/streams/" + string(prefix))))
		Eventually(func() []entry.RunEnded { return all[entry.RunEnded](n.core) }).Should(HaveLen(1))
		Expect(all[entry.RunEnded](n.core)[0].Result).To(Equal(message.ResultCancelled))
	})

	// As above, but after the first token has been passed on.
	It("has its request cancelled in mid-stream", func() {
		release := make(chan struct{})
		deleted := make(chan string, 1)
		engine := serve(func(ctx *fasthttp.RequestCtx) {
			if ctx.IsDelete() {
				deleted <- string(ctx.Path())
				close(release)
				return
			}
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
				_, _ = w.WriteString(token(0))
				_ = w.Flush()
				<-release
			})
		})
		n := newNode(engine, "")
		cancelWhenGone(n)
		resp := n.open("POST", "/v1/chat/completions", chatBody, nil)
		line, err := bufio.NewReader(resp.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(Equal("id: 0\n"))
		Expect(resp.Body.Close()).To(Succeed())
		Eventually(deleted).Should(Receive())
		Eventually(func() []entry.CallerLeft { return all[entry.CallerLeft](n.core) }).Should(HaveLen(1))
	})
})

// cancelWhenGone makes the fake core cancel a run whose caller has disconnected.
func cancelWhenGone(n *node) {
	n.core.onGone = func(g entry.CallerLeft) {
		n.targets.Cancel(entry.CancelRun{ID: g.ID, Status: outcome.Partial(outcome.ReasonCallerGone, "")})
	}
}
